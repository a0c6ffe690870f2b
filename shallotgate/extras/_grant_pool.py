"""Pool of extra attempts that the leader grants to entries."""

import threading

from shallotgate.extras._policy import (
    GRANT_SHARE,
    TAKEOVER_SHARE,
    RetryBudgetPolicy,
)
from shallotgate.extras._sliding_window import SlidingWindowCounter


class RetryGrantPool:
    """Grants the shared part of each service's slack.

    Failures rarely affect the requests of all entries equally, so one entry may
    need more than its share while others need nothing. A new leader does not
    know the grants of its predecessor, so it grants from a part kept for it in
    its first window. If another leadership began in the window before, that
    part may be spent, and it grants nothing. Thread-safe.

    >>> pool = RetryGrantPool(RetryBudgetPolicy(0.2, 10, 10))
    >>> pool.activate(20, previous_at=0)
    >>> pool.grant('s', 5, now=20)
    1
    >>> pool.grant('s', 5, now=31)
    3
    >>> pool.grant('s', 1, now=31)
    0
    """

    def __init__(self, allowance: RetryBudgetPolicy) -> None:
        self._allowance = allowance
        self._lock = threading.Lock()
        # Monotonic time since which this member leads; None if it does not.
        self._active_since: float | None = None
        # Share of the slack that it grants in its first window.
        self._first_share: float = 0
        # Granted attempts by service.
        self._counts: dict[str, SlidingWindowCounter] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Services with recent grants."""
        return tuple(self._counts)

    def activate(self, now: float, previous_at: float) -> None:
        """Start granting as leader.

        ``previous_at`` is when the leadership before this one began, or a later
        time if it is unknown; both are in monotonic seconds.
        """
        with self._lock:
            if self._active_since is None:
                self._active_since = now
                is_first_change = now - previous_at > self._allowance.window_s
                self._first_share = TAKEOVER_SHARE if is_first_change else 0

    def deactivate(self) -> None:
        """Stop granting."""
        with self._lock:
            self._active_since = None

    def grant(self, service: str, wanted: int, now: float) -> int:
        """Return how many of the wanted extra attempts are granted."""
        with self._lock:
            share = self._get_share(now)
            if not share:
                return 0
            window_s = self._allowance.window_s
            count = self._counts.get(service)
            if count is None:
                count = SlidingWindowCounter(window_s)
                self._counts[service] = count
            count.advance_to(now)
            limit = self._allowance.slack * share
            granted = max(min(wanted, int(limit) - count.extras), 0)
            if granted:
                count.add(now, extras=granted)
            return granted

    def evict_idle(self, now: float) -> None:
        """Evict services without a grant in the last window."""
        with self._lock:
            for service, count in list(self._counts.items()):
                count.advance_to(now)
                if not count.extras:
                    self._counts.pop(service)

    def _get_share(self, now: float) -> float:
        """Return the share of the slack that may be granted in a window."""
        if self._active_since is None:
            return 0
        is_new = now - self._active_since <= self._allowance.window_s
        return self._first_share if is_new else GRANT_SHARE
