"""The extra attempts that a leader lends to entries that have none left."""

import threading

from shallotgate.extras._policy import LENT_PART, ExtraAllowance
from shallotgate.extras._sliding_window import WindowCount


class ExtraPool:
    """Part of the slack of each service that is there for whoever needs it.

    Trouble rarely strikes the requests of all entries alike, so an entry may
    need more than its share while others need nothing. A leader that is new
    does not know what the former one lent; it lends as much more as time has
    passed, so that both together lend in a window what one would, if the
    former one lent evenly. Used from several threads.

    >>> pool = ExtraPool(ExtraAllowance(0.2, 10, 10))
    >>> pool.begin(0)
    >>> pool.lend('s', 5, now=0)
    0
    >>> pool.lend('s', 5, now=6)
    2
    >>> pool.lend('s', 5, now=10)
    1
    """

    def __init__(self, allowance: ExtraAllowance) -> None:
        self._allowance = allowance
        self._lock = threading.Lock()
        # Monotonic time since which this member leads; None if it does not.
        self._leads_since: float | None = None
        # What was lent, by service.
        self._counts: dict[str, WindowCount] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Services to which something was lent lately."""
        return tuple(self._counts)

    def begin(self, now: float) -> None:
        """Begin to lend, as a leader; ``now`` is in monotonic seconds."""
        with self._lock:
            if self._leads_since is None:
                self._leads_since = now

    def end(self) -> None:
        """Lend no more."""
        with self._lock:
            self._leads_since = None

    def lend(self, service: str, wanted: int, now: float) -> int:
        """Return how many of the wanted extra attempts may be made."""
        with self._lock:
            if self._leads_since is None:
                return 0
            window_s = self._allowance.window_s
            count = self._counts.get(service)
            if count is None:
                count = WindowCount(window_s)
                self._counts[service] = count
            count.turn_to(now)
            ramp = min((now - self._leads_since) / window_s, 1)
            limit = self._allowance.slack * LENT_PART * ramp
            lent = max(min(wanted, int(limit) - count.extras), 0)
            if lent:
                count.add(now, extras=lent)
            return lent

    def forget_idle(self, now: float) -> None:
        """Drop services to which nothing was lent in the last window."""
        with self._lock:
            for service, count in list(self._counts.items()):
                count.turn_to(now)
                if not count.extras:
                    self._counts.pop(service)
