"""The lease of this instance."""

import threading
import time


class LeaseHolder:
    """Tracks the lease, measured from the send times of heartbeats.

    The latest granted end applies: a late reply to an old heartbeat neither
    shortens nor extends the lease. The monotonic clock keeps running while
    the process is stopped by a signal.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends_at = float('-inf')
        self._is_revoked = False

    def remaining_s(self) -> float:
        """Return the time left in seconds; no new work at 0 or less."""
        return self._ends_at - time.monotonic()

    def extend(self, ends_at: float) -> None:
        """Extend the lease to a monotonic time in seconds."""
        with self._lock:
            if not self._is_revoked:
                self._ends_at = max(self._ends_at, ends_at)

    def revoke(self) -> None:
        """End the lease permanently; later replies don't renew it."""
        with self._lock:
            self._is_revoked = True
            self._ends_at = float('-inf')
