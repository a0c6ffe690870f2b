"""Usual duration of the work of a kind of request."""

# Relative step towards each sample: the estimate moves to the median within
# some tens of replies.
_STEP = 1.05


class WorkDuration:
    """Median duration of replies without a queue, at the usual speed.

    Under load the durations of replies contain the queue, so only replies of
    targets without waiting requests count.

    >>> work = WorkDuration()
    >>> for _ in range(100):
    ...     work.record(34, waiting=0, slowness=2)
    >>> round(work.usual_ms)
    17
    """

    def __init__(self) -> None:
        # 0 before the first reply.
        self.usual_ms: float = 0

    def record(
        self, duration_ms: float, *, waiting: int, slowness: float
    ) -> None:
        """Record the duration of a reply and what its target reported."""
        if waiting:
            return
        sample_ms = duration_ms / slowness
        if self.usual_ms:
            nearest_ms = max(self.usual_ms / _STEP, sample_ms)
            self.usual_ms = min(self.usual_ms * _STEP, nearest_ms)
        else:
            self.usual_ms = sample_ms
