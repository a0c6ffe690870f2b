"""How many attempts one target may run at once."""

from shallotgate.targets._overload import SlowRuns

# Successes in a row, at full use of the limit, before it grows. Above the
# catalogue's cold_slots it takes twice as many.
_GROWTH_RUN = 20
# Each time the limit is reduced the next growth takes twice as long, up to
# this factor.
_MAX_BACKOFF = 8
# A target that has not answered for this many times the normal latency is
# overloaded, without further evidence.
_TIMEOUT_FACTOR = 10.0
_LATENCY_WEIGHT = 0.2
# Normal latency falls quickly and rises slowly, so that a slow spell does
# not become the norm. With a weight of 0.03 noise on a busy machine raised it
# so far that four times the service time was less than three times normal.
_NORMAL_FALL_WEIGHT = 0.2
_NORMAL_RISE_WEIGHT = 0.01


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
        # Times that the limit was reduced. What an attempt sent before the
        # last reduction shows is due to the former limit.
        self.reductions = 0
        self.slow = SlowRuns()
        self._good_run = 0
        self._backoff = 1
        self.turn_cold()

    @property
    def is_cold(self) -> bool:
        """Return whether the limit is below the slots of the catalogue."""
        return self.is_half or self.limit < self.slots

    @property
    def room(self) -> int:
        """Return how many attempts may be in flight at this moment.

        While slowness of a warm target is neither confirmed nor refuted it
        is the limit less one, so that what is sent to find out is less than
        what made it slow.
        """
        return max(self.limit - 1, 1) if self.slow.is_held else self.limit

    def turn_cold(self) -> None:
        """Go back to one slot at half use."""
        if not self._cold_start:
            return
        self.limit = 1
        self.is_half = True
        self._backoff = 1
        self._start_over()

    def adopt(self, limit: int, normal_ms: float) -> None:
        """Take over what the former owner learnt; 0 means half use."""
        self.normal_ms = normal_ms
        if self._cold_start:
            self.limit = min(max(limit, 1), self.slots)
            self.is_half = limit < 1

    def note_success(
        self,
        service_ms: float,
        load: int,
        peak: int = 0,
        *,
        is_later: bool = True,
    ) -> None:
        """Learn from a reply.

        ``load`` is what ran when it was sent, with itself, and ``peak`` the
        most that ran at once until its reply. ``is_later`` tells whether it
        was sent while there was a slow run.
        """
        peak = max(peak, load)
        self.note_latency(service_ms)
        if self.slow.is_slow(
            service_ms,
            self.normal_ms,
            is_cold=self.is_cold,
        ):
            if peak == 1:
                # At the smallest load the latency is normal by definition;
                # otherwise a slower target would stay cold for ever.
                self._learn_normal(service_ms)
            self.note_slow(service_ms, peak, is_later=is_later)
            return
        self.slow.is_held = self.slow.is_held and load < self.room
        self.slow.end(load, is_cold=self.is_cold)
        if peak == 1 or not self.is_cold or service_ms < self.normal_ms:
            self._learn_normal(service_ms)
        if load >= self.limit and self.is_cold:
            self._good_run += 1
            if self._good_run >= self._needed_run():
                self._grow()

    def note_latency(self, service_ms: float) -> None:
        """Smooth the latency of replies."""
        former_ms = self.latency_ms or service_ms
        self.latency_ms = former_ms + _LATENCY_WEIGHT * (service_ms - former_ms)

    def note_slow(
        self,
        service_ms: float,
        peak: int = 1,
        *,
        is_later: bool = True,
    ) -> None:
        """Count an attempt that took or waited this long, if it is slow."""
        is_cold = self.is_cold
        normal_ms = self.normal_ms
        if self.slow.is_slow(service_ms, normal_ms, is_cold=is_cold):
            is_overloaded = self.slow.add(
                service_ms,
                normal_ms,
                peak,
                is_cold=is_cold,
                is_later=is_later,
            )
            if is_overloaded:
                self.note_shed()

    def note_failure(self) -> None:
        """Begin a new run of successes."""
        self._good_run = 0

    def note_shed(self) -> None:
        """Reduce the limit: the target refused for lack of slots."""
        if self.is_cold:
            self._halve()
        else:
            self.turn_cold()

    def note_timeout(
        self,
        given_ms: float,
        peak: int = 1,
        *,
        is_later: bool = True,
    ) -> None:
        """Reduce the limit unless the time given was too short anyway.

        A caller's short deadline shows no more than a slow reply does.
        """
        if given_ms > self.normal_ms * _TIMEOUT_FACTOR:
            self._halve()
        else:
            self.note_slow(given_ms, peak, is_later=is_later)

    def _learn_normal(self, service_ms: float) -> None:
        if self.normal_ms == 0:
            self.normal_ms = service_ms
            return
        falling = service_ms < self.normal_ms
        weight = _NORMAL_FALL_WEIGHT if falling else _NORMAL_RISE_WEIGHT
        self.normal_ms += weight * (service_ms - self.normal_ms)

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
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
        if self.limit == 1:
            self.is_half = True
        self.limit = max(self.limit // 2, 1)
        self._start_over()

    def _start_over(self) -> None:
        self.reductions += 1
        self._good_run = 0
        self.slow.clear()
