"""Filters for lists of candidates."""

from collections.abc import Callable, Collection, Sequence

from shallotgate.routing._candidate import Candidate


def leave_out(
    candidates: Sequence[Candidate],
    excluded: Collection[str],
) -> Sequence[Candidate]:
    """Return the candidates whose targets are not excluded."""
    if not excluded:
        return candidates
    return [
        candidate
        for candidate in candidates
        if candidate.target not in excluded
    ]


def prefer(
    candidates: Sequence[Candidate],
    is_preferred: Callable[[Candidate], bool],
) -> Sequence[Candidate]:
    """Return the preferred candidates, or all if none is preferred."""
    return [
        candidate for candidate in candidates if is_preferred(candidate)
    ] or candidates
