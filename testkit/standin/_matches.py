"""Matches that a test can compute again to verify a merge."""

from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash

_FEWEST = 2
_SPREAD = 4
_SCORES = 1000
_WORD_BITS = 8


def make_matches(
    query: Mapping[str, Any],
    version: int,
    partition: int,
) -> list[dict[str, Any]]:
    """Return all matches of a query in one partition of one version.

    They are ordered by falling score, then by id.

    >>> make_matches({'q': 1}, 7, 2) == make_matches({'q': 1}, 7, 2)
    True
    >>> {match['partition'] for match in make_matches({'q': 1}, 7, 2)}
    {2}
    """
    content = msgspec.json.encode(query, order='sorted')
    digest = xxhash.xxh64_intdigest(content + b'%d/%d' % (version, partition))
    matches: list[dict[str, Any]] = [
        {
            'id': f'{version}-{partition}-{number}-{digest:016x}',
            'score': (digest >> (number * _WORD_BITS)) % _SCORES,
            'partition': partition,
            'version': version,
        }
        for number in range(_FEWEST + digest % _SPREAD)
    ]
    matches.sort(key=lambda match: (-match['score'], match['id']))
    return matches
