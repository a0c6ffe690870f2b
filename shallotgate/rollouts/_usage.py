"""Share of the requests that candidates got most recently."""

from collections import deque

# Time in seconds over which the share is computed, and after the begin of the
# full share, from which on entries have learnt of it.
_WINDOW_S = 0.6
_DELAY_S = 0.4
# Share from which candidates are in full use; some entries are out of touch.
_FULL_USE = 0.8
# Requests below which the share tells nothing.
_MIN_REQUESTS = 5


class UsageTracker:
    """Tracks the share; ``now`` is in monotonic seconds."""

    def __init__(self) -> None:
        # Times, requests and exposure, oldest first.
        self._points: deque[tuple[float, int, int]] = deque()

    def record(self, now: float, requests: int, spent: int) -> None:
        """Record the sums over all entries."""
        self._points.append((now, requests, spent))
        while self._points[0][0] < now - _WINDOW_S:
            self._points.popleft()

    def is_full(self, now: float, full_at: float) -> bool:
        """Return whether candidates get nearly all requests.

        ``full_at`` is when entries were allowed to send them all. Without
        enough requests since, there is nothing that speaks against it.
        """
        points = [
            point for point in self._points if point[0] >= full_at + _DELAY_S
        ]
        if not points:
            return False
        requests = points[-1][1] - points[0][1]
        spent = points[-1][2] - points[0][2]
        return requests < _MIN_REQUESTS or spent >= requests * _FULL_USE
