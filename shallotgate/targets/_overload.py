"""Overload detection from streaks of slow replies."""

import math

# A reply is slow if its latency exceeds this multiple of the normal latency
# and exceeds it by at least the margin. The margin covers scheduling noise on
# very fast targets. A single slow reply is an ordinary straggler, so overload
# takes a streak.
_SLOW_FACTOR = 3.0
_SLOW_MARGIN_MS = 10.0
_MIN_STREAK = 3
# Stricter thresholds for a cold target: a fourfold increase of the service
# time raised the latency measured on the connection less than threefold, so
# the wider threshold let a cold target be loaded until it collapsed. The wider
# threshold still applies where noise is too frequent for the stricter one.
_COLD_FACTOR = 2.0
_COLD_MARGIN_MS = 4.0
_COLD_MIN_STREAK = 2
# Where noise causes slow replies, the required streak is so long that noise
# produces it at less than this rate. With a fixed length, a target on a busy
# machine was reduced repeatedly and never became warm.
_FALSE_ALARM_RATE = 0.001
_MAX_REQUIRED_STREAK = 5
_INITIAL_NOISE_RATE = 0.02
_NOISE_RATE_WEIGHT = 0.02
_MIN_NOISE_RATE = 0.001
_MAX_NOISE_RATE = 0.5


class SlowStreak:
    """Streak of replies slower than one threshold.

    The threshold is ``factor`` times the normal latency and at least
    ``margin_ms`` above it. The caller must hold a lock.
    """

    def __init__(self, factor: float, margin_ms: float) -> None:
        self._factor = factor
        self._margin_ms = margin_ms
        # Estimated share of slow replies that are not caused by load.
        self._noise_rate = _INITIAL_NOISE_RATE
        self._length = 0
        # Smallest load at which a reply of this streak was slow.
        self._min_load = 0
        # Whether an attempt that was sent during the streak was slow, too. A
        # short stall slows all attempts that are in flight at that moment.
        self._is_confirmed = False

    @property
    def is_active(self) -> bool:
        """Return whether the most recent replies were slow."""
        return self._length > 0

    def is_slow(self, service_ms: float, normal_ms: float) -> bool:
        """Return whether a latency exceeds the threshold."""
        threshold_ms = max(
            normal_ms * self._factor,
            normal_ms + self._margin_ms,
        )
        return normal_ms > 0 and service_ms > threshold_ms

    def record_slow(self, load: int, *, during_slow_streak: bool) -> None:
        """Record a slow reply.

        ``load`` is the peak number of attempts in flight while it ran.
        ``during_slow_streak`` tells whether it was sent after the streak
        began.
        """
        self._min_load = min(self._min_load, load) if self._length else load
        self._is_confirmed = self._is_confirmed or (
            self.is_active and during_slow_streak
        )
        self._length += 1
        if load == 1:
            self._update_noise_rate(is_slow=True)

    def record_normal(self, load: int, *, is_warm: bool) -> None:
        """Record a reply of normal latency.

        It ends the streak only if its load was not smaller than that of the
        streak: a target that has become cold answers single attempts as fast
        as before.
        """
        if load >= self._min_load:
            if self._min_load > 1:
                # A normal reply at the same load shows that the streak was
                # caused by noise.
                for _ in range(self._length):
                    self._update_noise_rate(is_slow=True)
            self.clear()
        if is_warm or load == 1:
            self._update_noise_rate(is_slow=False)

    def clear(self) -> None:
        """Start a new streak."""
        self._length = 0
        self._min_load = 0
        self._is_confirmed = False

    def is_overload(self, min_length: int) -> bool:
        """Return whether the streak is longer than noise accounts for."""
        return self._is_confirmed and self._length >= max(
            min(self._required_length(), _MAX_REQUIRED_STREAK),
            min_length,
        )

    def is_noisy(self) -> bool:
        """Return whether noise can produce the longest required streak."""
        return self._required_length() > _MAX_REQUIRED_STREAK

    def _required_length(self) -> int:
        return round(math.log(_FALSE_ALARM_RATE) / math.log(self._noise_rate))

    def _update_noise_rate(self, *, is_slow: bool) -> None:
        noise_rate = self._noise_rate + _NOISE_RATE_WEIGHT * (
            is_slow - self._noise_rate
        )
        self._noise_rate = min(
            max(noise_rate, _MIN_NOISE_RATE), _MAX_NOISE_RATE
        )


class OverloadDetector:
    """Detects overload by two thresholds; the caller must hold a lock."""

    def __init__(self) -> None:
        # Whether one slot is held back because the last reply under load was
        # slow.
        self.holds_slot = False
        self._lenient = SlowStreak(_SLOW_FACTOR, _SLOW_MARGIN_MS)
        # Used for cold targets only.
        self._strict = SlowStreak(_COLD_FACTOR, _COLD_MARGIN_MS)

    @property
    def is_active(self) -> bool:
        """Return whether slowness is neither confirmed nor refuted."""
        return self._lenient.is_active or self._strict.is_active

    def is_slow(
        self,
        service_ms: float,
        normal_ms: float,
        *,
        is_cold: bool,
    ) -> bool:
        """Return whether a latency counts as slow."""
        streak = self._strict if is_cold else self._lenient
        return streak.is_slow(service_ms, normal_ms)

    def record_slow(
        self,
        service_ms: float,
        normal_ms: float,
        peak_load: int,
        *,
        is_cold: bool,
        during_slow_streak: bool,
    ) -> bool:
        """Record a slow reply; returns whether the target is overloaded."""
        self.holds_slot = not is_cold and peak_load > 1
        if self._lenient.is_slow(service_ms, normal_ms):
            # The streak of a cold target counts as confirmed even if no attempt
            # was sent during it, so that the limit is reduced early.
            self._lenient.record_slow(
                peak_load, during_slow_streak=during_slow_streak or is_cold
            )
        if not is_cold:
            return self._lenient.is_overload(_MIN_STREAK)
        self._strict.record_slow(peak_load, during_slow_streak=True)
        return self._lenient.is_overload(_COLD_MIN_STREAK) or (
            self._strict.is_overload(_COLD_MIN_STREAK)
            and not self._strict.is_noisy()
        )

    def record_normal(self, load: int, *, is_cold: bool) -> None:
        """Record a reply of normal latency."""
        self._lenient.record_normal(load, is_warm=not is_cold)
        if is_cold:
            self._strict.record_normal(load, is_warm=False)
        else:
            self._strict.clear()

    def clear(self) -> None:
        """Discard the evidence after the limit was reduced."""
        self.holds_slot = False
        self._lenient.clear()
        self._strict.clear()
