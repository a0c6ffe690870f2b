"""Parts of a base that resemble the text inserted into it."""

from collections.abc import Iterable
from itertools import chain, islice

# Bytes of the base after each copied part: more than an account or a route of
# 54 shards, so that what replaces one is compressed against it.
_VICINITY_BYTES = 2048
# Vicinities in a dictionary; zlib refers back to no more than 32 KB.
_MAX_VICINITIES = 16


def read_vicinity(base: bytes, ends: Iterable[int]) -> bytes:
    """Return the dictionary for the inserted text.

    ``ends`` are where copied parts end in the base. What follows an end is
    likely to have been replaced. Both sides derive the dictionary from them.
    """
    return b''.join(
        base[end : end + _VICINITY_BYTES]
        for end in islice(chain((0,), ends), _MAX_VICINITIES)
    )
