"""Queue, slots and threads of one owned target."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Learnt, TargetState
from shallotgate.invariants import check
from shallotgate.targets._connection_manager import ConnectionManager
from shallotgate.targets._connector import TargetConnection, TargetConnector
from shallotgate.targets._core import TargetCore
from shallotgate.targets._gate import DispatchGate
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._queue import Refusal
from shallotgate.targets._suspects import SuspectTracker
from shallotgate.targets._task import AttemptTask, Outcome

# An attempt still in flight this long after its deadline is answered without
# waiting for its connection.
_OVERDUE_S = 0.05

Deliver = Callable[[AttemptTask, Outcome, TargetState], None]


@dataclass(frozen=True)
class PoolDependencies:
    """Dependencies that all pools of an owner share."""

    connector: TargetConnector
    gate: DispatchGate
    suspects: SuspectTracker
    # Delivers the reply of an attempt; called without holding locks.
    deliver: Deliver
    # Starts a worker thread with one more connection.
    start_worker: Callable[['TargetPool'], None]
    cold_start: bool


class TargetPool:
    """Attempts of one target.

    Called by submitters, by one thread per connection and by the timer. Its
    lock guards the core; replies are delivered without holding the lock.
    """

    def __init__(
        self,
        target: Target,
        slots: int,
        learnt: Learnt | None,
        dependencies: PoolDependencies,
    ) -> None:
        limiter = Limiter(slots, target.cold_slots, dependencies.cold_start)
        self.target = target
        self.core = TargetCore(target, slots, limiter, dependencies.gate)
        # Set when the pool starts to close.
        self.closing = threading.Event()
        self._dependencies = dependencies
        # Guards the core.
        self.lock = threading.Lock()
        self._task_available = threading.Condition(self.lock)
        self.connection_manager = ConnectionManager(
            self.core,
            self._task_available,
            dependencies.connector,
            dependencies.suspects,
            learnt,
        )

    def submit(self, task: AttemptTask) -> None:
        """Queue an attempt or refuse it; never blocks."""
        with self.lock:
            reason = self.core.find_queue_refusal(task)
            if not reason:
                self.core.queue.add(task)
                self._wake_worker()
                return
            task.claim_reply()
            state = self.core.make_state()
        if reason == 'late':
            _return_trials(self._dependencies.suspects, [task])
        self._dependencies.deliver(task, Outcome('not_run', reason), state)

    def cancel(self, task: AttemptTask) -> None:
        """Drop a queued attempt or close the connection of a running one."""
        with self.lock:
            if task.answered:
                return
            outcome = Outcome('not_run', 'cancelled')
            if task in self.core.running:
                if not task.attempt.trial:
                    _cancel_running(task)
                    return
                # A trial keeps running, because its outcome must be recorded.
                outcome = Outcome('cancelled')
            self.core.queue.discard(task)
            task.claim_reply()
            state = self.core.make_state()
        self._dependencies.deliver(task, outcome, state)

    def sweep(self, now: float) -> None:
        """Complete the attempts whose deadline has passed."""
        with self.lock:
            late = _claim_all(_remove_expired(self.core, now))
            overdue = _claim_all(_close_overdue(self.core.running, now))
            self._wake_worker()
            state = self.core.make_state()
        reason = 'unreachable' if state.lost else 'late'
        _return_trials(self._dependencies.suspects, late)
        self._deliver_all(late, Outcome('not_run', reason), state)
        self._deliver_all(overdue, Outcome('timeout', 'overdue'), state)

    def close(self) -> None:
        """Refuse queued attempts; connections close when they become idle."""
        with self.lock:
            self.core.is_closing = True
            self.closing.set()
            tasks = _claim_all(self.core.queue.remove_all())
            state = self.core.make_state()
            self._task_available.notify_all()
        self._deliver_all(tasks, Outcome('not_run', 'not_owner'), state)

    def next_task(self, start_id: str) -> AttemptTask | None:
        """Wait for the next attempt to run on a connection.

        Returns None if the connection must be closed because the target has
        restarted or the pool is closing.
        """
        while True:
            refused: list[Refusal] = []
            with self.lock:
                task = self._wait_for_task(start_id, refused)
                must_close = task is None and not refused
            if refused:
                self._deliver_refused(refused)
            if task is not None or must_close:
                return task

    def begin_dispatch(
        self, task: AttemptTask, connection: TargetConnection
    ) -> bool:
        """Mark an attempt as dispatched; returns whether it may still be sent.

        All checks are repeated because the thread may have been suspended
        since ``next_task``, alone or with the whole process.
        """
        with self.lock:
            is_dropped = task.cancelled or task.answered
            if is_dropped or self.core.find_refusal(task):
                return False
            task.dispatches += 1
            check(
                task.dispatches == 1 and not task.answered,
                'dispatch-once',
                attempt=task.attempt.attempt_id,
            )
            task.connection = connection
            return True

    def requeue(self, task: AttemptTask) -> None:
        """Queue an attempt again that was certainly not sent."""
        with self.lock:
            self.core.release_slot(task)
            task.dispatches = 0
            reason = 'cancelled' if task.cancelled else ''
            if self.core.is_closing:
                reason = reason or 'not_owner'
            if not task.answered and not reason:
                self.core.queue.add(task)
            claimed = reason and task.claim_reply()
            self._wake_worker()
            state = self.core.make_state()
        if claimed:
            self._dependencies.deliver(task, Outcome('not_run', reason), state)

    def send_reply(self, task: AttemptTask, outcome: Outcome) -> None:
        """Deliver the reply of an attempt without releasing its slot."""
        with self.lock:
            task.connection = None
            claimed = task.claim_reply()
            state = self.core.make_state()
        if claimed:
            self._dependencies.deliver(task, outcome, state)

    def complete(self, task: AttemptTask, outcome: Outcome) -> bool:
        """Apply an outcome, release the slot and deliver the reply.

        Returns whether the attempt was cancelled; its connection must be
        closed in that case.
        """
        if outcome.reply is not None:
            self.connection_manager.observe_reply(
                outcome.reply.report, task.start_id
            )
        with self.lock:
            self.core.apply_outcome(task, outcome)
            self.core.release_slot(task)
            claimed = task.claim_reply()
            self._wake_worker()
            state = self.core.make_state()
        if claimed:
            self._dependencies.deliver(task, outcome, state)
        return task.cancelled

    def finish_connecting(self, succeeded: bool) -> str:
        """Record the result of opening a connection; returns the start id."""
        tasks: list[AttemptTask] = []
        with self.lock:
            self.core.thread_counts.finish_connecting(succeeded)
            if self.core.is_unreachable:
                tasks = _claim_all(self.core.queue.remove_all())
            start_id = self.core.observation.start_id
            state = self.core.make_state()
        self._deliver_all(tasks, Outcome('not_run', 'unreachable'), state)
        return start_id

    def remove_thread(self, is_worker: bool) -> bool:
        """Remove a thread; returns whether a closing pool has none left."""
        with self.lock:
            self.core.thread_counts.total -= 1
            if is_worker:
                self.core.thread_counts.workers -= 1
                self._wake_worker()
            return self.core.is_closing and not self.core.thread_counts.total

    def _deliver_refused(self, refused: Iterable[Refusal]) -> None:
        with self.lock:
            claimed = [item for item in refused if item[0].claim_reply()]
            state = self.core.make_state()
        for task, reason in claimed:
            self._dependencies.deliver(task, Outcome('not_run', reason), state)

    def _wait_for_task(
        self,
        start_id: str,
        refused: list[Refusal],
    ) -> AttemptTask | None:
        core = self.core
        while core.serves(start_id):
            task = core.pop(refused)
            if task is not None:
                self._wake_worker()
            if task is not None or refused:
                return task
            cooldown_s = core.get_cooldown_s()
            waits_for_cooldown = cooldown_s > 0 and len(core.queue)
            core.thread_counts.idle += 1
            self._task_available.wait(
                cooldown_s if waits_for_cooldown else None
            )
            core.thread_counts.idle -= 1
        return None

    def _deliver_all(
        self,
        tasks: Iterable[AttemptTask],
        outcome: Outcome,
        state: TargetState,
    ) -> None:
        for task in tasks:
            self._dependencies.deliver(task, outcome, state)

    def _wake_worker(self) -> None:
        """Wake or start one worker if an attempt can be dispatched."""
        core = self.core
        if not len(core.queue) or not core.has_capacity():
            return
        if core.thread_counts.idle:
            self._task_available.notify()
        elif core.needs_connection():
            core.thread_counts.is_connecting = True
            core.thread_counts.workers += 1
            core.thread_counts.total += 1
            self._dependencies.start_worker(self)


def _cancel_running(task: AttemptTask) -> None:
    """Cancel an attempt; the caller must hold the lock.

    The lock ensures that the connection is not yet used by another attempt.
    """
    task.cancelled = True
    if task.connection is not None:
        task.connection.close()


def _close_overdue(
    running: Iterable[AttemptTask], now: float
) -> list[AttemptTask]:
    overdue = [
        task
        for task in running
        if task.dispatches and now >= task.deadline + _OVERDUE_S
    ]
    for task in overdue:
        if task.connection is not None:
            task.connection.close()
    return overdue


def _remove_expired(core: TargetCore, now: float) -> list[AttemptTask]:
    """Remove expired attempts, or all if the target is unreachable."""
    if core.is_unreachable:
        return core.queue.remove_all()
    return core.queue.remove_overdue(now)


def _claim_all(tasks: Iterable[AttemptTask]) -> list[AttemptTask]:
    return [task for task in tasks if task.claim_reply()]


def _return_trials(
    suspects: SuspectTracker, late: Iterable[AttemptTask]
) -> None:
    """Return trials that were queued until their deadline.

    Without that, a suspect whose only trial came too late would be refused
    forever. The time of the caller is over, so they are not sent again.
    """
    for task in late:
        if task.attempt.trial:
            suspects.return_trial(task.attempt)
