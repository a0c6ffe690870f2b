"""Adaptive concurrency limit based on measured latency."""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

_INITIAL_LIMIT = 32.0
_MIN_LIMIT = 8.0
_MAX_LIMIT = 512.0
# The limit shrinks when latency exceeds this multiple of the unloaded
# latency. Beyond it, more concurrency only lengthens queues at the targets.
_LATENCY_TOLERANCE = 2.0
_MIN_GRADIENT = 0.5
# Weight of the new limit in each adjustment.
_STEP_WEIGHT = 0.2
_STEP_INTERVAL_S = 0.25
_MIN_SAMPLES = 10
# Weight of a higher mean in the unloaded latency.
_RISE_WEIGHT = 0.1


# Added to the service time on targets for network hops and processing on this
# instance.
_OVERHEAD_MS = 5.0


@dataclass(slots=True)
class _ClassLatency:
    """Latency statistics of one query class."""

    # Totals of the current interval.
    elapsed_ms: float = 0
    service_ms: float = 0
    number: int = 0
    # Estimated latency without queueing.
    unloaded_ms: float = float('inf')

    def finish_step(self, *, is_quiet: bool) -> float:
        """Reset the totals; return the ratio of mean to unloaded latency."""
        mean = max(self.elapsed_ms / self.number, 0.001)
        service = self.service_ms / self.number
        if service:
            self.unloaded_ms = service + _OVERHEAD_MS
        elif mean < self.unloaded_ms:
            self.unloaded_ms = mean
        elif is_quiet:
            self.unloaded_ms += _RISE_WEIGHT * (mean - self.unloaded_ms)
        self.elapsed_ms = 0
        self.service_ms = 0
        self.number = 0
        return mean / self.unloaded_ms


class LatencyLimiter:
    """Adapts a limit to the ratio of current to unloaded latency.

    Latency is compared per class, since classes differ. The unloaded latency
    is derived from the service time that owners report, which excludes
    queueing. Without it, the lowest mean is used. That baseline rises only on
    means measured while at most half of the limit was in use, so that a
    lasting overload is not taken for normal latency.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._stepped_at = clock()
        self._classes: dict[str, _ClassLatency] = {}
        self._samples = 0
        self._peak = 0
        self.limit = _INITIAL_LIMIT

    def record(
        self,
        class_name: str,
        elapsed_ms: float,
        in_flight: int,
        service_ms: float = 0,
    ) -> None:
        """Record a finished query and the number of queries in flight."""
        latency = self._classes.setdefault(class_name, _ClassLatency())
        latency.elapsed_ms += elapsed_ms
        latency.service_ms += service_ms
        latency.number += 1
        self._samples += 1
        self._peak = max(self._peak, in_flight)
        now = self._clock()
        is_due = now - self._stepped_at >= _STEP_INTERVAL_S
        if is_due and self._samples >= _MIN_SAMPLES:
            self._step()
            self._stepped_at = now
            self._samples = 0
            self._peak = 0

    def _step(self) -> None:
        is_quiet = self._peak <= self.limit / 2
        weighted: float = 0
        for latency in self._classes.values():
            number = latency.number
            if number:
                weighted += number * latency.finish_step(is_quiet=is_quiet)
        ratio = weighted / self._samples
        gradient = min(max(_LATENCY_TOLERANCE / ratio, _MIN_GRADIENT), 1)
        desired = self.limit * gradient
        if not is_quiet:
            desired += math.sqrt(self.limit)
        smoothed = (1 - _STEP_WEIGHT) * self.limit + _STEP_WEIGHT * desired
        self.limit = min(max(smoothed, _MIN_LIMIT), _MAX_LIMIT)
