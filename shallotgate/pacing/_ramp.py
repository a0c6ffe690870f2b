"""Slow start of one target, derived from its replies."""

import math
from dataclasses import dataclass

# Slots that all entries together use first: few, because a target that has just
# started may be ten times slower than it will be.
START_SLOTS = 0.25
# Slots used to probe a target that is down: a few requests a second at the
# usual durations of work.
_PROBE_SLOTS = 0.05
# Replies and seconds between two steps. Entries report every 0.8 s at most, so
# that a step sees the effect of the previous one.
_STEP_REPLIES = 6
_MIN_STEP_REPLIES = 2
_STEP_S = 0.8
_MAX_STEP_S = 8.0
# Share of failures, requests waiting for each slot and slowness beyond the
# reported speed, from which on a step leads down.
_FAILING_SHARE = 0.2
_WAITING_PER_SLOT = 0.5
_SLOW_FACTOR = 2.0
_STEP_DOWN = 0.7
_MAX_EXPLAINED_FACTOR = 2.5
# Attempts that found no connection or lost it, as a number and as a share of
# the recent ones, that show that a target is down. Entries report the good
# replies from before with them. Rejections don't count: a target that sheds
# would get a few requests a second only. Recent is what has come within some
# tenths of a second, the time constant of the decay.
_DOWN_LOST = 3
_DOWN_SHARE = 0.3
_DOWN_DECAY_S = 0.5
# A target that has not been down for this time is no flapping one.
_RELAPSE_S = 15.0


@dataclass(frozen=True)
class ReplySums:
    """Sums over attempts at a target that ended in a span of time."""

    replies: int = 0
    failures: int = 0
    # Failures without any reply.
    lost: int = 0
    # Durations of good replies relative to what is usual at its speed.
    slowness: float = 0
    # Number of load reports, reported durations of work as multiples of the
    # usual one, and requests waiting for each slot.
    reports: int = 0
    speeds: float = 0
    waiting: float = 0

    def __add__(self, other: 'ReplySums') -> 'ReplySums':
        """Return the sums over both."""
        return ReplySums(
            self.replies + other.replies,
            self.failures + other.failures,
            self.lost + other.lost,
            self.slowness + other.slowness,
            self.reports + other.reports,
            self.speeds + other.speeds,
            self.waiting + other.waiting,
        )

    @property
    def is_congested(self) -> bool:
        """Whether the target gets more than it can process."""
        good = self.replies - self.failures
        # Entries subtract no more than a moment of slowness from the slowness
        # that they report.
        reported = self.speeds / max(self.reports, 1)
        unexplained = max(reported / _MAX_EXPLAINED_FACTOR, 1)
        return (
            self.failures > self.replies * _FAILING_SHARE
            or self.waiting > self.reports * _WAITING_PER_SLOT
            or self.slowness > good * unexplained * _SLOW_FACTOR
        )


class TargetRamp:
    """Number of slots that all entries together may use.

    A target that is slow for good ends its ramp like any other: only failures,
    a queue, or replies slower than its reported speed hold it back. ``now`` is
    always in monotonic seconds.

    >>> ramp = TargetRamp(slots=4)
    >>> ramp.share
    1
    >>> ramp.start(now=0)
    >>> ramp.share
    0.0625
    >>> good = ReplySums(replies=9, slowness=9, reports=9, speeds=9)
    >>> ramp.record(good, now=1)
    >>> ramp.share
    0.125
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(slots, 1)
        self._allowed: float = self._slots
        self.is_active = False
        self._step_at = float('-inf')
        # Reported duration of work as a multiple of the usual one.
        self._factor: float = 1
        self._sums = ReplySums()
        # Decayed numbers of attempts and of lost ones.
        self._recent: float = 0
        self._lost: float = 0
        self._recorded_at = float('-inf')
        # Times that the target went down recently, and the last one.
        self._falls = 0
        self._fell_at = float('-inf')

    @property
    def share(self) -> float:
        """Requests in progress at usual speed, as a share of the slots."""
        if not self.is_active:
            return 1
        # Even ten times slower a target can take the probes.
        usable = max(self._allowed / self._factor, _PROBE_SLOTS)
        return min(usable / self._slots, 1.0)

    def start(self, now: float) -> None:
        """Begin the slow start of a target that has just started."""
        self._begin(START_SLOTS, now)

    def record(self, sums: ReplySums, now: float) -> None:
        """Record replies, and make a step if it is due."""
        self._sums += sums
        decay = math.exp((self._recorded_at - now) / _DOWN_DECAY_S)
        self._recorded_at = now
        self._recent = self._recent * decay + sums.replies
        self._lost = self._lost * decay + sums.lost
        if self._lost >= max(_DOWN_LOST, self._recent * _DOWN_SHARE):
            self._fall(now)
        elif now - self._step_at >= self._get_step_s():
            needed = _STEP_REPLIES * min(self._allowed, 1)
            if self._sums.replies >= max(needed, _MIN_STEP_REPLIES):
                self._step(now)

    def _get_step_s(self) -> float:
        return min(_STEP_S * (1 << max(self._falls - 1, 0)), _MAX_STEP_S)

    def _step(self, now: float) -> None:
        sums = self._sums
        self._sums = ReplySums()
        self._step_at = now
        if not self.is_active:
            return
        if sums.reports:
            self._factor = max(sums.speeds / sums.reports, 1)
        restart = START_SLOTS / (1 << max(self._falls - 1, 0))
        if sums.is_congested:
            self._allowed = max(self._allowed * _STEP_DOWN, _PROBE_SLOTS)
        elif self._allowed < restart:
            self._allowed = restart
        else:
            self._allowed *= 2
        if self._allowed > self._slots:
            self.is_active = False

    def _fall(self, now: float) -> None:
        """Note that the target is down; several attempts show the same fall."""
        is_same = self.is_active and self._allowed == _PROBE_SLOTS
        if now - self._fell_at > _RELAPSE_S:
            self._falls = 0
        if not is_same:
            self._falls += 1
        self._fell_at = now
        self._begin(_PROBE_SLOTS, now)
        self._recent = 0
        self._lost = 0

    def _begin(self, allowed: float, now: float) -> None:
        self._allowed = allowed
        self.is_active = True
        self._step_at = now
        self._sums = ReplySums()
