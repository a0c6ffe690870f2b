"""Quantiles of recent durations."""

from collections import deque

# Samples in the window: enough for a 95th percentile, few enough to follow a
# change within seconds at tens of replies a second.
_WINDOW_SAMPLES = 256
# New samples between two recomputations of the quantiles.
_REFRESH_SAMPLES = 16


class LatencyWindow:
    """Quantiles of the durations of recent replies, in milliseconds.

    >>> latency = LatencyWindow(initial_ms=10)
    >>> latency.quantile(0.5)
    10
    >>> for duration_ms in range(100):
    ...     latency.add(duration_ms)
    >>> latency.quantile(0.9)
    90
    """

    def __init__(self, initial_ms: float) -> None:
        self._samples: deque[float] = deque(maxlen=_WINDOW_SAMPLES)
        self._sorted: list[float] = [initial_ms]
        self._new_samples = 0
        # Quantiles computed since the last refresh.
        self._cached: dict[float, float] = {}

    def add(self, duration_ms: float) -> None:
        """Record the duration of one reply."""
        self._samples.append(duration_ms)
        self._new_samples += 1

    def quantile(self, share: float) -> float:
        """Return a quantile; ``share`` is between 0 and 1."""
        if self._new_samples >= _REFRESH_SAMPLES:
            self._sorted = sorted(self._samples)
            self._new_samples = 0
            self._cached.clear()
        cached = self._cached.get(share)
        if cached is None:
            position = int(share * len(self._sorted))
            cached = self._sorted[min(position, len(self._sorted) - 1)]
            self._cached[share] = cached
        return cached
