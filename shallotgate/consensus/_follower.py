"""Follower side of replication."""

import time
from functools import partial

from shallotgate.consensus._group import Group, encode_group
from shallotgate.consensus._member_state import Core
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
    """Takes records and snapshots from the leader."""

    def __init__(self, core: Core) -> None:
        self._core = core
        # Parts of the snapshot that is being received, and which one it is.
        self._parts = bytearray()
        self._parts_of = (0, 0)
        core.mailbox.subscribe(Append, self._on_append)
        core.mailbox.subscribe(InstallSnapshot, self._on_snapshot)

    def _on_append(self, delivery: Delivery) -> None:
        self._note_heard(delivery.message.term)
        self._core.worker.post(partial(self._append, delivery))

    def _on_snapshot(self, delivery: Delivery) -> None:
        self._note_heard(delivery.message.term)
        self._core.worker.post(partial(self._install, delivery))

    def _note_heard(self, term: int) -> None:
        # At receipt and not on the worker, which may wait for its disk.
        if term >= self._core.term:
            self._core.heard_at = time.monotonic()

    def _follow(self, delivery: Delivery) -> bool:
        message = delivery.message
        if message.term < self._core.term:
            self._reply(delivery, success=False, match=0)
            return False
        if not self._core.ballot.note_leader(message.term, message.identity):
            return False
        self._core.follow(message.term, delivery.sender)
        return True

    def _append(self, delivery: Delivery) -> None:
        if not self._follow(delivery):
            return
        message: Append = delivery.message
        journal = self._core.journal
        if not self._fits(message):
            hint = min(journal.last_index, message.prev_index - 1)
            self._reply(delivery, success=False, match=max(hint, 0))
            return
        self._store(message)
        if journal.synced_index < journal.last_index:
            self._core.persist()
        # Only what this message has shown to match counts: records behind it
        # may stem from another leader.
        match = message.prev_index + len(message.records)
        with self._core.changed:
            self._core.advance_commit(min(message.commit, match))
        self._reply(delivery, success=True, match=match)

    def _fits(self, message: Append) -> bool:
        journal = self._core.journal
        # Records up to the base are committed and so the same everywhere.
        if message.prev_index < journal.base_index:
            return True
        return journal.term_at(message.prev_index) == message.prev_term

    def _store(self, message: Append) -> None:
        journal = self._core.journal
        fresh = [
            record
            for record in message.records
            if record.index > journal.base_index
            and journal.term_at(record.index) != record.term
        ]
        if not fresh:
            return
        # All behind the first record that differs differ too.
        first = fresh[0].index
        fresh = [record for record in message.records if record.index >= first]
        with self._core.changed:
            if first <= journal.last_index:
                if not check(
                    first > self._core.commit,
                    'committed records are never removed',
                    first=first,
                    commit=self._core.commit,
                ):
                    raise InvariantError('conflict with a committed record')
                journal.truncate_after(first - 1)
            journal.append(fresh)

    def _install(self, delivery: Delivery) -> None:
        if not self._follow(delivery):
            return
        message: InstallSnapshot = delivery.message
        if message.index <= self._core.commit:
            # Already held, for instance after a reply was lost.
            self._reply(delivery, success=True, match=message.index)
            return
        if not self._take_part(message):
            self._reply(delivery, success=False, match=0)
            return
        if message.done:
            self._finish(message)
        match = message.index if message.done else 0
        self._reply(delivery, success=True, match=match)

    def _take_part(self, message: InstallSnapshot) -> bool:
        parts_of = (message.index, message.last_term)
        if message.offset == 0 or parts_of != self._parts_of:
            self._parts = bytearray()
            self._parts_of = parts_of
        if message.offset > len(self._parts):
            return False
        del self._parts[message.offset :]
        self._parts += message.part
        return True

    def _finish(self, message: InstallSnapshot) -> None:
        group = Group(tuple(message.members.members))
        self._core.install(
            Snapshot(
                index=message.index,
                term=message.last_term,
                members=encode_group(group),
                state=bytes(self._parts),
            ),
        )
        self._parts = bytearray()
        _LOGGER.info('Snapshot installed.', extra={'index': message.index})

    def _reply(self, delivery: Delivery, *, success: bool, match: int) -> None:
        self._core.mailbox.reply(
            delivery,
            AppendReply(
                term=self._core.term,
                identity=self._core.identity,
                success=success,
                match_index=match,
                round=delivery.message.round,
            ),
        )
