"""Thread that applies committed records."""

import threading

from shallotgate.consensus._group import encode_group
from shallotgate.consensus._leadership import Proposal
from shallotgate.consensus._member_state import Core
from shallotgate.consensus._state_machine import StateMachine
from shallotgate.consensus._worker import exit_on_failed_sync
from shallotgate.errors import CommitUnknownError, NotLeaderError
from shallotgate.generated.messages import LogRecord
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.storage import Snapshot

_LOGGER = get_logger('consensus')
_JOIN_S = 5
# Records taken at once, so that a stop or a snapshot need not wait long.
_BATCH = 256


class Applier:
    """Drives the state machine and hands results to proposers."""

    def __init__(self, core: Core, machine: StateMachine) -> None:
        self._core = core
        self._machine = machine
        self._is_stopped = False
        # Thread that stores a snapshot, until the worker has adopted it.
        self._storing: threading.Thread | None = None
        self._thread = threading.Thread(
            target=self._run,
            name='apply',
            daemon=True,
        )

    def start(self, snapshot: Snapshot) -> None:
        """Restore the machine and start the thread."""
        if snapshot.index:
            self._machine.restore(snapshot.state)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; proposals that still wait are in doubt."""
        with self._core.changed:
            self._is_stopped = True
            self._core.changed.notify_all()
        self._thread.join(_JOIN_S)
        storing = self._storing
        if storing is not None:
            storing.join(_JOIN_S)
        self._fail_proposals(self._core.journal.last_index)

    def _run(self) -> None:
        while not self._is_stopped:
            with self._core.changed:
                self._core.changed.wait_for(self._has_work)
                received = self._core.journal.received
                self._core.journal.received = None
                records = [] if received else self._take_records()
            if received:
                self._restore(received)
            for record in records:
                self._apply(record)
            self._take_snapshot()

    def _has_work(self) -> bool:
        core = self._core
        return (
            self._is_stopped
            or core.journal.received is not None
            or core.commit > core.applied
        )

    def _take_records(self) -> list[LogRecord]:
        first = self._core.applied + 1
        last = min(self._core.commit, self._core.applied + _BATCH)
        return self._core.journal.slice(first, last)

    def _restore(self, snapshot: Snapshot) -> None:
        core = self._core
        if snapshot.index <= core.applied:
            return
        self._machine.restore(snapshot.state)
        with core.changed:
            core.applied = snapshot.index
            core.changed.notify_all()
        self._fail_proposals(snapshot.index)

    def _apply(self, record: LogRecord) -> None:
        core = self._core
        check(
            record.index == core.applied + 1,
            'records are applied in order',
            index=record.index,
            applied=core.applied,
        )
        outcome: object = None
        failure: Exception | None = None
        if record.kind == 'command':
            try:
                outcome = self._machine.apply(record.index, record.payload)
            except Exception as error:
                _LOGGER.exception('A command failed.')
                failure = error
        with core.changed:
            core.applied = record.index
            proposal = core.proposals.pop(record.index, None)
            leadership = core.leadership
            is_first = (
                leadership is not None
                and not leadership.is_ready
                and record.term == leadership.term
            )
            if leadership is not None and is_first:
                leadership.is_ready = True
                core.notifier.put(is_leading=True)
            core.changed.notify_all()
        if proposal is not None:
            self._complete(proposal, record, outcome, failure)

    def _complete(
        self,
        proposal: Proposal,
        record: LogRecord,
        outcome: object,
        failure: Exception | None,
    ) -> None:
        if proposal.term == record.term and failure is None:
            proposal.future.set_result(outcome)
        elif proposal.term == record.term:
            proposal.future.set_exception(failure)
        else:
            # Another record was committed in its place.
            proposal.future.set_exception(NotLeaderError(self._core.leader))

    def _fail_proposals(self, last_index: int) -> None:
        with self._core.changed:
            passed = [
                index for index in self._core.proposals if index <= last_index
            ]
            proposals = [self._core.proposals.pop(index) for index in passed]
        for proposal in proposals:
            proposal.future.set_exception(
                CommitUnknownError('the outcome was not seen'),
            )

    def _take_snapshot(self) -> None:
        core = self._core
        applied = core.applied
        behind = applied - core.journal.snapshot.index
        if self._storing or behind < core.options.snapshot_interval_records:
            return
        with core.changed:
            term = core.journal.term_at(applied)
            if term is None:
                # A snapshot from the leader has just replaced the log.
                return
            group = core.journal.groups.find(applied)
        snapshot = Snapshot(
            index=applied,
            term=term,
            members=encode_group(group),
            state=self._machine.snapshot(),
        )
        # All members take snapshots at about the same index. On the worker,
        # a long write would keep a majority from answering the leader.
        self._storing = threading.Thread(
            target=self._store,
            args=(snapshot,),
            name='snapshot',
            daemon=True,
        )
        self._storing.start()

    def _store(self, snapshot: Snapshot) -> None:
        with exit_on_failed_sync():
            self._core.folder.stage_snapshot(snapshot)
        self._core.worker.post(lambda: self._adopt(snapshot))

    def _adopt(self, snapshot: Snapshot) -> None:
        try:
            self._core.adopt_snapshot(snapshot)
        finally:
            self._storing = None
