"""Policy of the retry budget and its division."""

from dataclasses import dataclass

# Shares of the slack that are available in any window: to the local budgets of
# all entries, and to grants of the leader.
LOCAL_SHARE = 0.4
GRANT_SHARE = 0.3
# Share of the slack that a new leader grants in its first window, when it does
# not know what its predecessor granted. At most the share above, so that the
# grants of one leader never exceed that in any window.
TAKEOVER_SHARE = 0.13
# Share of the slack in the first window after a start, when an entry does not
# know its earlier spending. If all entries restart and the leader changes once
# in a window, all four shares may be spent in it.
STARTUP_SHARE = 0.17
# Fractions of an attempt can't be spent, so an entry whose local share is below
# one whole attempt gets one, if all entries together leave room for the grants.
_MIN_SLACK_PER_ENTRY = 1 / (1 - GRANT_SHARE - TAKEOVER_SHARE)


@dataclass(frozen=True)
class RetryBudgetPolicy:
    """Limit on the extra attempts of all entries on one service."""

    # Extra attempts per request.
    ratio: float
    # Additional extra attempts per window.
    slack: float
    # Length of the window in seconds.
    window_s: float

    def compute_local_slack(self, entries: int, *, is_new: bool) -> float:
        """Return the part of the slack that one entry spends in a window.

        ``entries`` is the number of entries, 0 if it is unknown; ``is_new``
        tells that the entry started within the window.
        """
        per_entry = self.slack / entries if entries else 0
        if is_new:
            local = per_entry * STARTUP_SHARE
            return local if local >= 1 else 0
        if per_entry < _MIN_SLACK_PER_ENTRY:
            return 0
        return max(per_entry * LOCAL_SHARE, 1)
