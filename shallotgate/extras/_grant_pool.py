"""Pool of extra attempts that the leader grants to entries."""

import threading

from shallotgate.extras._policy import GRANT_SHARE, RetryBudgetPolicy
from shallotgate.extras._sliding_window import SlidingWindowCounter


class RetryGrantPool:
    """Grants the shared part of each service's slack.

    Failures rarely affect the requests of all entries equally, so one entry may
    need more than its share while others need nothing. A new leader does not
    know the grants of its predecessor, so it grants nothing in its first
    window. Thread-safe.

    >>> pool = RetryGrantPool(RetryBudgetPolicy(0.2, 10, 10))
    >>> pool.activate(0)
    >>> pool.grant('s', 5, now=10)
    0
    >>> pool.grant('s', 5, now=11)
    3
    >>> pool.grant('s', 1, now=11)
    0
    """

    def __init__(self, allowance: RetryBudgetPolicy) -> None:
        self._allowance = allowance
        self._lock = threading.Lock()
        # Monotonic time since which this member leads; None if it does not.
        self._active_since: float | None = None
        # Granted attempts by service.
        self._counts: dict[str, SlidingWindowCounter] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Services with recent grants."""
        return tuple(self._counts)

    def activate(self, now: float) -> None:
        """Start granting as leader; ``now`` is in monotonic seconds."""
        with self._lock:
            if self._active_since is None:
                self._active_since = now

    def deactivate(self) -> None:
        """Stop granting."""
        with self._lock:
            self._active_since = None

    def grant(self, service: str, wanted: int, now: float) -> int:
        """Return how many of the wanted extra attempts are granted."""
        with self._lock:
            window_s = self._allowance.window_s
            active_since = self._active_since
            if active_since is None or now - active_since <= window_s:
                return 0
            count = self._counts.get(service)
            if count is None:
                count = SlidingWindowCounter(window_s)
                self._counts[service] = count
            count.advance_to(now)
            limit = self._allowance.slack * GRANT_SHARE
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
