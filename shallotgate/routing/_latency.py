"""Latency quantiles of each service over a sliding window."""

import threading
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

_LOWEST_US = 100
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
_WINDOW_S = 5.0
# Computing a quantile walks the histogram (0.1 ms), so results are cached.
_QUANTILE_TTL_S = 0.5
# With fewer samples, tail quantiles are not meaningful.
_MIN_SAMPLES = 20


class _ServiceLatency:
    """Two rotating windows: the previous one and the one being filled."""

    def __init__(self, now: float) -> None:
        self.histograms = [_make_histogram(), _make_histogram()]
        self.started_at = now
        self.quantiles: dict[float, tuple[float, float | None]] = {}

    def rotate(self, now: float) -> None:
        """Start a new window if the current one has ended."""
        if now - self.started_at < _WINDOW_S:
            return
        is_skipped = now - self.started_at >= 2 * _WINDOW_S
        previous = self.histograms[1]
        self.histograms[1] = self.histograms[0]
        previous.reset()
        self.histograms[0] = previous
        if is_skipped:
            self.histograms[1].reset()
        self.started_at = now

    def quantile_ms(self, quantile: float, now: float) -> float | None:
        """Return a quantile over both windows in milliseconds."""
        cached = self.quantiles.get(quantile)
        if cached is not None and now - cached[0] < _QUANTILE_TTL_S:
            return cached[1]
        self.rotate(now)
        current, previous = self.histograms
        merged = _make_histogram()
        merged.add(previous)
        merged.add(current)
        latency_ms = None
        if merged.get_total_count() >= _MIN_SAMPLES:
            ticks = merged.get_value_at_percentile(quantile * 100)
            latency_ms = ticks / _US_PER_MS
        self.quantiles[quantile] = (now, latency_ms)
        return latency_ms


class LatencyTracker:
    """Latency of attempts by service over the last 5 to 10 s.

    >>> tracker = LatencyTracker()
    >>> for number in range(100):
    ...     tracker.record('trace-01', 10.0)
    >>> round(tracker.quantile_ms('trace-01', 0.95))
    10
    >>> tracker.quantile_ms('trace-02', 0.95) is None
    True
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._services: dict[str, _ServiceLatency] = {}

    def record(self, service: str, elapsed_ms: float) -> None:
        """Record the latency of one attempt in milliseconds."""
        ticks = min(max(int(elapsed_ms * _US_PER_MS), _LOWEST_US), _HIGHEST_US)
        now = self._clock()
        with self._lock:
            tracked = self._services.get(service)
            if tracked is None:
                tracked = _ServiceLatency(now)
                self._services[service] = tracked
            tracked.rotate(now)
            tracked.histograms[0].record_value(ticks)

    def quantile_ms(self, service: str, quantile: float) -> float | None:
        """Return a quantile in milliseconds, None if there are few samples."""
        with self._lock:
            tracked = self._services.get(service)
            if tracked is None:
                return None
            return tracked.quantile_ms(quantile, self._clock())


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
