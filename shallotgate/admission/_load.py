"""What an entry knows of the load of one target, and how certain it is."""

import math
from dataclasses import dataclass

# Time constant of the moving averages in seconds: loads change many times a
# second, so a report after a longer silence replaces the average.
_AVERAGE_S = 0.5
# Time constants in seconds in which knowledge becomes uncertain. A queue has
# on average as much time left as it has been seen for. Moments of slowness take
# 0.6 s and are 2.5 times as slow; slower work is a fault that takes seconds.
_MIN_CERTAINTY_S = 0.6
_MAX_CERTAINTY_S = 2.0
_FAULT_SLOWNESS = 3.5
# The same for a target that did not reply: an entry learns of it only after the
# deadline of a request, and asks a shard about every 2 s.
_SILENCE_CERTAINTY_S = 3.0
# Reports further apart than this, in seconds, don't belong to one queue.
_SAME_QUEUE_S = 4.0
# Time left for an attempt without a reply, as a multiple of its age. Pauses
# are shorter than most objectives; what takes longer has a long tail.
_SILENCE_FACTOR = 2.0
_PERCENT = 100


@dataclass(frozen=True)
class LoadReport:
    """Load that a target reports in a reply."""

    # Requests that run, wait, and can run at the same time.
    running: int
    waiting: int
    slots: int
    # Present duration of work on the target; 100 is usual.
    duration_percent: float

    @property
    def occupancy(self) -> float:
        """Requests at the target, as a multiple of its slots."""
        return (self.running + self.waiting) / max(self.slots, 1)

    @property
    def slowness(self) -> float:
        """Duration of work as a multiple of the usual one."""
        return max(self.duration_percent, 1) / _PERCENT


@dataclass(frozen=True)
class LoadEstimate:
    """Expected load of a target and the certainty of it, 0 to 1."""

    certainty: float = 0
    occupancy: float = 0
    slowness: float = 1
    # Expected duration of an attempt without a reply; 0 if there is none.
    silence_ms: float = 0
    age_s: float = math.inf


# A target that is unknown counts as good.
UNKNOWN = LoadEstimate()


class TargetLoadAverage:
    """Averages of the reports of one target."""

    def __init__(self) -> None:
        self._occupancy: float = 0
        self._slowness: float = 1
        self._reported_at = -math.inf
        # Time of the first report of the present queue.
        self._full_since = math.inf
        self._silence_ms: float = 0
        self._silent_at = -math.inf

    def record(self, report: LoadReport, now: float) -> None:
        """Record the report of a reply."""
        weight = 1 - math.exp((self._reported_at - now) / _AVERAGE_S)
        if report.occupancy <= 1:
            self._full_since = math.inf
        elif now - self._reported_at > _SAME_QUEUE_S:
            self._full_since = now
        else:
            self._full_since = min(self._full_since, now)
        # Replies at the same moment count, too.
        weight = max(weight, 0.1)
        self._occupancy += (report.occupancy - self._occupancy) * weight
        self._slowness += (report.slowness - self._slowness) * weight
        self._reported_at = now
        self._silence_ms = 0

    def record_silence(self, elapsed_ms: float, now: float) -> None:
        """Record an attempt that was given up without a reply."""
        self._silence_ms = elapsed_ms * _SILENCE_FACTOR
        self._silent_at = now

    def estimate(self, now: float, stall_ms: float = 0) -> LoadEstimate:
        """Return the expected load.

        ``stall_ms`` is the age of the oldest attempt in flight.
        """
        age_s = now - self._reported_at
        silence_ms = self._silence_ms * _decay(
            now - self._silent_at, _SILENCE_CERTAINTY_S
        )
        return LoadEstimate(
            certainty=_decay(age_s, self._find_certainty_s()),
            occupancy=self._occupancy,
            slowness=self._slowness,
            silence_ms=max(silence_ms, stall_ms * _SILENCE_FACTOR),
            age_s=age_s,
        )

    def _find_certainty_s(self) -> float:
        """Return the time constant of the last report."""
        if self._occupancy <= 1 or self._slowness > _FAULT_SLOWNESS:
            return _MAX_CERTAINTY_S
        seen_s = self._reported_at - self._full_since
        return min(max(seen_s, _MIN_CERTAINTY_S), _MAX_CERTAINTY_S)


def _decay(age_s: float, constant_s: float) -> float:
    return math.exp(-age_s / constant_s)
