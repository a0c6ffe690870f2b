"""Policy of the retry budget and its division."""

from dataclasses import dataclass

# Shares of the slack that are available in any window: to the local budgets of
# all entries, and to grants of the leader.
LOCAL_SHARE = 0.4
GRANT_SHARE = 0.35
# Share of the slack in the first window after a start, when an entry does not
# know its earlier spending. If all entries restart once in a window, all three
# shares may be spent in it.
STARTUP_SHARE = 0.25


@dataclass(frozen=True)
class RetryBudgetPolicy:
    """Limit on the extra attempts of all entries on one service."""

    # Extra attempts per request.
    ratio: float
    # Additional extra attempts per window.
    slack: float
    # Length of the window in seconds.
    window_s: float
