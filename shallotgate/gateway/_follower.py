"""Follows the control leader for what is in force."""

import threading
import time
import zlib
from collections.abc import Callable, Sequence

from shallotgate.errors import FindingsError, TransportError
from shallotgate.generated.messages import (
    AskExtras,
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
# Wait for an answer, in seconds: longer than a leader holds a request.
_CALL_S = 1.6
# Wait for the first answer of a member, in seconds: one that runs answers
# within milliseconds, or holds the request for a moment during an election.
_FIRST_CALL_S = 0.4
# Wait between two tries, in seconds.
_PAUSE_S = 0.02


class TierFollower:
    """Asks the leader for changes, in a loop on its own thread.

    The leader answers when something has changed or after a wait. When it
    does not answer, all known control members are asked in turn.
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

        ``read_position`` returns what is in force; ``apply`` puts an update
        in force before it returns.
        """
        self._mailbox = mailbox
        self._codec = codec
        self._seeds = tuple(seeds)
        self._peers = list(seeds)
        self._read_position = read_position
        self._apply = apply
        self._document = b''
        self._turn = 0
        self._leader = ''
        self._is_in_touch = False
        self._stopped = threading.Event()
        # Monotonic time of the last answer of a leader.
        self.heard_at = float('-inf')
        self._thread = threading.Thread(
            target=self._run,
            name='follow',
            daemon=True,
        )

    def start(self) -> None:
        """Start to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the call that is under way."""
        self._stopped.set()

    def send_to_leader(
        self,
        message: ObservedReplies | AskExtras | CrashReport,
    ) -> bool:
        """Send something to the leader without waiting; whether it was sent.

        A leader that is lost without notice is found out by the next call.
        """
        leader = self._leader
        if not leader:
            return False
        try:
            self._mailbox.send(leader, message)
        except TransportError as error:
            _LOGGER.info('The leader was not told: %s.', error)
            return False
        return True

    def _run(self) -> None:
        while not self._stopped.is_set():
            peer = self._choose_peer()
            try:
                self._follow(peer)
            except TransportError as error:
                self._lose(str(error))
            except Exception:
                _LOGGER.exception('Following failed.')
                self._lose('failed')

    def _choose_peer(self) -> str:
        if self._leader:
            return self._leader
        self._turn += 1
        return self._peers[self._turn % len(self._peers)]

    def _follow(self, peer: str) -> None:
        timeout_s = _CALL_S if self._is_in_touch else _FIRST_CALL_S
        reply = self._mailbox.call(peer, self._read_position(), timeout_s)
        if not isinstance(reply, TierUpdate):
            self._lose('unexpected reply')
            return
        if reply.status != 'current':
            self._lose('no leader')
            self._leader = '' if reply.leader == peer else reply.leader
            return
        if not self._is_in_touch:
            _LOGGER.info('Leader found.', extra={'leader': peer})
        self._is_in_touch = True
        self._leader = peer
        self.heard_at = time.monotonic()
        if reply.members:
            self._peers = list(dict.fromkeys((*reply.members, *self._seeds)))
        self._apply(reply, self._decode(reply.table))

    def _lose(self, reason: str) -> None:
        if self._is_in_touch:
            _LOGGER.warning('Leader lost: %s.', reason)
        self._is_in_touch = False
        self._leader = ''
        self._stopped.wait(_PAUSE_S)

    def _decode(self, update: TableUpdate | None) -> RoutingTable | None:
        if update is None:
            return None
        unpacker = zlib.decompressobj()
        if update.base_version >= 0:
            unpacker = zlib.decompressobj(zdict=self._document)
        document = unpacker.decompress(update.document) + unpacker.flush()
        try:
            table = self._codec.decode_table(document)
        except FindingsError:
            _LOGGER.exception('A table in force can not be read.')
            return None
        self._document = document
        return table
