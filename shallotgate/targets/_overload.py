"""Slow replies in a row, as evidence of overload."""

import math

# Latency that counts as overload: this many times normal, and at least this
# much more than normal because of scheduling noise on very fast targets. One
# slow reply alone is an ordinary straggler, so it takes a run of them.
_FACTOR = 3.0
_MARGIN_MS = 10.0
_LEAST_RUN = 3
# A cold target is judged more strictly: a target whose service time rose to
# four times showed less than three times the latency on the connection, and
# was fed on until it collapsed. Where noise is too frequent for the stricter
# threshold, the wider one still counts.
_COLD_FACTOR = 2.0
_COLD_MARGIN_MS = 4.0
_COLD_LEAST_RUN = 2
# Where noise alone makes replies slow, a run of them must be so long that
# noise produces it less often than this. With fixed runs a target on a busy
# machine was halved again and again and never became warm.
_FALSE_ALARM_RATE = 0.001
_LONGEST_RUN = 5
_FIRST_RATE = 0.02
_RATE_WEIGHT = 0.02
_LEAST_RATE = 0.001
_MOST_RATE = 0.5


class SlowRun:
    """Counts replies beyond one threshold; the caller holds a lock.

    The threshold is ``factor`` times the normal latency and at least
    ``margin_ms`` above it.
    """

    def __init__(self, factor: float, margin_ms: float) -> None:
        self._factor = factor
        self._margin_ms = margin_ms
        # Share of slow replies that is not due to the load.
        self._rate = _FIRST_RATE
        self._length = 0
        # Smallest load at which a reply of this run was slow.
        self._load = 0
        # Whether an attempt that was sent during the run was slow as well.
        # A short stall makes all attempts slow that are in flight at once.
        self._is_confirmed = False

    @property
    def is_open(self) -> bool:
        """Return whether the last replies were slow."""
        return self._length > 0

    def is_slow(self, service_ms: float, normal_ms: float) -> bool:
        """Return whether a latency is beyond the threshold."""
        threshold_ms = max(
            normal_ms * self._factor,
            normal_ms + self._margin_ms,
        )
        return normal_ms > 0 and service_ms > threshold_ms

    def add(self, load: int, *, is_later: bool) -> None:
        """Count a slow reply.

        ``load`` is the most that ran at once with it; ``is_later`` tells
        whether it was sent after the run began.
        """
        self._load = min(self._load, load) if self._length else load
        self._is_confirmed = self._is_confirmed or (self.is_open and is_later)
        self._length += 1
        if load == 1:
            self._learn(is_slow=True)

    def end(self, load: int, *, is_warm: bool) -> None:
        """Note an ordinary reply, which ends the run at no smaller load.

        At a smaller load it refutes nothing: a target that turned cold
        answers single attempts as fast as before.
        """
        if load >= self._load:
            if self._load > 1:
                # Not the load but noise made the replies of the run slow.
                for _ in range(self._length):
                    self._learn(is_slow=True)
            self.clear()
        if is_warm or load == 1:
            self._learn(is_slow=False)

    def clear(self) -> None:
        """Begin a new run."""
        self._length = 0
        self._load = 0
        self._is_confirmed = False

    def is_overload(self, least: int) -> bool:
        """Return whether the run is longer than noise explains."""
        return self._is_confirmed and self._length >= max(
            min(self._needed_run(), _LONGEST_RUN),
            least,
        )

    def is_noisy(self) -> bool:
        """Return whether noise alone makes runs of the longest length."""
        return self._needed_run() > _LONGEST_RUN

    def _needed_run(self) -> int:
        return round(math.log(_FALSE_ALARM_RATE) / math.log(self._rate))

    def _learn(self, *, is_slow: bool) -> None:
        rate = self._rate + _RATE_WEIGHT * (is_slow - self._rate)
        self._rate = min(max(rate, _LEAST_RATE), _MOST_RATE)


class SlowRuns:
    """Evidence of overload by both thresholds; the caller holds a lock."""

    def __init__(self) -> None:
        # Whether a slot rests because the last reply at load was slow.
        self.is_held = False
        self._wide = SlowRun(_FACTOR, _MARGIN_MS)
        # Counts for a cold target only.
        self._strict = SlowRun(_COLD_FACTOR, _COLD_MARGIN_MS)

    @property
    def is_open(self) -> bool:
        """Return whether slowness is neither confirmed nor refuted."""
        return self._wide.is_open or self._strict.is_open

    def is_slow(
        self,
        service_ms: float,
        normal_ms: float,
        *,
        is_cold: bool,
    ) -> bool:
        """Return whether a latency counts as overload."""
        run = self._strict if is_cold else self._wide
        return run.is_slow(service_ms, normal_ms)

    def add(
        self,
        service_ms: float,
        normal_ms: float,
        peak: int,
        *,
        is_cold: bool,
        is_later: bool,
    ) -> bool:
        """Count a slow reply; returns whether the target is overloaded."""
        self.is_held = not is_cold and peak > 1
        if self._wide.is_slow(service_ms, normal_ms):
            # A cold target is not given the time for a confirmation.
            self._wide.add(peak, is_later=is_later or is_cold)
        if not is_cold:
            return self._wide.is_overload(_LEAST_RUN)
        self._strict.add(peak, is_later=True)
        return self._wide.is_overload(_COLD_LEAST_RUN) or (
            self._strict.is_overload(_COLD_LEAST_RUN)
            and not self._strict.is_noisy()
        )

    def end(self, load: int, *, is_cold: bool) -> None:
        """Note an ordinary reply."""
        self._wide.end(load, is_warm=not is_cold)
        if is_cold:
            self._strict.end(load, is_warm=False)
        else:
            self._strict.clear()

    def clear(self) -> None:
        """Begin anew after the limit was reduced."""
        self.is_held = False
        self._wide.clear()
        self._strict.clear()
