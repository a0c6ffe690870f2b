"""Adaptive concurrency limit of one target."""

from shallotgate.targets._overload import OverloadDetector

# Consecutive successes at full use of the limit before it grows. Above
# cold_slots of the catalogue twice as many are required.
_SUCCESSES_TO_GROW = 20
# Each reduction of the limit doubles the number of successes required for the
# next growth, up to this factor.
_MAX_BACKOFF = 8
# A target that has not replied within this multiple of the normal latency is
# overloaded without further evidence.
_TIMEOUT_FACTOR = 10.0
_LATENCY_WEIGHT = 0.2
# The normal latency falls quickly and rises slowly, so that a temporary
# slowdown does not raise the baseline. With a weight of 0.03, noise on a busy
# machine raised it until a fourfold service time stayed below three times the
# normal latency.
_NORMAL_FALL_WEIGHT = 0.2
_NORMAL_RISE_WEIGHT = 0.01


class Limiter:
    """Concurrency limit with cold start; the caller must hold a lock.

    A cold target starts with one slot at half duty cycle: after each attempt
    the slot pauses for as long as the attempt took.

    >>> limiter = Limiter(slots=3, cold_slots=1, cold_start=True)
    >>> limiter.limit, limiter.is_half_duty, limiter.is_cold
    (1, True, True)
    """

    def __init__(self, slots: int, cold_slots: int, cold_start: bool) -> None:
        self.slots = slots
        self.latency_ms = float(0)
        self.normal_ms = float(0)
        self.limit = slots
        self.is_half_duty = False
        self._cold_slots = cold_slots
        self._cold_start = cold_start
        # Number of times the limit was reduced. Outcomes of attempts that were
        # dispatched before the last reduction reflect the former limit.
        self.reductions = 0
        self.overload = OverloadDetector()
        self._successes = 0
        self._backoff = 1
        self.reset_to_cold()

    @property
    def is_cold(self) -> bool:
        """Return whether the limit is below the catalogue's slots."""
        return self.is_half_duty or self.limit < self.slots

    @property
    def capacity(self) -> int:
        """Return how many attempts may be in flight now.

        While slowness of a warm target is neither confirmed nor refuted, this
        is one less than the limit, so that the attempts sent to find out load
        the target less than those that were slow.
        """
        return (
            max(self.limit - 1, 1) if self.overload.holds_slot else self.limit
        )

    def reset_to_cold(self) -> None:
        """Reset the limit to one slot at half duty cycle."""
        if not self._cold_start:
            return
        self.limit = 1
        self.is_half_duty = True
        self._backoff = 1
        self._reset_evidence()

    def restore(self, limit: int, normal_ms: float) -> None:
        """Restore the limit of the former owner; 0 means half duty cycle."""
        self.normal_ms = normal_ms
        if self._cold_start:
            self.limit = min(max(limit, 1), self.slots)
            self.is_half_duty = limit < 1

    def record_success(
        self,
        service_ms: float,
        load: int,
        peak_load: int = 0,
        *,
        during_slow_streak: bool = True,
    ) -> None:
        """Record a successful reply.

        ``load`` is the number of attempts in flight at dispatch and
        ``peak_load`` the maximum until the reply, both including the attempt
        itself. ``during_slow_streak`` tells whether the attempt was sent
        during a streak of slow replies.
        """
        peak_load = max(peak_load, load)
        self.record_latency(service_ms)
        if self.overload.is_slow(
            service_ms,
            self.normal_ms,
            is_cold=self.is_cold,
        ):
            if peak_load == 1:
                # The latency of a single attempt is the normal latency by
                # definition; otherwise a target that became slower would stay
                # cold for ever.
                self._update_normal(service_ms)
            self.record_slow(
                service_ms, peak_load, during_slow_streak=during_slow_streak
            )
            return
        self.overload.holds_slot = (
            self.overload.holds_slot and load < self.capacity
        )
        self.overload.record_normal(load, is_cold=self.is_cold)
        if peak_load == 1 or not self.is_cold or service_ms < self.normal_ms:
            self._update_normal(service_ms)
        if load >= self.limit and self.is_cold:
            self._successes += 1
            if self._successes >= self._required_successes():
                self._grow()

    def record_latency(self, service_ms: float) -> None:
        """Update the moving average of the latency."""
        previous_ms = self.latency_ms or service_ms
        self.latency_ms = previous_ms + _LATENCY_WEIGHT * (
            service_ms - previous_ms
        )

    def record_slow(
        self,
        service_ms: float,
        peak_load: int = 1,
        *,
        during_slow_streak: bool = True,
    ) -> None:
        """Record the duration of an attempt if it counts as slow."""
        is_cold = self.is_cold
        normal_ms = self.normal_ms
        if self.overload.is_slow(service_ms, normal_ms, is_cold=is_cold):
            is_overloaded = self.overload.record_slow(
                service_ms,
                normal_ms,
                peak_load,
                is_cold=is_cold,
                during_slow_streak=during_slow_streak,
            )
            if is_overloaded:
                self.record_shed()

    def record_failure(self) -> None:
        """Reset the count of consecutive successes."""
        self._successes = 0

    def record_shed(self) -> None:
        """Reduce the limit because the target shed an attempt."""
        if self.is_cold:
            self._halve()
        else:
            self.reset_to_cold()

    def record_timeout(
        self,
        allowed_ms: float,
        peak_load: int = 1,
        *,
        during_slow_streak: bool = True,
    ) -> None:
        """Reduce the limit unless the deadline was too short to be evidence.

        A timeout after a short deadline counts as a slow reply.
        """
        if allowed_ms > self.normal_ms * _TIMEOUT_FACTOR:
            self._halve()
        else:
            self.record_slow(
                allowed_ms, peak_load, during_slow_streak=during_slow_streak
            )

    def _update_normal(self, service_ms: float) -> None:
        if self.normal_ms == 0:
            self.normal_ms = service_ms
            return
        falling = service_ms < self.normal_ms
        weight = _NORMAL_FALL_WEIGHT if falling else _NORMAL_RISE_WEIGHT
        self.normal_ms += weight * (service_ms - self.normal_ms)

    def _required_successes(self) -> int:
        above_cold_slots = (
            not self.is_half_duty and self.limit >= self._cold_slots
        )
        factor = 2 if above_cold_slots else 1
        return _SUCCESSES_TO_GROW * self._backoff * factor

    def _grow(self) -> None:
        self._successes = 0
        if self.is_half_duty:
            self.is_half_duty = False
        else:
            self.limit += 1
        self._backoff = max(self._backoff // 2, 1)

    def _halve(self) -> None:
        if not self._cold_start:
            return
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
        if self.limit == 1:
            self.is_half_duty = True
        self.limit = max(self.limit // 2, 1)
        self._reset_evidence()

    def _reset_evidence(self) -> None:
        self.reductions += 1
        self._successes = 0
        self.overload.clear()
