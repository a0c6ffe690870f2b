"""Number of live entries, as known to the leader."""

import threading

from shallotgate.generated.messages import FollowTier

# An entry is live for this time after its last request.
_ENTRY_TTL_S = 6.0
# An entry is silent if it has not asked for this time, in seconds. It asks
# again within a second of the last answer.
_SILENT_S = 2.0
# Entries state what they hold within this time after a change of the leader, in
# seconds.
_STATEMENT_S = 1.5
# A silent entry may still serve callers for this time, in seconds.
_SILENT_TTL_S = 60.0


class EntryCounter:
    """Counts the entries that share the limits of the tier.

    A new leader hears from the entries one after the other. Until each of them
    has had the time to ask, it relies on the count that they were told before.
    A count that is too low would let each entry use too large a share of the
    limits. Thread-safe; ``now`` is always in monotonic seconds.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Time of the last request of each entry.
        self._last_requests: dict[str, float] = {}
        # Time since which this member leads; None if it does not.
        self._leading_since: float | None = None
        # Highest count that an entry has reported to this leader.
        self._inherited = 0

    def set_leading(self, is_leading: bool, now: float) -> None:
        """Note the beginning or the end of the leadership."""
        with self._lock:
            self._leading_since = now if is_leading else None
            self._inherited = 0

    def record_request(
        self, entry: str, message: FollowTier, now: float
    ) -> None:
        """Record a request of an entry."""
        with self._lock:
            self._inherited = max(self._inherited, message.entries)
            if message.leaving:
                self._last_requests.pop(entry, None)
            else:
                self._last_requests[entry] = now

    def list_live(self, now: float) -> list[str]:
        """Return the live entries."""
        with self._lock:
            return [
                entry
                for entry, requested_at in self._last_requests.items()
                if now - requested_at < _ENTRY_TTL_S
            ]

    def count(self, now: float) -> int:
        """Return the number of entries; 0 if it is not known yet."""
        live = len(self.list_live(now))
        with self._lock:
            since = self._leading_since
            is_settled = since is not None and now - since >= _ENTRY_TTL_S
            if is_settled:
                return max(live, 1)
            return max(live, self._inherited) if self._inherited else 0

    def get_silent_share(self, now: float) -> float:
        """Return the part of the entries that have not been heard from lately.

        They may serve callers without this leader. 0 to 1; 1 at a new leader
        until the entries of the former one have stated what they hold.
        """
        with self._lock:
            ages = [now - at for at in self._last_requests.values()]
            since = self._leading_since
            is_new = since is not None and now - since < _STATEMENT_S
            if is_new and self._inherited:
                return 1
            heard = sum(age < _SILENT_S for age in ages)
            known = sum(age < _SILENT_TTL_S for age in ages)
            if since is None or now - since < _SILENT_TTL_S:
                known = max(known, self._inherited)
            return 1 - heard / known if known else 0
