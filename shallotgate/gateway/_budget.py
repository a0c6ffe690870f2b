"""Attempts beyond the first, which a service bears only few of."""

from dataclasses import dataclass

# Part of the allowance that is used: arrivals at the edge of the window and a
# changing number of entries must not exceed it.
_USED_PART = 0.8


@dataclass(frozen=True)
class ExtraAllowance:
    """What a service bears from all entries together."""

    # Extra attempts for each request.
    ratio: float
    # Extra attempts in a window besides.
    slack: float
    # Seconds that the window lasts.
    window_s: float


class ExtraBudget:
    """This entry's share of the extra attempts on one service.

    Each request adds the ratio, and time adds this entry's share of the
    slack; at most one share is saved up. Spending in any window then stays
    within the ratio of its requests and the slack. A restarted entry begins
    with nothing, because its former process may have spent the share.

    >>> budget = ExtraBudget(ExtraAllowance(0.5, 0, 10), now=0)
    >>> budget.earn(0, entries=1)
    >>> budget.take()
    False
    >>> for _ in range(2):
    ...     budget.earn(0, entries=1)
    >>> budget.take()
    True
    """

    def __init__(self, allowance: ExtraAllowance, now: float) -> None:
        self._allowance = allowance
        self._tokens: float = 0
        self._filled_at = now

    def earn(self, now: float, entries: int) -> None:
        """Note a request to the service; ``now`` is in monotonic seconds."""
        allowance = self._allowance
        # Half of the share may be saved up and half flows in a window.
        share = allowance.slack * _USED_PART / max(entries, 1) / 2
        inflow = share * (now - self._filled_at) / allowance.window_s
        self._filled_at = now
        earned = allowance.ratio * _USED_PART + inflow
        # At least one whole attempt, or a small share could never be used.
        self._tokens = min(self._tokens + earned, max(share, 1))

    def take(self) -> bool:
        """Spend one extra attempt; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
