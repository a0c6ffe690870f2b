"""What a mutation of the source is."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Edit:
    """A text that occurs once in a file and what replaces it."""

    path: str
    old: str
    new: str


@dataclass(frozen=True)
class Mutation:
    """One mechanism removed, and the test that must notice."""

    guarantee: str
    removed: str
    test: str
    # A mechanism that two layers check needs an edit of each.
    edits: tuple[Edit, ...]


def make_mutation(path: str, old: str, new: str, test: str) -> Mutation:
    """Return a mutation of one place, named after its file."""
    return Mutation(
        guarantee=test.partition('::')[0],
        removed=path,
        test=test,
        edits=(Edit(path, old, new),),
    )
