"""Attempts beyond the first, which a service bears only few of."""

from dataclasses import dataclass

# Part of the ratio that is used: requests that are counted by this entry may
# reach the service a little later.
_RATIO_PART = 0.95
# Parts of the slack: what all entries together may have saved up, what they
# have right after a start, and what flows to them in a window. If all restart
# once, the sum of the three may be spent in one window.
_SAVED_PART = 0.6
_INITIAL_PART = 0.25
_FLOW_PART = 0.15


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
    slack. A part of the share is there from the start, so that the first
    requests have second attempts too. Spending in any window
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
            self._tokens = max(share * _INITIAL_PART, 1)
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
