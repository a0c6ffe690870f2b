"""Speed of a target, from the durations of work that it reports."""

import math
import statistics
from collections import deque

_PERCENT = 100
# Samples of which the lasting speed is the median: a moment of slowness, which
# takes 0.6 s, covers at most three of them.
_MAX_SAMPLES = 15
_SAMPLE_INTERVAL_S = 0.3
# Samples of the usual speed that stand in until the target has replied more
# often: the first reply may fall into a moment of slowness.
_PRIOR_SAMPLES = (1.0, 1.0)
# Time constant, in seconds, with which the lasting speed of a target that
# isn't used returns to the usual one, so that it is tried again.
_LASTING_DECAY_S = 60.0
# Moments of slowness take 0.6 s and are 2.5 times as slow. A slow period seen
# for longer has on average as much time left as it has been seen for, up to the
# bound; one that is much slower is a fault and takes seconds.
_MOMENT_S = 0.6
_MAX_MOMENT_S = 3.0
_FAULT_FACTOR = 3.5
# Factor relative to the lasting one from which a target is slow at present.
_SLOW_FACTOR = 1.5
# Replies further apart than this, in seconds, don't belong to one slow period.
_SAME_PERIOD_S = 3.0


class TargetSpeed:
    """Duration of work on one target as a multiple of the usual duration.

    The lasting factor is kept apart from the present one, which says little
    after a moment.

    >>> speed = TargetSpeed()
    >>> for number in range(9):
    ...     speed.record(120, now=number)
    >>> speed.record(300, now=9)
    >>> speed.lasting, speed.estimate_factor(now=9)
    (1.2, 3.0)
    >>> round(speed.estimate_factor(now=12), 1)
    1.2
    """

    def __init__(self) -> None:
        self._samples = deque(_PRIOR_SAMPLES, maxlen=_MAX_SAMPLES)
        self._sampled_at = float('-inf')
        self._lasting: float = 1
        self._present: float = 1
        # Monotonic times of the last report and of the first one of the
        # current slow period.
        self._recorded_at = float('-inf')
        self._slow_since = float('inf')

    @property
    def is_reported(self) -> bool:
        """Whether the target reports the duration of work."""
        return self._recorded_at > float('-inf')

    @property
    def lasting(self) -> float:
        """Lasting factor as of the last report."""
        return self._lasting

    def record(self, duration_percent: int, now: float) -> None:
        """Record the present duration of work that a reply stated."""
        factor = duration_percent / _PERCENT
        if now - self._sampled_at >= _SAMPLE_INTERVAL_S:
            self._samples.append(factor)
            self._sampled_at = now
            self._lasting = statistics.median(self._samples)
        is_slow = factor > self._lasting * _SLOW_FACTOR
        is_same_period = now - self._recorded_at < _SAME_PERIOD_S
        if not is_slow:
            self._slow_since = float('inf')
        elif not is_same_period or math.isinf(self._slow_since):
            self._slow_since = now
        self._present = factor
        self._recorded_at = now

    def estimate_factor(self, now: float) -> float:
        """Return the factor expected for work that starts now."""
        age_s = now - self._recorded_at
        seen_s = max(self._recorded_at - self._slow_since, 0)
        decay_s = min(max(seen_s, _MOMENT_S), _MAX_MOMENT_S)
        if self._present > self._lasting * _FAULT_FACTOR:
            decay_s = _MAX_MOMENT_S
        lasting = 1 + (self._lasting - 1) * math.exp(-age_s / _LASTING_DECAY_S)
        return lasting + (self._present - lasting) * math.exp(-age_s / decay_s)
