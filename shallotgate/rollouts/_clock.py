"""Time since the acceptance of each order."""

from shallotgate.rollouts._records import Rollout, RolloutRecords


class OrderClock:
    """Measures orders on the clock of this process.

    Every member follows it: it counts from the moment at which it applied the
    last mark of the leader, so that a new leader knows the time despite the
    election. After a restart the time since the last mark is lost. ``now`` is
    in monotonic seconds.
    """

    def __init__(self) -> None:
        # Marked time, and when it was applied, by order.
        self._marks: dict[int, tuple[float, float]] = {}

    def record(self, records: RolloutRecords, now: float) -> None:
        """Record the marks of all running orders."""
        marks: dict[int, tuple[float, float]] = {}
        for rollout in records.iter_running():
            known = self._marks.get(rollout.order)
            if known is None or known[0] != rollout.elapsed_s:
                known = (rollout.elapsed_s, now)
            marks[rollout.order] = known
        self._marks = marks

    def get_elapsed_s(self, rollout: Rollout, now: float) -> float:
        """Return the seconds since an order was accepted."""
        elapsed_s, marked_at = self._marks.get(
            rollout.order, (rollout.elapsed_s, now)
        )
        return elapsed_s + max(now - marked_at, 0)
