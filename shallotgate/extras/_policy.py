"""The stated bound on extra attempts, and how it is divided."""

from dataclasses import dataclass

# Parts of the slack. What the entries use of their shares in any window, and
# what a leader lends them beside that in any window.
OWN_PART = 0.4
LENT_PART = 0.35
# What an entry uses of its share in the first window after a start, when it
# does not know what it spent before. If all entries restart once in a window,
# the three parts may be spent in it.
INITIAL_PART = 0.25


@dataclass(frozen=True)
class ExtraAllowance:
    """What a service bears from all entries together."""

    # Extra attempts for each request.
    ratio: float
    # Extra attempts in a window besides.
    slack: float
    # Seconds that the window lasts.
    window_s: float
