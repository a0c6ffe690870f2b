"""Long-polls the control leader for configuration updates."""

import threading
import time
import zlib
from collections.abc import Callable, Sequence
from dataclasses import replace

from shallotgate.document_differences import apply_difference
from shallotgate.errors import (
    BaseVersionMismatchError,
    FindingsError,
    TransportError,
)
from shallotgate.generated.messages import (
    AskContentTrial,
    AskExposure,
    AskExtras,
    AskPermits,
    AskShares,
    ContentSurvived,
    CrashReport,
    FollowTier,
    ObservedReplies,
    TableUpdate,
    TierUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.routes import RoutingTable, TableCodec
from shallotgate.transport import Mailbox

_LOGGER = get_logger('follower')
# Poll timeout in seconds: longer than a leader holds a request.
_POLL_TIMEOUT_S = 1.6
# Timeout of the first call to a control member, in seconds. A running member
# answers within milliseconds, or holds the request briefly during an election.
_PROBE_TIMEOUT_S = 0.4
# Delay between two attempts to find the leader, in seconds.
_RETRY_DELAY_S = 0.02
# Delay after an update that could not be applied, in seconds: the leader sends
# it again at once.
_FAILURE_DELAY_S = 0.25


class TierFollower:
    """Polls the leader for changes in a background thread.

    The leader answers when something has changed or after its hold time. While
    no leader is known, the control members are called in turn.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        codec: TableCodec,
        seeds: Sequence[str],
        read_position: Callable[[], FollowTier],
        apply: Callable[[TierUpdate, RoutingTable | None], None],
    ) -> None:
        """Construct it before the mailbox starts.

        ``read_position`` returns the revisions currently applied; ``apply``
        applies an update before it returns.
        """
        self._mailbox = mailbox
        self._codec = codec
        self._seeds = tuple(seeds)
        self._peers = list(seeds)
        self._read_position = read_position
        self._apply = apply
        # Document of the table decoded last, the base of the next difference.
        self._document = b''
        # Whether the last difference had another base.
        self._is_base_lost = False
        self._peer_index = 0
        self._leader = ''
        self._is_connected = False
        self._stopped = threading.Event()
        # Monotonic time of the last reply from a leader; a reply that was
        # received later than a leader holds a request counts as that old.
        self.last_reply_at = float('-inf')
        self._thread = threading.Thread(
            target=self._run,
            name='follow',
            daemon=True,
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling after the current call."""
        self._stopped.set()

    def send_to_leader(
        self,
        message: ObservedReplies
        | AskExtras
        | AskPermits
        | AskShares
        | AskExposure
        | CrashReport
        | AskContentTrial
        | ContentSurvived,
    ) -> bool:
        """Send a message to the leader; return whether it was sent.

        Delivery is not confirmed: the loss of the leader is detected by the
        next poll.
        """
        leader = self._leader
        if not leader:
            return False
        try:
            self._mailbox.send(leader, message)
        except TransportError as error:
            _LOGGER.info('Message to the leader was not sent: %s.', error)
            return False
        return True

    def _run(self) -> None:
        while not self._stopped.is_set():
            peer = self._choose_peer()
            try:
                self._poll(peer)
            except TransportError as error:
                self._drop_leader(str(error))
            except Exception:
                _LOGGER.exception('Polling the leader failed.')
                self._drop_leader('failed')
                self._stopped.wait(_FAILURE_DELAY_S)

    def _choose_peer(self) -> str:
        if self._leader:
            return self._leader
        self._peer_index += 1
        return self._peers[self._peer_index % len(self._peers)]

    def _poll(self, peer: str) -> None:
        timeout_s = _POLL_TIMEOUT_S if self._is_connected else _PROBE_TIMEOUT_S
        position = self._read_position()
        if self._is_base_lost:
            position = replace(position, table_version=-1)
        sent_at = time.monotonic()
        reply = self._mailbox.call(peer, position, timeout_s)
        if not isinstance(reply, TierUpdate):
            self._drop_leader('unexpected reply')
            return
        if reply.status != 'current':
            self._drop_leader('no leader')
            self._leader = '' if reply.leader == peer else reply.leader
            return
        if not self._is_connected:
            _LOGGER.info('Leader found.', extra={'leader': peer})
        self._is_connected = True
        self._leader = peer
        # After a freeze, the reply may be older than its receipt suggests.
        self.last_reply_at = min(time.monotonic(), sent_at + _POLL_TIMEOUT_S)
        if reply.members:
            self._peers = list(dict.fromkeys((*reply.members, *self._seeds)))
        self._apply(reply, self._decode(reply.table))

    def _drop_leader(self, reason: str) -> None:
        if self._is_connected:
            _LOGGER.warning('Leader lost: %s.', reason)
        self._is_connected = False
        self._leader = ''
        self._stopped.wait(_RETRY_DELAY_S)

    def _decode(self, update: TableUpdate | None) -> RoutingTable | None:
        if update is None:
            return None
        try:
            document = self._decompress(update)
            table = self._codec.decode_table(document)
        except (zlib.error, BaseVersionMismatchError):
            _LOGGER.exception(
                'Table %d is a difference from another than the own one; the '
                'whole table is requested.',
                update.version,
            )
            self._is_base_lost = True
            return None
        except FindingsError:
            _LOGGER.exception('The active routing table cannot be decoded.')
            return None
        self._is_base_lost = False
        self._document = document
        return table

    def _decompress(self, update: TableUpdate) -> bytes:
        if update.difference is not None:
            return apply_difference(self._document, update.difference)
        unpacker = zlib.decompressobj()
        if update.base_version >= 0:
            unpacker = zlib.decompressobj(zdict=self._document)
        return unpacker.decompress(update.document) + unpacker.flush()
