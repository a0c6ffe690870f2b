"""Health of a target, derived from its replies."""

import math
import time

from shallotgate.gateway._speed import TargetSpeed
from shallotgate.gateway._wire import TargetLoad

_MS_PER_S = 1000
# Weight of the newest reply in the moving averages: three slow replies outweigh
# the history.
_NEWEST_WEIGHT = 0.3
# Time constant of the decay of observations, in seconds: a target that was slow
# is tried again within a few seconds.
_DECAY_S = 3.0
# Validity of a load report in seconds.
_LOAD_VALID_S = 0.25
# Weight of the newest report in the usual load by other entries, and the time
# constant of its decay in seconds, after which a target is tried again.
_NEWEST_LOAD_WEIGHT = 0.2
_USUAL_LOAD_DECAY_S = 5.0
# Back-off after a failed connection in seconds, doubled with each further
# failure.
_BACKOFF_MIN_S = 0.25
_BACKOFF_MAX_S = 2.0
# Validity of conditions after the last reply of the leader, in seconds: it
# replies at least every 0.8 s, and an election takes about as long.
_SHARED_VALID_S = 3.0
# Upper bound of the slowness factor.
_MAX_FACTOR = 50.0


class TargetHealth:
    """Speed, failures and load of one target, as seen by this entry."""

    def __init__(self) -> None:
        # Moving average of the reply duration relative to the median.
        self._factor: float = 1
        # Moving average of the failure rate, 0 to 1.
        self._failures: float = 0
        self._observed_at = float('-inf')
        self._load: TargetLoad | None = None
        self._load_at = float('-inf')
        self._in_flight_at_load = 0
        # Last load with a speed and its monotonic time; None before the first.
        self.last_report: tuple[TargetLoad, float] | None = None
        # Moving average of the requests of other entries at the target.
        self._usual_others: float = 0
        self.speed = TargetSpeed()
        self._failed_connects = 0
        # Monotonic end of the back-off after failed connections.
        self.down_until = float('-inf')
        # Condition aggregated over all entries, and its expiry.
        self._shared_factor: float = 1
        self._shared_failures: float = 0
        self._shared_until = float('-inf')
        # Monotonic start times of the attempts in flight, oldest first.
        self.in_flight: dict[object, float] = {}

    def estimate_condition(self, now: float) -> tuple[float, float]:
        """Return the slowness factor and the failure rate.

        The factor is the reply duration as a multiple of the median. For a
        target that reports its speed, slowness that its reports don't explain
        comes on top of its lasting speed.
        """
        decay = self._compute_decay(now)
        factor = 1 + (self._factor - 1) * decay
        failures = self._failures * decay
        if now < self._shared_until:
            factor = max(factor, self._shared_factor)
            failures = max(failures, self._shared_failures)
        if self.speed.is_reported:
            reported = self.speed.estimate_factor(now)
            factor = max(reported, factor * self.speed.lasting)
        return factor, failures

    def estimate_queue(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        in_flight = len(self.in_flight)
        age = (now - self._load_at) / _LOAD_VALID_S
        # A report is forgotten in favour of the usual load: if it fell to none,
        # all entries would take the same target for the free one.
        usual = self._estimate_usual_others(now) if age > 0 else 0
        if self._load is None or age > 1:
            return in_flight + usual
        others = _count_others(self._load, self._in_flight_at_load)
        return in_flight + others * (1 - age) + usual * age

    def get_stall_ms(self, now: float) -> float:
        """Return the age of the oldest attempt in flight."""
        oldest = next(iter(self.in_flight.values()), now)
        return (now - oldest) * _MS_PER_S

    def is_down(self, now: float) -> bool:
        """Return whether the target is in back-off after failed connects."""
        return now < self.down_until

    def is_reachable(self, now: float) -> bool:
        """Return whether the last connection to the target did not fail.

        A back-off that has expired does not show that it accepts them again.
        """
        return not (self._failed_connects or self.is_down(now))

    def record_reply(self, factor: float) -> None:
        """Record the duration of a reply as a multiple of the median."""
        now = time.monotonic()
        previous = self._get_local_factor(now)
        newest = min(factor, _MAX_FACTOR)
        self._factor = previous + (newest - previous) * _NEWEST_WEIGHT
        self._failures *= self._compute_decay(now) * (1 - _NEWEST_WEIGHT)
        self._observed_at = now
        self._failed_connects = 0

    def record_failure(self) -> None:
        """Record a failed or rejected request."""
        now = time.monotonic()
        factor = self._get_local_factor(now)
        failures = self._failures * self._compute_decay(now)
        self._failures = failures + (1 - failures) * _NEWEST_WEIGHT
        self._factor = factor
        self._observed_at = now

    def record_connect_failure(self) -> None:
        """Record a failure to connect and start a back-off."""
        self.record_failure()
        pause_s = _BACKOFF_MIN_S * 2**self._failed_connects
        self.down_until = time.monotonic() + min(pause_s, _BACKOFF_MAX_S)
        self._failed_connects += 1

    def record_load(self, load: TargetLoad) -> None:
        """Record the load reported in a reply."""
        now = time.monotonic()
        if load.duration_percent is not None:
            self.speed.record(load.duration_percent, now)
            self.last_report = (load, now)
            usual = self._estimate_usual_others(now)
            newest = _count_others(load, len(self.in_flight))
            self._usual_others = usual + (newest - usual) * _NEWEST_LOAD_WEIGHT
        self._load = load
        self._load_at = now
        self._in_flight_at_load = len(self.in_flight)

    def set_shared(self, factor: float, failures: float) -> None:
        """Set the condition aggregated over all entries."""
        self._shared_factor = factor
        self._shared_failures = failures
        self.renew_shared()

    def renew_shared(self) -> None:
        """Renew the aggregated condition."""
        self._shared_until = time.monotonic() + _SHARED_VALID_S

    def expire_shared(self) -> None:
        """Expire the aggregated condition."""
        self._shared_until = float('-inf')

    def _estimate_usual_others(self, now: float) -> float:
        decay = math.exp((self._load_at - now) / _USUAL_LOAD_DECAY_S)
        return self._usual_others * decay

    def _get_local_factor(self, now: float) -> float:
        return 1 + (self._factor - 1) * self._compute_decay(now)

    def _compute_decay(self, now: float) -> float:
        return math.exp((self._observed_at - now) / _DECAY_S)


def _count_others(load: TargetLoad, own: int) -> int:
    """Return the requests of other entries, given those of this one."""
    return max(load.running + load.waiting - own, 0)
