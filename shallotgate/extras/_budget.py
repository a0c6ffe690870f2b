"""Local retry budget of an entry."""

from shallotgate.extras._policy import RetryBudgetPolicy
from shallotgate.extras._sliding_window import SlidingWindowCounter

# Used part of the ratio: the counted window is up to a twentieth longer than
# the configured one, and counted requests may reach the service later.
_RATIO_SHARE = 0.9


class RetryBudget:
    """This entry's share of the retry budget of one service.

    In any window an entry makes at most the ratio of its requests plus its
    share of the slack as extra attempts. Summed over all entries and the
    grants of the leader this stays within the policy, also if all entries
    restart once in the window. An entry that does not know how many entries
    there are has no share of the slack.

    >>> budget = RetryBudget(RetryBudgetPolicy(0.5, 6, 10), started_at=0)
    >>> budget.record_request(0, entries=1)
    >>> budget.try_spend(0)
    True
    >>> budget.try_spend(0)
    False
    >>> budget.record_request(11, entries=1)
    >>> budget.try_spend(11)
    True
    """

    def __init__(self, allowance: RetryBudgetPolicy, started_at: float) -> None:
        """``started_at`` is the monotonic time at which the entry started.

        What was spent before is not known, so the share is smaller in the
        first window.
        """
        self._allowance = allowance
        self._count = SlidingWindowCounter(allowance.window_s)
        self._started_at = started_at
        # Number of entries that share the slack; 0 if it is unknown.
        self._entries = 0

    def record_request(self, now: float, entries: int) -> None:
        """Record a request; ``now`` is in monotonic seconds.

        ``entries`` is the number of entries, 0 if it is unknown.
        """
        self._entries = entries
        self._count.add(now, requests=1)

    def has_recent_extras(self, now: float) -> bool:
        """Return whether extra attempts were spent in the last window."""
        self._count.advance_to(now)
        return self._count.extras > 0

    def try_spend(self, now: float) -> bool:
        """Spend one extra attempt; return False if none is available."""
        self._count.advance_to(now)
        if self._count.extras + 1 > self._compute_limit(now):
            return False
        self._count.add(now, extras=1)
        return True

    def _compute_limit(self, now: float) -> float:
        """Return the limit on extra attempts in the current window."""
        allowance = self._allowance
        is_new = now - self._started_at <= allowance.window_s
        slack = allowance.compute_local_slack(self._entries, is_new=is_new)
        return allowance.ratio * _RATIO_SHARE * self._count.requests + slack
