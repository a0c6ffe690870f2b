"""The lease of this instance."""

import threading
import time


class LeaseHolder:
    """Counts the lease from the send times of heartbeats.

    The lease ends at the latest end that was granted: a late reply to an old
    heartbeat neither shortens nor lengthens it. It is measured with the
    monotonic clock, which goes on while the process is stopped by a signal.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends_at = float('-inf')
        self._is_given_up = False

    def remaining_s(self) -> float:
        """Return the time left in seconds; no new work at 0 or less."""
        return self._ends_at - time.monotonic()

    def extend(self, ends_at: float) -> None:
        """Take a lease up to a monotonic time in seconds."""
        with self._lock:
            if not self._is_given_up:
                self._ends_at = max(self._ends_at, ends_at)

    def give_up(self) -> None:
        """End the lease for good; later replies don't bring it back."""
        with self._lock:
            self._is_given_up = True
            self._ends_at = float('-inf')
