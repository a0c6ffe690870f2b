"""Requests to targets that are cold."""

import random

from shallotgate.gateway._directory import Target


class WarmUpGate:
    """This entry's share of the requests that a cold target bears.

    Each entry sends at most one request in the time in which all entries
    together may send one each. The first one comes at a random moment of that
    time, so that entries that see the target at once do not all send at once.
    """

    def __init__(
        self,
        per_s: float,
        entries: int,
        generator: random.Random,
    ) -> None:
        """``per_s`` is what one target bears; 0 if that is not stated."""
        self._gap_s = entries / per_s if per_s else 0
        self._generator = generator

    def allows(self, target: Target, now: float) -> bool:
        """Return whether a request may be sent to a target."""
        if not self._gap_s or now >= target.cold_until:
            return True
        if target.cold_next_at is None:
            wait_s = self._gap_s * self._generator.random()
            target.cold_next_at = now + wait_s
        return now >= target.cold_next_at

    def note_sent(self, target: Target, now: float) -> None:
        """Note a request to a target."""
        if now < target.cold_until:
            target.cold_next_at = now + self._gap_s
        else:
            target.cold_next_at = None
