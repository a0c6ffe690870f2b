"""Pool of extra attempts that the leader grants to entries."""

import threading

from shallotgate.extras._policy import GRANT_SHARE, RetryBudgetPolicy
from shallotgate.extras._sliding_window import SlidingWindowCounter


class RetryGrantPool:
    """Grants the shared part of each service's slack.

    Failures rarely affect the requests of all entries equally, so one entry may
    need more than its share while others need nothing. A new leader does not
    know the grants of its predecessor. Its limit grows linearly over the first
    window, so that both together grant no more than one leader would, provided
    that the predecessor granted evenly. Thread-safe.

    >>> pool = RetryGrantPool(RetryBudgetPolicy(0.2, 10, 10))
    >>> pool.activate(0)
    >>> pool.grant('s', 5, now=0)
    0
    >>> pool.grant('s', 5, now=6)
    2
    >>> pool.grant('s', 5, now=10)
    1
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
            if self._active_since is None:
                return 0
            window_s = self._allowance.window_s
            count = self._counts.get(service)
            if count is None:
                count = SlidingWindowCounter(window_s)
                self._counts[service] = count
            count.advance_to(now)
            ramp = min((now - self._active_since) / window_s, 1)
            limit = self._allowance.slack * GRANT_SHARE * ramp
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
