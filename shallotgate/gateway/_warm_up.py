"""Rate limit for targets that are warming up."""

import random

from shallotgate.gateway._directory import Target


class WarmUpLimiter:
    """Applies this entry's share of a cold target's rate limit.

    Each entry sends at most one request per interval, where the interval is the
    number of entries divided by the rate limit. The first request is sent at a
    random time within it, so that entries that discover the target together do
    not all send at once.
    """

    def __init__(
        self,
        per_s: float,
        entries: int,
        generator: random.Random,
    ) -> None:
        """``per_s`` is the rate limit of a cold target; 0 means none.

        Without a known number of entries, which is given as 0, this entry
        sends nothing to a cold target that has a limit.
        """
        self._interval_s = entries / per_s if per_s else 0
        self._is_share_unknown = bool(per_s) and not entries
        self._generator = generator

    def is_stated(self, target: Target, now: float) -> bool:
        """Return whether a rate is stated for the target now."""
        is_rate_stated = self._interval_s > 0 or self._is_share_unknown
        return is_rate_stated and now < target.cold_until

    def allows(self, target: Target, now: float) -> bool:
        """Return whether a request may be sent to the target now."""
        if now >= target.cold_until:
            return True
        if self._is_share_unknown:
            return False
        if not self._interval_s:
            return True
        if target.cold_next_at is None:
            wait_s = self._interval_s * self._generator.random()
            target.cold_next_at = now + wait_s
        return now >= target.cold_next_at

    def record_sent(self, target: Target, now: float) -> None:
        """Record a request sent to the target."""
        if now < target.cold_until:
            target.cold_next_at = now + self._interval_s
        else:
            target.cold_next_at = None
