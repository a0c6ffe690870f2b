"""Thread that applies committed records to the state machine."""

import threading
import time
from functools import partial

from shallotgate.consensus._group import encode_group
from shallotgate.consensus._leadership import Proposal
from shallotgate.consensus._leadership_history import LeadershipHistory
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._state_machine import StateMachine
from shallotgate.errors import (
    CommitUnknownError,
    NotLeaderError,
    SyncFailedError,
)
from shallotgate.generated.messages import LogRecord
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.storage import Snapshot

_LOGGER = get_logger('consensus')
_THREAD_JOIN_TIMEOUT_S = 5
# Limits the records applied per iteration, so that a stop or a snapshot does
# not wait long.
_BATCH_RECORDS = 256


class Applier:
    """Applies committed records and completes the futures of proposals."""

    def __init__(self, state: MemberState, machine: StateMachine) -> None:
        self._state = state
        self._machine = machine
        self._is_stopped = False
        self.leaderships = LeadershipHistory(time.monotonic())
        # Thread that stages a snapshot; set until the worker has adopted the
        # snapshot.
        self._snapshot_thread: threading.Thread | None = None
        self._thread = threading.Thread(
            target=self._run,
            name='apply',
            daemon=True,
        )

    def start(self, snapshot: Snapshot) -> None:
        """Restore the state machine from a snapshot and start the thread."""
        if snapshot.index:
            self._machine.restore(snapshot.state)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; pending proposals fail with an unknown outcome."""
        with self._state.changed:
            self._is_stopped = True
            self._state.changed.notify_all()
        self._thread.join(_THREAD_JOIN_TIMEOUT_S)
        snapshot_thread = self._snapshot_thread
        if snapshot_thread is not None:
            snapshot_thread.join(_THREAD_JOIN_TIMEOUT_S)
        self._fail_proposals(self._state.journal.last_index)

    def _run(self) -> None:
        while not self._is_stopped:
            with self._state.changed:
                self._state.changed.wait_for(self._has_work)
                received_snapshot = self._state.journal.received_snapshot
                self._state.journal.received_snapshot = None
                records = [] if received_snapshot else self._take_records()
            if received_snapshot:
                self._restore(received_snapshot)
            for record in records:
                self._apply(record)
            self._take_snapshot()

    def _has_work(self) -> bool:
        state = self._state
        return (
            self._is_stopped
            or state.journal.received_snapshot is not None
            or state.commit_index > state.applied_index
        )

    def _take_records(self) -> list[LogRecord]:
        first = self._state.applied_index + 1
        last = min(
            self._state.commit_index, self._state.applied_index + _BATCH_RECORDS
        )
        return self._state.journal.slice(first, last)

    def _restore(self, snapshot: Snapshot) -> None:
        state = self._state
        if snapshot.index <= state.applied_index:
            return
        self._machine.restore(snapshot.state)
        self.leaderships.record_gap(time.monotonic())
        with state.changed:
            state.applied_index = snapshot.index
            state.changed.notify_all()
        self._fail_proposals(snapshot.index)

    def _apply(self, record: LogRecord) -> None:
        state = self._state
        check(
            record.index == state.applied_index + 1,
            'records are applied in order',
            index=record.index,
            applied=state.applied_index,
        )
        outcome: object = None
        failure: Exception | None = None
        if record.kind == 'command':
            try:
                outcome = self._machine.apply(record.index, record.payload)
            except Exception as error:
                _LOGGER.exception(
                    'The state machine raised an error for a command.'
                )
                failure = error
        self.leaderships.record_term(record.term, time.monotonic())
        with state.changed:
            state.applied_index = record.index
            proposal = state.proposals.pop(record.index, None)
            leadership = state.leadership
            is_first_of_term = (
                leadership is not None
                and not leadership.is_ready
                and record.term == leadership.term
            )
            if leadership is not None and is_first_of_term:
                leadership.is_ready = True
                state.notifier.notify(is_leading=True)
            state.changed.notify_all()
        if proposal is not None:
            self._complete_proposal(proposal, record, outcome, failure)

    def _complete_proposal(
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
            # A later leader committed a different record at this index.
            proposal.future.set_exception(NotLeaderError(self._state.leader))

    def _fail_proposals(self, last_index: int) -> None:
        with self._state.changed:
            covered_indexes = [
                index for index in self._state.proposals if index <= last_index
            ]
            proposals = [
                self._state.proposals.pop(index) for index in covered_indexes
            ]
        for proposal in proposals:
            proposal.future.set_exception(
                CommitUnknownError(
                    'a snapshot or a stop came before the outcome was known',
                ),
            )

    def _take_snapshot(self) -> None:
        state = self._state
        applied = state.applied_index
        records_since_snapshot = applied - state.journal.snapshot.index
        if (
            self._snapshot_thread
            or records_since_snapshot < state.options.snapshot_interval_records
        ):
            return
        with state.changed:
            term = state.journal.term_at(applied)
            if term is None:
                # A snapshot from the leader has replaced the log since then.
                return
            group = state.journal.groups.find(applied)
        snapshot = Snapshot(
            index=applied,
            term=term,
            members=encode_group(group),
            state=self._machine.snapshot(),
        )
        # All members take snapshots at about the same index. If the worker
        # thread wrote them, a long write could delay the replies of a
        # majority to the leader.
        self._snapshot_thread = threading.Thread(
            target=self._store_snapshot,
            args=(snapshot,),
            name='snapshot',
            daemon=True,
        )
        self._snapshot_thread.start()

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self._state.folder.stage_snapshot(snapshot)
        except SyncFailedError as error:
            # The worker suspends the member.
            self._state.worker.post(partial(_raise_error, error))
            return
        self._state.worker.post(lambda: self._adopt_snapshot(snapshot))

    def _adopt_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self._state.adopt_snapshot(snapshot)
        finally:
            self._snapshot_thread = None


def _raise_error(error: Exception) -> None:
    raise error
