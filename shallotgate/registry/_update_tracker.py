"""Table versions that entries hold, as known to the leader."""

import threading
from dataclasses import dataclass

from shallotgate.logs import get_logger

_LOGGER = get_logger('followers')


@dataclass
class _Position:
    # Version that the entry stated in its last request.
    held: int
    # Newest version sent to it; -1 if it was sent none.
    sent: int = -1
    # Monotonic time at which that version was sent.
    sent_at: float = 0


class UpdateTracker:
    """Notices entries that do not receive the tables sent to them.

    Thread-safe; ``now`` is always in monotonic seconds.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._positions: dict[str, _Position] = {}

    def record_request(self, entry: str, version: int, now: float) -> None:
        """Record the version that an entry states to hold."""
        with self._lock:
            position = self._positions.setdefault(entry, _Position(version))
            position.held = version
            if version >= position.sent:
                return
            _LOGGER.warning(
                'Table was sent and not received.',
                extra={
                    'entry': entry,
                    'held': version,
                    'sent': position.sent,
                    'age_s': round(now - position.sent_at, 3),
                },
            )
            # Logged once for each reply that was lost.
            position.sent = -1

    def record_sent(self, entry: str, version: int, now: float) -> None:
        """Record that a reply with a table was sent to an entry."""
        with self._lock:
            position = self._positions.setdefault(entry, _Position(-1))
            position.sent = version
            position.sent_at = now

    def count_behind(self, entries: list[str], version: int) -> int:
        """Return how many of the entries held an older table when they asked.

        >>> tracker = UpdateTracker()
        >>> tracker.record_request('entry-1', 4, now=0)
        >>> tracker.count_behind(['entry-1'], version=5)
        1
        """
        with self._lock:
            held = (self._positions.get(entry) for entry in entries)
            return sum(
                1
                for position in held
                if position is not None and position.held < version
            )
