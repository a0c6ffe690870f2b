"""What an entry knows of the load of one target, and how certain it is."""

import math
from dataclasses import dataclass

# Time constant of the moving averages in seconds: loads change many times a
# second, so a report after a longer silence replaces the average.
_AVERAGE_S = 0.5
# Time constant in seconds in which knowledge becomes uncertain. Faults last
# for seconds, and an entry hears of a shard about every 2 s.
_CERTAINTY_S = 2.0
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
        self._silence_ms: float = 0
        self._silent_at = -math.inf

    def record(self, report: LoadReport, now: float) -> None:
        """Record the report of a reply."""
        weight = 1 - math.exp((self._reported_at - now) / _AVERAGE_S)
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
        silence_ms = self._silence_ms * _decay(now - self._silent_at)
        return LoadEstimate(
            certainty=_decay(age_s),
            occupancy=self._occupancy,
            slowness=self._slowness,
            silence_ms=max(silence_ms, stall_ms * _SILENCE_FACTOR),
            age_s=age_s,
        )


def _decay(age_s: float) -> float:
    return math.exp(-age_s / _CERTAINTY_S)
