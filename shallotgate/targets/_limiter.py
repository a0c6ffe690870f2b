"""How many attempts one target may run at once."""

import math

# Successes in a row, at full use of the limit, before it grows. Above the
# catalogue's cold_slots it takes twice as many.
_GROWTH_RUN = 20
# Each time the limit is reduced the next growth takes twice as long, up to
# this factor.
_MAX_BACKOFF = 8
# Latency that counts as overload: this many times normal, and at least this
# much more than normal because of scheduling noise on very fast targets. One
# slow reply alone is an ordinary straggler, so it takes a run of them.
_SLOW_FACTOR = 3.0
_SLOW_MARGIN_MS = 10.0
_SLOW_RUN = 3
# A cold target is judged more strictly: a target whose service time rose to
# four times showed less than three times the latency on the connection, and
# was fed on until it collapsed.
_COLD_SLOW_FACTOR = 2.0
_COLD_SLOW_MARGIN_MS = 4.0
_COLD_SLOW_RUN = 2
# A target that has not answered for this many times the normal latency is
# overloaded, without further evidence.
_TIMEOUT_FACTOR = 10.0
# Where noise alone makes replies slow, a run of them must be so long that
# noise produces it less often than this. With fixed runs a target on a busy
# machine was halved again and again and never became warm.
_FALSE_ALARM_RATE = 0.001
_LONGEST_SLOW_RUN = 5
_FIRST_SLOW_RATE = 0.02
_SLOW_RATE_WEIGHT = 0.02
_LEAST_SLOW_RATE = 0.001
_MOST_SLOW_RATE = 0.5
_LATENCY_WEIGHT = 0.2
# Normal latency falls quickly and rises slowly, so that a slow spell does
# not become the norm.
_NORMAL_FALL_WEIGHT = 0.2
_NORMAL_RISE_WEIGHT = 0.03


class Limiter:
    """Limit of one target with cold start; the caller holds a lock.

    A cold target starts with one slot at half use. Half use means that
    after each attempt the slot rests for as long as the attempt took.

    >>> limiter = Limiter(slots=3, cold_slots=1, cold_start=True)
    >>> limiter.limit, limiter.is_half, limiter.is_cold
    (1, True, True)
    """

    def __init__(self, slots: int, cold_slots: int, cold_start: bool) -> None:
        self.slots = slots
        self.latency_ms = float(0)
        self.normal_ms = float(0)
        self.limit = slots
        self.is_half = False
        self._cold_slots = cold_slots
        self._cold_start = cold_start
        self._good_run = 0
        self._slow_run = 0
        # Share of slow replies that is not due to the load put on it.
        self._slow_rate = _FIRST_SLOW_RATE
        self._backoff = 1
        self.turn_cold()

    @property
    def is_cold(self) -> bool:
        """Return whether the limit is below the slots of the catalogue."""
        return self.is_half or self.limit < self.slots

    def turn_cold(self) -> None:
        """Go back to one slot at half use."""
        if not self._cold_start:
            return
        self.limit = 1
        self.is_half = True
        self._good_run = 0
        self._slow_run = 0
        self._backoff = 1

    def adopt(self, limit: int, normal_ms: float) -> None:
        """Take over what the former owner learnt; 0 means half use."""
        self.normal_ms = normal_ms
        if self._cold_start:
            self.limit = min(max(limit, 1), self.slots)
            self.is_half = limit < 1

    def is_slow(self, service_ms: float) -> bool:
        """Return whether a latency counts as overload."""
        factor, margin_ms = _SLOW_FACTOR, _SLOW_MARGIN_MS
        if self.is_cold:
            factor, margin_ms = _COLD_SLOW_FACTOR, _COLD_SLOW_MARGIN_MS
        return self._exceeds(service_ms, factor, margin_ms)

    def note_success(self, service_ms: float, load: int) -> None:
        """Learn from a reply; ``load`` is what ran when it was sent."""
        former_ms = self.latency_ms or service_ms
        self.latency_ms = former_ms + _LATENCY_WEIGHT * (service_ms - former_ms)
        is_slow = self.is_slow(service_ms)
        if load == 1 or not self.is_cold:
            self._note_slow_rate(is_slow)
        if is_slow:
            if load == 1:
                # At the smallest load the latency is normal by definition;
                # otherwise a slower target would stay cold for ever.
                self._learn_normal(service_ms)
            self.note_slow()
            return
        self._slow_run = 0
        if load == 1 or not self.is_cold or service_ms < self.normal_ms:
            self._learn_normal(service_ms)
        if load >= self.limit and self.is_cold:
            self._good_run += 1
            if self._good_run >= self._needed_run():
                self._grow()

    def note_slow(self) -> None:
        """Count one attempt of excessive latency."""
        self._slow_run += 1
        noise_run = round(
            math.log(_FALSE_ALARM_RATE) / math.log(self._slow_rate),
        )
        least = _COLD_SLOW_RUN if self.is_cold else _SLOW_RUN
        if self._slow_run < min(max(noise_run, least), _LONGEST_SLOW_RUN):
            return
        if self.is_cold:
            self._halve()
        else:
            self.turn_cold()

    def note_failure(self) -> None:
        """Begin a new run of successes."""
        self._good_run = 0

    def note_shed(self) -> None:
        """Reduce the limit: the target refused for lack of slots."""
        if self.is_cold:
            self._halve()
        else:
            self.turn_cold()

    def note_timeout(self, given_ms: float) -> None:
        """Reduce the limit unless the time given was too short anyway.

        A caller's short deadline shows no more than a slow reply does.
        """
        if not self.normal_ms or self._exceeds(given_ms, _TIMEOUT_FACTOR, 0):
            self._halve()
        elif self.is_slow(given_ms):
            self.note_slow()

    def _note_slow_rate(self, is_slow: bool) -> None:
        rate = self._slow_rate
        rate += _SLOW_RATE_WEIGHT * (is_slow - rate)
        self._slow_rate = min(max(rate, _LEAST_SLOW_RATE), _MOST_SLOW_RATE)

    def _learn_normal(self, service_ms: float) -> None:
        if self.normal_ms == 0:
            self.normal_ms = service_ms
            return
        falling = service_ms < self.normal_ms
        weight = _NORMAL_FALL_WEIGHT if falling else _NORMAL_RISE_WEIGHT
        self.normal_ms += weight * (service_ms - self.normal_ms)

    def _exceeds(
        self,
        service_ms: float,
        factor: float,
        margin_ms: float,
    ) -> bool:
        normal_ms = self.normal_ms
        threshold_ms = max(normal_ms * factor, normal_ms + margin_ms)
        return normal_ms > 0 and service_ms > threshold_ms

    def _needed_run(self) -> int:
        beyond = not self.is_half and self.limit >= self._cold_slots
        factor = 2 if beyond else 1
        return _GROWTH_RUN * self._backoff * factor

    def _grow(self) -> None:
        self._good_run = 0
        if self.is_half:
            self.is_half = False
        else:
            self.limit += 1
        self._backoff = max(self._backoff // 2, 1)

    def _halve(self) -> None:
        if not self._cold_start:
            return
        self._good_run = 0
        self._slow_run = 0
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
        if self.limit == 1:
            self.is_half = True
        self.limit = max(self.limit // 2, 1)
