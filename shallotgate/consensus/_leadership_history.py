"""Times at which leaderships began, as seen in applied records."""


class LeadershipHistory:
    """Times of the newest leadership and of the one before it.

    A leadership is noticed with its first applied record, which each leader
    commits before it serves. So a member that leads knows of each leadership
    before its own, at the earliest at the time at which it began. Times are
    monotonic, in seconds.

    >>> history = LeadershipHistory(started_at=0)
    >>> history.record_term(1, now=2)
    >>> history.record_term(1, now=3)
    >>> history.record_term(2, now=30)
    >>> history.previous_at
    2
    """

    def __init__(self, started_at: float) -> None:
        """Any number of leaderships may have begun before ``started_at``."""
        self._term = 0
        self._newest_at = started_at
        self.previous_at = started_at

    def record_term(self, term: int, now: float) -> None:
        """Record the term of an applied record."""
        if term != self._term:
            self._term = term
            self.previous_at = self._newest_at
            self._newest_at = now

    def record_gap(self, now: float) -> None:
        """Record that records were skipped, for example by a snapshot."""
        self._newest_at = now
        self.previous_at = now
