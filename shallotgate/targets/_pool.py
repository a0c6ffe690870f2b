"""Queue, slots and threads of one owned target."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Learnt, TargetState
from shallotgate.invariants import check
from shallotgate.targets._connector import TargetConnection, TargetConnector
from shallotgate.targets._core import TargetCore
from shallotgate.targets._gate import Gate
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._link import TargetLink
from shallotgate.targets._queue import Refusal
from shallotgate.targets._suspects import SuspectLedger
from shallotgate.targets._work import Outcome, Work

# An attempt in flight this long after its deadline is answered without
# waiting for its connection to end.
_OVERDUE_S = 0.05

Deliver = Callable[[Work, Outcome, TargetState], None]


@dataclass(frozen=True)
class PoolParts:
    """What all pools of an owner share."""

    connector: TargetConnector
    gate: Gate
    suspects: SuspectLedger
    # Sends the reply of an attempt; called without locks.
    deliver: Deliver
    # Starts a thread for one more connection of the pool.
    start_worker: Callable[['TargetPool'], None]
    cold_start: bool


class TargetPool:
    """Attempts of one target.

    Called from submitters, from one thread for each connection and from the
    timer. Its lock guards the core; replies are sent without the lock.
    """

    def __init__(
        self,
        target: Target,
        slots: int,
        learnt: Learnt | None,
        parts: PoolParts,
    ) -> None:
        limiter = Limiter(slots, target.cold_slots, parts.cold_start)
        self.target = target
        self.core = TargetCore(target, slots, limiter, parts.gate)
        # Set when the pool is to close.
        self.closing = threading.Event()
        self._parts = parts
        # Guards the core.
        self.lock = threading.Lock()
        self._ready = threading.Condition(self.lock)
        self.link = TargetLink(
            self.core,
            self._ready,
            parts.connector,
            parts.suspects,
            learnt,
        )

    def submit(self, work: Work) -> None:
        """Queue an attempt or refuse it; never blocks."""
        with self.lock:
            reason = self.core.refuse_entry(work)
            if not reason:
                self.core.queue.add(work)
                self._wake()
                return
            work.claim()
            state = self.core.make_state()
        self._parts.deliver(work, Outcome('not_run', reason), state)

    def cancel(self, work: Work) -> None:
        """Drop a queued attempt or close the connection of a running one."""
        with self.lock:
            if work.answered:
                return
            outcome = Outcome('not_run', 'cancelled')
            if work in self.core.running:
                if not work.attempt.trial:
                    _cancel_running(work)
                    return
                # The outcome of a trial is still to be judged.
                outcome = Outcome('cancelled')
            self.core.queue.discard(work)
            work.claim()
            state = self.core.make_state()
        self._parts.deliver(work, outcome, state)

    def sweep(self, now: float) -> None:
        """End attempts whose deadline has passed."""
        with self.lock:
            late = _claim_all(_take_hopeless(self.core, now))
            overdue = _claim_all(_close_overdue(self.core.running, now))
            self._wake()
            state = self.core.make_state()
        reason = 'unreachable' if state.lost else 'late'
        self._deliver_all(late, Outcome('not_run', reason), state)
        self._deliver_all(overdue, Outcome('timeout', 'overdue'), state)

    def close(self) -> None:
        """Refuse what is queued; connections close as they fall idle."""
        with self.lock:
            self.core.is_closing = True
            self.closing.set()
            works = _claim_all(self.core.queue.take_all())
            state = self.core.make_state()
            self._ready.notify_all()
        self._deliver_all(works, Outcome('not_run', 'not_owner'), state)

    def take(self, start_id: str) -> Work | None:
        """Wait for the next attempt of a connection.

        Returns None when the connection is to be closed: the target has
        another start id by now or the pool closes.
        """
        while True:
            refused: list[Refusal] = []
            with self.lock:
                work = self._await_work(start_id, refused)
                is_over = work is None and not refused
            if refused:
                self._deliver_refused(refused)
            if work is not None or is_over:
                return work

    def attach(self, work: Work, connection: TargetConnection) -> bool:
        """Mark an attempt as being sent; False if it may not be any more.

        The thread may have been stopped since ``take``, with the process or
        on its own, so everything is checked once more.
        """
        with self.lock:
            is_dropped = work.cancelled or work.answered
            if is_dropped or self.core.refuse(work):
                return False
            work.dispatches += 1
            check(
                work.dispatches == 1 and not work.answered,
                'dispatch-once',
                attempt=work.attempt.attempt_id,
            )
            work.connection = connection
            return True

    def requeue(self, work: Work) -> None:
        """Take an attempt back that was certainly not sent."""
        with self.lock:
            self.core.free(work)
            work.dispatches = 0
            reason = 'cancelled' if work.cancelled else ''
            if self.core.is_closing:
                reason = reason or 'not_owner'
            if not work.answered and not reason:
                self.core.queue.add(work)
            claimed = reason and work.claim()
            self._wake()
            state = self.core.make_state()
        if claimed:
            self._parts.deliver(work, Outcome('not_run', reason), state)

    def answer(self, work: Work, outcome: Outcome) -> None:
        """Send the reply of an attempt whose slot stays taken."""
        with self.lock:
            work.connection = None
            claimed = work.claim()
            state = self.core.make_state()
        if claimed:
            self._parts.deliver(work, outcome, state)

    def complete(self, work: Work, outcome: Outcome) -> bool:
        """Learn from an outcome, free the slot and send the reply.

        Returns whether the attempt was cancelled, in which case its
        connection must be closed.
        """
        if outcome.reply is not None:
            self.link.see_reply(outcome.reply.report, work.start_id)
        with self.lock:
            self.core.learn(work, outcome)
            self.core.free(work)
            claimed = work.claim()
            self._wake()
            state = self.core.make_state()
        if claimed:
            self._parts.deliver(work, outcome, state)
        return work.cancelled

    def note_connected(self, succeeded: bool) -> str:
        """Let the next connection be opened; returns the start id."""
        works: list[Work] = []
        with self.lock:
            self.core.crew.note_connected(succeeded)
            if self.core.is_lost:
                works = _claim_all(self.core.queue.take_all())
            start_id = self.core.seen.start_id
            state = self.core.make_state()
        self._deliver_all(works, Outcome('not_run', 'unreachable'), state)
        return start_id

    def leave(self, is_worker: bool) -> bool:
        """Uncount a thread; returns whether a closed pool has none left."""
        with self.lock:
            self.core.crew.threads -= 1
            if is_worker:
                self.core.crew.workers -= 1
                self._wake()
            return self.core.is_closing and not self.core.crew.threads

    def _deliver_refused(self, refused: Iterable[Refusal]) -> None:
        with self.lock:
            claimed = [item for item in refused if item[0].claim()]
            state = self.core.make_state()
        for work, reason in claimed:
            self._parts.deliver(work, Outcome('not_run', reason), state)

    def _await_work(
        self,
        start_id: str,
        refused: list[Refusal],
    ) -> Work | None:
        core = self.core
        while core.serves(start_id):
            work = core.pop(refused)
            if work is not None:
                self._wake()
            if work is not None or refused:
                return work
            rest_s = core.get_rest_s()
            waits_for_rest = rest_s > 0 and len(core.queue)
            core.crew.idle += 1
            self._ready.wait(rest_s if waits_for_rest else None)
            core.crew.idle -= 1
        return None

    def _deliver_all(
        self,
        works: Iterable[Work],
        outcome: Outcome,
        state: TargetState,
    ) -> None:
        for work in works:
            self._parts.deliver(work, outcome, state)

    def _wake(self) -> None:
        """Let one more thread serve the queue if there is room."""
        core = self.core
        if not len(core.queue) or not core.has_room():
            return
        if core.crew.idle:
            self._ready.notify()
        elif core.needs_connection():
            core.crew.is_connecting = True
            core.crew.workers += 1
            core.crew.threads += 1
            self._parts.start_worker(self)


def _cancel_running(work: Work) -> None:
    """Cancel under the lock, while the connection serves no other attempt."""
    work.cancelled = True
    if work.connection is not None:
        work.connection.close()


def _close_overdue(running: Iterable[Work], now: float) -> list[Work]:
    overdue = [
        work
        for work in running
        if work.dispatches and now >= work.deadline + _OVERDUE_S
    ]
    for work in overdue:
        if work.connection is not None:
            work.connection.close()
    return overdue


def _take_hopeless(core: TargetCore, now: float) -> list[Work]:
    """Remove what is overdue, or everything if the target is lost."""
    if core.is_lost:
        return core.queue.take_all()
    return core.queue.take_overdue(now)


def _claim_all(works: Iterable[Work]) -> list[Work]:
    return [work for work in works if work.claim()]
