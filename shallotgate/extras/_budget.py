"""The extra attempts that an entry makes without asking."""

from shallotgate.extras._policy import (
    INITIAL_PART,
    OWN_PART,
    ExtraAllowance,
)
from shallotgate.extras._sliding_window import WindowCount

# Part of the ratio that is used: the count reaches up to a twentieth beyond
# the window, and what is counted may reach the service a little later.
_RATIO_PART = 0.9


class ExtraBudget:
    """This entry's share of the extra attempts on one service.

    In any window an entry makes at most the ratio of its requests and its
    share of the slack as extra attempts. Summed over all entries that is what
    the service bears, as long as the slack is larger than the number of
    entries. If all entries restart once in the window, it holds as long as
    the initial part of each share is a whole attempt; with smaller shares each
    entry may spend one attempt before and one after the restart.

    >>> budget = ExtraBudget(ExtraAllowance(0.5, 0, 10))
    >>> budget.earn(0, entries=1)
    >>> budget.take(0)
    True
    >>> budget.take(0)
    False
    >>> budget.earn(11, entries=1)
    >>> budget.take(11)
    True
    """

    def __init__(self, allowance: ExtraAllowance) -> None:
        self._allowance = allowance
        self._count = WindowCount(allowance.window_s)
        self._started_at: float | None = None
        self._share: float = 0

    def earn(self, now: float, entries: int) -> None:
        """Note a request to the service; ``now`` is in monotonic seconds."""
        if self._started_at is None:
            self._started_at = now
        self._share = self._allowance.slack / max(entries, 1)
        self._count.add(now, requests=1)

    def take(self, now: float) -> bool:
        """Spend one extra attempt; returns whether there was one."""
        self._count.turn_to(now)
        if self._count.extras + 1 > self._read_limit(now):
            return False
        self._count.add(now, extras=1)
        return True

    def _read_limit(self, now: float) -> float:
        """Return how many extra attempts the last window may have."""
        allowance = self._allowance
        started_at = now if self._started_at is None else self._started_at
        is_new = now - started_at <= allowance.window_s
        part = INITIAL_PART if is_new else OWN_PART
        # At least one whole attempt, or a small share could never be used.
        slack = max(self._share * part, 1)
        return allowance.ratio * _RATIO_PART * self._count.requests + slack
