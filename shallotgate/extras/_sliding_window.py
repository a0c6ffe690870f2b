"""Sliding-window counters."""

from collections import deque
from dataclasses import dataclass

# Buckets per window. Counts expire up to one bucket after they have left the
# window, never before.
_BUCKETS = 20


@dataclass(slots=True)
class _Bucket:
    """Counts of one part of a window."""

    index: int
    requests: int = 0
    extras: int = 0


class SlidingWindowCounter:
    """Counts requests and extra attempts in the last window.

    Times are monotonic, in seconds.

    >>> count = SlidingWindowCounter(window_s=10)
    >>> count.add(0, requests=1, extras=2)
    >>> count.advance_to(10)
    >>> count.requests, count.extras
    (1, 2)
    >>> count.advance_to(11)
    >>> count.requests, count.extras
    (0, 0)
    """

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / _BUCKETS
        self._buckets: deque[_Bucket] = deque()
        self.requests = 0
        self.extras = 0

    def add(self, now: float, requests: int = 0, extras: int = 0) -> None:
        """Add counts at a time that is not before the previous one."""
        self.advance_to(now)
        index = int(now / self._bucket_s)
        if not self._buckets or self._buckets[-1].index < index:
            self._buckets.append(_Bucket(index))
        bucket = self._buckets[-1]
        bucket.requests += requests
        bucket.extras += extras
        self.requests += requests
        self.extras += extras

    def advance_to(self, now: float) -> None:
        """Expire the buckets that have left the window."""
        oldest = int(now / self._bucket_s) - _BUCKETS
        while self._buckets and self._buckets[0].index < oldest:
            bucket = self._buckets.popleft()
            self.requests -= bucket.requests
            self.extras -= bucket.extras
