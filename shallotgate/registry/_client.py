"""Commits commands and reads the table through the current leader."""

import threading
import time
import zlib
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

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
    StoredContent,
    TableReply,
)
from shallotgate.logs import get_logger
from shallotgate.registry._state import RegistryState
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('registry')
_MS_PER_S = 1000
# Interval between attempts to reach a leader.
_RETRY_INTERVAL_S = 0.05
# Threads that serve commands and reads forwarded by other members.
_WORKER_THREADS = 4
# Timeout of the leadership confirmation (read barrier) of a read.
_READ_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class CurrentTable:
    """Routing table that was active at some point during the read."""

    version: int
    # Uncompressed, as submitted by the operator, with all keys.
    document: bytes = field(repr=False)


class RegistryClient:
    """Forwards commands and reads to the leader from any control member."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        state: RegistryState,
    ) -> None:
        """Subscribe to the mailbox, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._state = state
        self._stopped = threading.Event()
        # Mailbox handlers must not block.
        self._workers = ThreadPoolExecutor(_WORKER_THREADS, 'registry')
        mailbox.subscribe(Propose, self._on_propose)
        mailbox.subscribe(ReadTable, self._on_read)

    def stop(self) -> None:
        """Reject further calls."""
        self._stopped.set()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def commit(self, command: object, timeout_s: float) -> object:
        """Commit a command and return its result.

        Raises ``NoLeaderError`` if no leader accepted it and
        ``CommitUnknownError`` if its outcome is unknown after ``timeout_s``.
        """
        encoded = encode_tagged(command)
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline - time.monotonic()
            try:
                return self._commit_once(encoded, remaining_s)
            except (NotLeaderError, NoLeaderError) as error:
                if remaining_s < _RETRY_INTERVAL_S or self._stopped.wait(
                    _RETRY_INTERVAL_S
                ):
                    raise NoLeaderError(
                        'no leader accepted the command'
                    ) from error

    def get_domains_revision(self) -> int:
        """Return the revision of the domains out of service known here.

        The leader may have a newer one.
        """
        return self._state.read().domains_revision

    def get_rollout_order(self, service: str) -> int:
        """Return the number of the newest order known here; 0 without one.

        The leader may know a newer one.
        """
        rollout = self._state.read().rollouts.find(service)
        return rollout.order if rollout else 0

    def list_contents(self) -> Sequence[StoredContent]:
        """Return what is known here of contents that crash targets.

        The leader may know of newer ones.
        """
        return tuple(self._state.read().contents.values())

    def read_table(self, timeout_s: float) -> CurrentTable:
        """Return the active table; raises ``ConsensusError`` if unconfirmed."""
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline - time.monotonic()
            try:
                return self._read_once(remaining_s)
            except ConsensusError as error:
                if remaining_s < _RETRY_INTERVAL_S or self._stopped.wait(
                    _RETRY_INTERVAL_S
                ):
                    raise NoLeaderError(
                        'no leader confirmed the read'
                    ) from error

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
            raise CommitUnknownError('the leader does not know the outcome')
        if reply.status == 'not_leader':
            raise NotLeaderError(reply.leader or None)
        return decode_tagged(reply.outcome) if reply.outcome else None

    def _read_once(self, timeout_s: float) -> CurrentTable:
        try:
            self._log.read_barrier(min(timeout_s, _READ_TIMEOUT_S))
        except NotLeaderError as error:
            if error.leader in {None, self._mailbox.instance}:
                raise
            return self._read_from(str(error.leader), timeout_s)
        registry = self._state.read()
        return CurrentTable(registry.version, _decompress(registry.document))

    def _read_from(self, leader: str, timeout_s: float) -> CurrentTable:
        local = self._state.read()
        request = ReadTable(known_version=local.version)
        reply = self._call(leader, request, min(timeout_s, _READ_TIMEOUT_S))
        if not isinstance(reply, TableReply) or reply.status != 'done':
            raise NotLeaderError(None)
        document = reply.document
        if document is None:
            document = local.document
        return CurrentTable(reply.version, _decompress(document))

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
            _LOGGER.warning('Outcome of a command is unknown: %s.', error)
            reply = ProposeReply(status='unknown')
        else:
            encoded = None if outcome is None else encode_tagged(outcome)
            reply = ProposeReply(status='done', outcome=encoded)
        self._mailbox.reply(delivery, reply)

    def _read(self, delivery: Delivery) -> None:
        message: ReadTable = delivery.message
        try:
            self._log.read_barrier(_READ_TIMEOUT_S)
        except ConsensusError:
            self._mailbox.reply(delivery, TableReply(status='not_leader'))
            return
        registry = self._state.read()
        is_current = registry.version == message.known_version
        self._mailbox.reply(
            delivery,
            TableReply(
                status='done',
                version=registry.version,
                document=None if is_current else registry.document,
            ),
        )


def _decompress(document: bytes) -> bytes:
    return zlib.decompress(document) if document else b''
