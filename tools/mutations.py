"""Source mutations that a named test must detect."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Edit:
    """Replacement of a text that occurs exactly once in a file."""

    path: str
    old: str
    new: str


@dataclass(frozen=True)
class Mutation:
    """Removal of one mechanism, and the test that must fail without it."""

    guarantee: str
    removed: str
    test: str
    # A check that is made in several layers has an edit for each layer.
    edits: tuple[Edit, ...]


def make_mutation(path: str, old: str, new: str, test: str) -> Mutation:
    """Return a mutation with a single edit, described by test file and path."""
    return Mutation(
        guarantee=test.partition('::')[0],
        removed=path,
        test=test,
        edits=(Edit(path, old, new),),
    )
