"""Commits commands and reads the table, at the leader wherever it is."""

import threading
import time
import zlib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import (
    CommitUnknownError,
    ConsensusError,
    NoLeaderError,
    NotLeaderError,
    TransportError,
)
from shallotgate.generated.messages import (
    Propose,
    ProposeReply,
    ReadTable,
    TableReply,
)
from shallotgate.logs import get_logger
from shallotgate.registry._state import RegistryState
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('registry')
_MS_PER_S = 1000
# Wait between two looks for a leader, in seconds.
_PAUSE_S = 0.05
# Commands and reads of other members that are handled at once.
_WORKERS = 4
# A read waits for the leader's confirmation at most this long, in seconds.
_READ_S = 1.0


@dataclass(frozen=True)
class CurrentTable:
    """The table that was in force at some time during a read."""

    version: int
    # As the operator sent it.
    document: bytes


class RegistryClient:
    """Reaches the leader from any control member."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        state: RegistryState,
    ) -> None:
        """Construct it before the mailbox starts."""
        self._mailbox = mailbox
        self._log = log
        self._state = state
        self._stopped = threading.Event()
        # Handlers of the mailbox must not wait.
        self._workers = ThreadPoolExecutor(_WORKERS, 'registry')
        mailbox.subscribe(Propose, self._on_propose)
        mailbox.subscribe(ReadTable, self._on_read)

    def stop(self) -> None:
        """Take no more calls."""
        self._stopped.set()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def commit(self, command: object, timeout_s: float) -> object:
        """Commit a command and return its result.

        Raises ``NoLeaderError`` if it was not taken and
        ``CommitUnknownError`` if that is in doubt after ``timeout_s``.
        """
        encoded = encode_tagged(command)
        deadline = time.monotonic() + timeout_s
        while True:
            left_s = deadline - time.monotonic()
            try:
                return self._commit_once(encoded, left_s)
            except (NotLeaderError, NoLeaderError) as error:
                if left_s < _PAUSE_S or self._stopped.wait(_PAUSE_S):
                    raise NoLeaderError('no leader took the command') from error

    def read_table(self, timeout_s: float) -> CurrentTable:
        """Return the table in force; raises ``ConsensusError`` if unsure."""
        deadline = time.monotonic() + timeout_s
        while True:
            left_s = deadline - time.monotonic()
            try:
                return self._read_once(left_s)
            except ConsensusError as error:
                if left_s < _PAUSE_S or self._stopped.wait(_PAUSE_S):
                    raise NoLeaderError('no leader confirmed it') from error

    def _commit_once(self, encoded: bytes, timeout_s: float) -> object:
        try:
            return self._log.propose(encoded, timeout_s)
        except NotLeaderError as error:
            if error.leader in {None, self._mailbox.instance}:
                raise
            leader = error.leader
        request = Propose(
            command=encoded,
            time_left_ms=max(int(timeout_s * _MS_PER_S), 1),
        )
        reply = self._call(str(leader), request, timeout_s)
        if not isinstance(reply, ProposeReply) or reply.status == 'unknown':
            raise CommitUnknownError('the leader is in doubt')
        if reply.status == 'not_leader':
            raise NotLeaderError(reply.leader or None)
        return decode_tagged(reply.outcome) if reply.outcome else None

    def _read_once(self, timeout_s: float) -> CurrentTable:
        try:
            self._log.read_barrier(min(timeout_s, _READ_S))
        except NotLeaderError as error:
            if error.leader in {None, self._mailbox.instance}:
                raise
            return self._read_from(str(error.leader), timeout_s)
        registry = self._state.read()
        return CurrentTable(registry.version, _unpack(registry.document))

    def _read_from(self, leader: str, timeout_s: float) -> CurrentTable:
        held = self._state.read()
        request = ReadTable(known_version=held.version)
        reply = self._call(leader, request, min(timeout_s, _READ_S))
        if not isinstance(reply, TableReply) or reply.status != 'done':
            raise NotLeaderError(None)
        document = reply.document
        if document is None:
            document = held.document
        return CurrentTable(reply.version, _unpack(document))

    def _call(self, leader: str, request: object, timeout_s: float) -> object:
        try:
            return self._mailbox.call(leader, request, max(timeout_s, 0))
        except TransportError as error:
            if isinstance(request, Propose):
                raise CommitUnknownError(str(error)) from error
            raise NoLeaderError(str(error)) from error

    def _on_propose(self, delivery: Delivery) -> None:
        if not self._stopped.is_set():
            self._workers.submit(self._propose, delivery)

    def _on_read(self, delivery: Delivery) -> None:
        if not self._stopped.is_set():
            self._workers.submit(self._read, delivery)

    def _propose(self, delivery: Delivery) -> None:
        message: Propose = delivery.message
        try:
            outcome = self._log.propose(
                message.command,
                message.time_left_ms / _MS_PER_S,
            )
        except NotLeaderError as error:
            reply = ProposeReply(
                status='not_leader',
                leader=error.leader or '',
            )
        except Exception as error:
            _LOGGER.warning('A command is in doubt: %s.', error)
            reply = ProposeReply(status='unknown')
        else:
            encoded = None if outcome is None else encode_tagged(outcome)
            reply = ProposeReply(status='done', outcome=encoded)
        self._mailbox.reply(delivery, reply)

    def _read(self, delivery: Delivery) -> None:
        message: ReadTable = delivery.message
        try:
            self._log.read_barrier(_READ_S)
        except ConsensusError:
            self._mailbox.reply(delivery, TableReply(status='not_leader'))
            return
        registry = self._state.read()
        is_known = registry.version == message.known_version
        self._mailbox.reply(
            delivery,
            TableReply(
                status='done',
                version=registry.version,
                document=None if is_known else registry.document,
            ),
        )


def _unpack(document: bytes) -> bytes:
    return zlib.decompress(document) if document else b''
