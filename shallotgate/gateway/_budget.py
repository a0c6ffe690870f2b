"""Attempts beyond the first, which a service bears only few of."""

from dataclasses import dataclass

# Part of the ratio that is used: requests that are counted by this entry may
# reach the service a little later.
_RATIO_PART = 0.8
# Part of the slack that all entries together may have saved up. A restarted
# entry has its part once more, so twice this may be spent in a window.
_SAVED_PART = 0.25
# Part of the slack that flows to all entries together in a window.
_FLOW_PART = 0.4


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
    slack. A part of the share is there from the start and can be saved up, so
    that the first requests have second attempts too. Spending in any window
    stays within the ratio of its requests and the slack, also if all entries
    restart once in it, as long as the slack is larger than the number of
    entries.

    >>> budget = ExtraBudget(ExtraAllowance(0.5, 0, 10))
    >>> budget.earn(0, entries=1)
    >>> budget.take()
    True
    >>> budget.take()
    False
    """

    def __init__(self, allowance: ExtraAllowance) -> None:
        self._allowance = allowance
        self._tokens: float = 0
        self._filled_at: float | None = None

    def earn(self, now: float, entries: int) -> None:
        """Note a request to the service; ``now`` is in monotonic seconds."""
        allowance = self._allowance
        share = allowance.slack / max(entries, 1)
        # At least one whole attempt, or a small share could never be used.
        saved = max(share * _SAVED_PART, 1)
        if self._filled_at is None:
            self._tokens = saved
            self._filled_at = now
        elapsed = (now - self._filled_at) / allowance.window_s
        self._filled_at = now
        earned = allowance.ratio * _RATIO_PART + share * _FLOW_PART * elapsed
        self._tokens = min(self._tokens + earned, saved)

    def take(self) -> bool:
        """Spend one extra attempt; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
