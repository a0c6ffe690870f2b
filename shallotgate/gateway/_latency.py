"""Quantiles of recent durations."""

from collections import deque

# Durations that quantiles are taken over: enough for a 95th percentile, few
# enough to follow a change within seconds at tens of replies a second.
_WINDOW = 256
# Durations between two computations of the quantiles.
_REFRESH = 16


class LatencyWindow:
    """Quantiles over the last replies, in milliseconds.

    >>> latency = LatencyWindow(initial_ms=10)
    >>> latency.quantile(0.5)
    10
    >>> for duration_ms in range(100):
    ...     latency.add(duration_ms)
    >>> latency.quantile(0.9)
    90
    """

    def __init__(self, initial_ms: float) -> None:
        self._samples: deque[float] = deque(maxlen=_WINDOW)
        self._sorted: list[float] = [initial_ms]
        self._fresh = 0
        # Quantiles that were asked for since the last computation.
        self._known: dict[float, float] = {}

    def add(self, duration_ms: float) -> None:
        """Take up the duration of one reply."""
        self._samples.append(duration_ms)
        self._fresh += 1

    def quantile(self, share: float) -> float:
        """Return a quantile; ``share`` is between 0 and 1."""
        if self._fresh >= _REFRESH:
            self._sorted = sorted(self._samples)
            self._fresh = 0
            self._known.clear()
        known = self._known.get(share)
        if known is None:
            position = int(share * len(self._sorted))
            known = self._sorted[min(position, len(self._sorted) - 1)]
            self._known[share] = known
        return known
