"""All orders at the leader."""

from collections.abc import Iterable, Sequence

from shallotgate.generated.messages import (
    EndRollout,
    ListedTarget,
    MarkRollout,
    ObservedRollout,
)
from shallotgate.rollouts._clock import OrderClock
from shallotgate.rollouts._records import RolloutRecords
from shallotgate.rollouts._run import RolloutRun
from shallotgate.rollouts._versions import has_capacity

# Time in seconds for which the leader still answers for an order that has
# ended: entries use permits until they are told of the new version in force.
_RETENTION_S = 15.0


class RolloutBoard:
    """Runs the orders of a leader; ``now`` is in monotonic seconds.

    Not thread-safe, except that members that do not lead only call
    ``record``.
    """

    def __init__(self) -> None:
        self._clock = OrderClock()
        self._runs: dict[int, RolloutRun] = {}
        # When runs ended in the records, by order.
        self._ended_at: dict[int, float] = {}
        # Whether the next records are the first of a leadership.
        self._is_taking_over = True

    def reset(self) -> None:
        """Forget what was learnt from entries, for a new leadership."""
        self._runs.clear()
        self._ended_at.clear()
        self._is_taking_over = True

    def record(self, records: RolloutRecords, now: float) -> None:
        """Record the replicated orders, on every member."""
        self._clock.record(records, now)

    def follow(self, records: RolloutRecords, now: float) -> None:
        """Begin and end runs as the replicated records say."""
        running = {each.order: each for each in records.iter_running()}
        for order, rollout in running.items():
            known = self._runs.get(order)
            if known is not None:
                known.rollout = rollout
                continue
            self._runs[order] = RolloutRun(
                rollout,
                self._clock.get_elapsed_s(rollout, now),
                now,
                is_inherited=self._is_taking_over,
            )
        self._is_taking_over = False
        for ended in self._runs.keys() - running.keys():
            self._retain(ended, now)

    def grant(
        self, source: str, observed: Iterable[ObservedRollout], now: float
    ) -> list[int]:
        """Record what an entry states; return its permits for each order."""
        counts = []
        for each in observed:
            run = self._runs.get(each.order)
            counts.append(run.grant(source, each, now) if run else 0)
        return counts

    def review(
        self, targets: Sequence[ListedTarget], now: float
    ) -> list[MarkRollout | EndRollout]:
        """Take the steps that are due; return what is to be committed."""
        commands: list[MarkRollout | EndRollout] = []
        for run in self.list_running():
            rollout = run.rollout
            run.review(
                now,
                has_capacity=has_capacity(
                    rollout.service, rollout.target_version, targets
                ),
            )
            if run.state == 'running':
                mark = run.make_mark(now)
                commands.extend([] if mark is None else [mark])
                continue
            # Repeated until the records show it.
            commands.append(
                EndRollout(
                    service=rollout.service,
                    order=rollout.order,
                    state=run.state,
                )
            )
        return commands

    def list_running(self) -> list[RolloutRun]:
        """Return the runs that have not ended in the records."""
        return [
            run
            for order, run in self._runs.items()
            if order not in self._ended_at
        ]

    def _retain(self, order: int, now: float) -> None:
        """Keep a run that has ended in the records for a while."""
        self._runs[order].conclude('rolled_back')
        ended_at = self._ended_at.setdefault(order, now)
        if now - ended_at > _RETENTION_S:
            self._runs.pop(order)
            self._ended_at.pop(order)
