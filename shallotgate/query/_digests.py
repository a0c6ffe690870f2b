"""Bounded tables of content digests, and rendezvous hashing of targets."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import xxhash

_T = TypeVar('_T')
_DIGEST_TTL_S = 600.0
_DIGEST_LIMIT = 50_000


class DigestTable(Generic[_T]):
    """Thread-safe table of digests with a size limit and a time to live.

    The entries that were written first are evicted first.

    >>> table = DigestTable(limit=1)
    >>> table.put('first', True)
    >>> table.put('second', True)
    >>> table.get('first'), table.get('second')
    (None, True)
    """

    def __init__(
        self,
        limit: int = _DIGEST_LIMIT,
        ttl_s: float = _DIGEST_TTL_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._ttl_s = ttl_s
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: OrderedDict[str, tuple[float, _T]] = OrderedDict()

    def put(self, digest: str, content: _T) -> None:
        """Set the entry of a digest."""
        with self._lock:
            self._entries[digest] = (self._clock(), content)
            self._entries.move_to_end(digest)
            while len(self._entries) > self._limit:
                self._entries.popitem(last=False)

    def get(self, digest: str) -> _T | None:
        """Return the entry of a digest, None if absent or expired."""
        entry = self._entries.get(digest)
        if entry is None or self._clock() - entry[0] > self._ttl_s:
            return None
        return entry[1]

    def remove(self, digest: str) -> None:
        """Remove the entry of a digest."""
        with self._lock:
            self._entries.pop(digest, None)


def rank_targets(digest: str, targets: Iterable[str]) -> list[str]:
    """Order targets by rendezvous hashing of a digest.

    The order is the same on all instances and changes little when targets are
    added or removed.
    """
    return sorted(
        targets,
        key=lambda target: xxhash.xxh3_64_intdigest(
            f'{target}/{digest}'.encode(),
        ),
        reverse=True,
    )
