"""Replication of the log to one member."""

import time

from shallotgate.consensus._group import decode_group, make_member_list
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._member_state import MemberState
from shallotgate.errors import TransportError
from shallotgate.generated.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    LogRecord,
)
from shallotgate.logs import get_logger
from shallotgate.storage import Snapshot
from shallotgate.timers import read_lease_clock

_LOGGER = get_logger('consensus')


class Replicator:
    """Replicates records and snapshots to one instance during a leadership."""

    def __init__(
        self,
        state: MemberState,
        leadership: Leadership,
        instance: str,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._instance = instance
        self._next_index = state.journal.last_index + 1
        self._round = 0
        self._has_replied = True

    def run(self) -> None:
        """Send records and heartbeats until the leadership ends."""
        while not self._is_closed():
            next_heartbeat = (
                time.monotonic() + self._state.options.heartbeat_interval_s
            )
            try:
                self._has_replied = self._exchange()
            except Exception:
                _LOGGER.exception('Replication to %s failed.', self._instance)
                self._has_replied = False
            self._state.wait_until(self._has_work, next_heartbeat)

    def _exchange(self) -> bool:
        """Send one message or snapshot; returns whether a reply arrived."""
        request = self._make_append()
        if request is None:
            return self._send_snapshot()
        return self._send_append(request)

    def _make_append(self) -> Append | None:
        """Return the next message; None if a snapshot is needed."""
        journal = self._state.journal
        with self._state.changed:
            prev_index = self._next_index - 1
            prev_term = journal.term_at(prev_index)
            if prev_term is None:
                return None
            records: list[LogRecord] = []
            # An unresponsive member gets heartbeats only, so that records do
            # not accumulate in its send queue.
            if self._has_replied:
                records = journal.slice_bytes(
                    self._next_index,
                    self._state.options.max_message_bytes,
                )
            commit = self._state.commit_index
        self._round += 1
        return Append(
            term=self._leadership.term,
            identity=self._leadership.identity,
            prev_index=prev_index,
            prev_term=prev_term,
            commit=commit,
            round=self._round,
            records=records,
        )

    def _send_append(self, request: Append) -> bool:
        options = self._state.options
        timeout_s = options.heartbeat_timeout_s
        if request.records:
            timeout_s = options.append_timeout_s
        reply = self._send_request(request, timeout_s)
        if reply is None:
            return False
        if reply.success:
            self._next_index = reply.match_index + 1
        else:
            self._next_index = min(
                reply.match_index + 1,
                max(self._next_index - 1, 1),
            )
        return True

    def _send_snapshot(self) -> bool:
        with self._state.changed:
            snapshot = self._state.journal.snapshot
        offset = 0
        while offset <= len(snapshot.state) and not self._is_closed():
            reply = self._send_request(
                self._make_snapshot_chunk(snapshot, offset),
                self._state.options.snapshot_chunk_timeout_s,
            )
            if reply is None or not reply.success:
                return False
            offset += self._state.options.max_message_bytes
        self._next_index = snapshot.index + 1
        return True

    def _make_snapshot_chunk(
        self, snapshot: Snapshot, offset: int
    ) -> InstallSnapshot:
        end = offset + self._state.options.max_message_bytes
        self._round += 1
        return InstallSnapshot(
            term=self._leadership.term,
            identity=self._leadership.identity,
            index=snapshot.index,
            last_term=snapshot.term,
            members=make_member_list(decode_group(snapshot.members)),
            offset=offset,
            part=snapshot.state[offset:end],
            done=end > len(snapshot.state),
            round=self._round,
        )

    def _send_request(
        self,
        request: Append | InstallSnapshot,
        timeout_s: float,
    ) -> AppendReply | None:
        """Return the reply; None without one or if its term differs."""
        sent_at = read_lease_clock()
        try:
            reply = self._state.mailbox.call(self._instance, request, timeout_s)
        except TransportError:
            return None
        if not isinstance(reply, AppendReply):
            return None
        if reply.term > self._leadership.term:
            self._state.worker.post(lambda: self._state.adopt_term(reply.term))
            return None
        if reply.term < self._leadership.term:
            return None
        match_index = reply.match_index if reply.success else 0
        with self._state.changed:
            self._leadership.record_reply(
                self._instance,
                reply.identity,
                sent_at,
                match_index,
            )
            self._state.advance_leader_commit(self._leadership)
            self._state.changed.notify_all()
        return reply

    def _has_work(self) -> bool:
        """Return whether to continue before the next heartbeat is due."""
        is_behind = self._state.journal.last_index >= self._next_index
        return self._is_closed() or (self._has_replied and is_behind)

    def _is_closed(self) -> bool:
        group = self._state.journal.group
        return self._leadership.is_closed or group.find(self._instance) is None
