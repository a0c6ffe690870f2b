"""Follower side of replication."""

import time
from functools import partial

from shallotgate.consensus._group import encode_group, read_member_list
from shallotgate.consensus._member_state import MemberState
from shallotgate.errors import InvariantError
from shallotgate.generated.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
)
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.storage import Snapshot
from shallotgate.transport import Delivery

_LOGGER = get_logger('consensus')


class Follower:
    """Receives records and snapshots from the leader."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        # State received so far of the snapshot that is being transferred, and
        # the last index and term of that snapshot.
        self._received_chunks = bytearray()
        self._received_snapshot_id = (0, 0)
        state.mailbox.subscribe(Append, self._on_append)
        state.mailbox.subscribe(InstallSnapshot, self._on_snapshot)

    def _on_append(self, delivery: Delivery) -> None:
        self._record_leader_contact(delivery.message.term)
        self._state.worker.post(partial(self._handle_append, delivery))

    def _on_snapshot(self, delivery: Delivery) -> None:
        self._record_leader_contact(delivery.message.term)
        self._state.worker.post(partial(self._handle_snapshot_chunk, delivery))

    def _record_leader_contact(self, term: int) -> None:
        # Recorded on receipt rather than on the worker, which may be blocked
        # by disk writes.
        if term >= self._state.term:
            self._state.last_leader_contact = time.monotonic()

    def _accept_leader(self, delivery: Delivery) -> bool:
        message = delivery.message
        if message.term < self._state.term:
            self._reply(delivery, success=False, match_index=0)
            return False
        if not self._state.vote_state.record_leader(
            message.term, message.identity
        ):
            return False
        self._state.follow_leader(message.term, delivery.sender)
        return True

    def _handle_append(self, delivery: Delivery) -> None:
        if not self._accept_leader(delivery):
            return
        message: Append = delivery.message
        journal = self._state.journal
        if not self._matches_log(message):
            match_hint = min(journal.last_index, message.prev_index - 1)
            self._reply(delivery, success=False, match_index=max(match_hint, 0))
            return
        self._store_records(message)
        if journal.synced_index < journal.last_index:
            self._state.persist()
        # Count only records that this message has verified: records after
        # them may come from another leader.
        match_index = message.prev_index + len(message.records)
        with self._state.changed:
            self._state.advance_commit(min(message.commit, match_index))
        self._reply(delivery, success=True, match_index=match_index)

    def _matches_log(self, message: Append) -> bool:
        journal = self._state.journal
        # Records up to the base are committed and hence equal on all members.
        if message.prev_index < journal.base_index:
            return True
        return journal.term_at(message.prev_index) == message.prev_term

    def _store_records(self, message: Append) -> None:
        journal = self._state.journal
        new_records = [
            record
            for record in message.records
            if record.index > journal.base_index
            and journal.term_at(record.index) != record.term
        ]
        if not new_records:
            return
        # All records after the first conflicting one are replaced as well.
        first = new_records[0].index
        new_records = [
            record for record in message.records if record.index >= first
        ]
        with self._state.changed:
            if first <= journal.last_index:
                if not check(
                    first > self._state.commit_index,
                    'committed records are never removed',
                    first=first,
                    commit=self._state.commit_index,
                ):
                    raise InvariantError('conflict with a committed record')
                journal.truncate_after(first - 1)
            journal.append(new_records)

    def _handle_snapshot_chunk(self, delivery: Delivery) -> None:
        if not self._accept_leader(delivery):
            return
        message: InstallSnapshot = delivery.message
        if message.index <= self._state.commit_index:
            # Already committed here, for instance if a reply was lost.
            self._reply(delivery, success=True, match_index=message.index)
            return
        if not self._add_chunk(message):
            self._reply(delivery, success=False, match_index=0)
            return
        if message.done:
            self._install_snapshot(message)
        match_index = message.index if message.done else 0
        self._reply(delivery, success=True, match_index=match_index)

    def _add_chunk(self, message: InstallSnapshot) -> bool:
        snapshot_id = (message.index, message.last_term)
        if message.offset == 0 or snapshot_id != self._received_snapshot_id:
            self._received_chunks = bytearray()
            self._received_snapshot_id = snapshot_id
        if message.offset > len(self._received_chunks):
            return False
        del self._received_chunks[message.offset :]
        self._received_chunks += message.part
        return True

    def _install_snapshot(self, message: InstallSnapshot) -> None:
        self._state.install(
            Snapshot(
                index=message.index,
                term=message.last_term,
                members=encode_group(read_member_list(message.members)),
                state=bytes(self._received_chunks),
            ),
        )
        self._received_chunks = bytearray()
        _LOGGER.info('Snapshot installed.', extra={'index': message.index})

    def _reply(
        self, delivery: Delivery, *, success: bool, match_index: int
    ) -> None:
        self._state.mailbox.reply(
            delivery,
            AppendReply(
                term=self._state.term,
                identity=self._state.identity,
                success=success,
                match_index=match_index,
                round=delivery.message.round,
            ),
        )
