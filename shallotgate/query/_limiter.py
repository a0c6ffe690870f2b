"""Concurrency limit that follows the measured latency."""

import math
import time
from collections.abc import Callable

_START = 32.0
_MIN = 8.0
_MAX = 512.0
# Latency may rise to this multiple of the unloaded one before the limit
# sinks; above it, more concurrency only makes queues at the targets longer.
_TOLERANCE = 2.0
_LOWEST_GRADIENT = 0.5
# Share of a new limit in each step.
_STEP = 0.2
_STEP_S = 0.25
_MIN_SAMPLES = 10
# Share of a new mean in the unloaded latency when it rises.
_RISE = 0.1


class LatencyLimiter:
    """Adapts a limit to the ratio of present to unloaded latency.

    Latency is compared within each class, since classes differ. The unloaded
    latency of a class sinks at once to a lower mean and rises only on means
    measured while at most half of the limit was used, so that a lasting
    overload is not taken for the normal state.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._stepped_at = clock()
        # Sum and number of the latencies of this step by class.
        self._samples: dict[str, tuple[float, int]] = {}
        self._unloaded: dict[str, float] = {}
        self._peak = 0
        self.limit = _START

    def note(self, class_name: str, elapsed_ms: float, in_flight: int) -> None:
        """Add a finished query and the number that was in flight."""
        total, number = self._samples.get(class_name, (0, 0))
        self._samples[class_name] = (total + elapsed_ms, number + 1)
        self._peak = max(self._peak, in_flight)
        now = self._clock()
        if now - self._stepped_at < _STEP_S:
            return
        if sum(pair[1] for pair in self._samples.values()) < _MIN_SAMPLES:
            return
        self._step()
        self._stepped_at = now
        self._samples.clear()
        self._peak = 0

    def _step(self) -> None:
        ratio = self._read_ratio()
        is_used = self._peak >= self.limit / 2
        gradient = min(max(_TOLERANCE / ratio, _LOWEST_GRADIENT), 1)
        wanted = self.limit * gradient
        if is_used:
            wanted += math.sqrt(self.limit)
        changed = (1 - _STEP) * self.limit + _STEP * wanted
        self.limit = min(max(changed, _MIN), _MAX)

    def _read_ratio(self) -> float:
        weighted: float = 0
        counted = 0
        for class_name, (total, number) in self._samples.items():
            mean = max(total / number, 0.001)
            unloaded = self._unloaded.setdefault(class_name, mean)
            if mean < unloaded:
                unloaded = mean
            elif self._peak <= self.limit / 2:
                unloaded += _RISE * (mean - unloaded)
            self._unloaded[class_name] = unloaded
            weighted += number * mean / unloaded
            counted += number
        return weighted / counted
