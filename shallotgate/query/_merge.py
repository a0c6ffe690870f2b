"""Decodes and merges the matches of several shards."""

import itertools
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from shallotgate.codec import DECODE_ERRORS
from shallotgate.errors import ShallotgateError

_DECODER = msgspec.json.Decoder(list[dict[str, Any]])

Match = Mapping[str, Any]


class InvalidMatchesError(ShallotgateError):
    """Matches are not a JSON array of objects with an id and valid score."""


def decode_matches(encoded: bytes | None) -> Sequence[Match]:
    """Decode the matches of one reply; raises ``InvalidMatchesError``.

    Each match has an ``id`` and a numeric ``score`` that defaults to 0.
    """
    try:
        matches = _DECODER.decode(encoded or b'[]')
    except DECODE_ERRORS as error:
        raise InvalidMatchesError(f'invalid matches: {error}') from error
    if not all('id' in match for match in matches):
        raise InvalidMatchesError('match without an id')
    if not all(isinstance(_get_score(match), int | float) for match in matches):
        raise InvalidMatchesError('match with a non-numeric score')
    return matches


def merge_matches(
    lists: Sequence[Sequence[Match]],
    limit: int,
) -> tuple[Sequence[Match], bool]:
    """Merge lists by match id, highest score first.

    Returns the matches and whether the limit truncated the list. Of matches
    with the same id, the one with the highest score is kept.

    >>> low = {'id': 'a', 'score': 1}
    >>> high = {'id': 'a', 'score': 2}
    >>> other = {'id': 'b', 'score': 1}
    >>> merge_matches([[low, other], [high]], limit=1)
    ([{'id': 'a', 'score': 2}], True)
    """
    best: dict[str, Match] = {}
    for match in itertools.chain.from_iterable(lists):
        match_id = str(match['id'])
        kept = best.get(match_id)
        if kept is None or _get_score(kept) < _get_score(match):
            best[match_id] = match
    # Ties are broken by id, so that the order is deterministic.
    ordered = sorted(
        best.items(),
        key=lambda pair: (-_get_score(pair[1]), pair[0]),
    )
    merged = [pair[1] for pair in ordered[:limit]]
    return merged, len(ordered) > limit


def _get_score(match: Match) -> float:
    return match.get('score', 0)  # type: ignore[no-any-return]
