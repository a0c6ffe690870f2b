"""Message endpoint of a process."""

import itertools
import queue
import threading
import time
from collections.abc import Callable, Mapping

import pynng

from shallotgate.codec import CodecError
from shallotgate.errors import CallTimeoutError, PeerUnreachableError
from shallotgate.logs import get_logger
from shallotgate.transport._envelope import (
    Delivery,
    EncodedMessage,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from shallotgate.transport._receipts import Receipts
from shallotgate.transport._sender import PeerSender
from shallotgate.transport._silence import SilenceWatch

_LOGGER = get_logger('transport')
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024

Handler = Callable[[Delivery], None]


class Mailbox:
    """Sends and receives messages of one process.

    A message is delivered at most once and may be lost; messages to one peer
    arrive in order. Handlers run on the receiving thread and must return
    quickly.
    """

    def __init__(
        self,
        instance: str,
        start_id: str,
        listen_address: str,
        routes: Mapping[str, str] | None = None,
    ) -> None:
        self.instance = instance
        self.start_id = start_id
        self._listen_address = listen_address
        # Configured routes take precedence over learned addresses.
        self._routes = dict(routes or {})
        self._addresses: dict[str, str] = {}
        self._senders: dict[str, PeerSender] = {}
        self._handlers: dict[str, Handler] = {}
        self._pending: dict[str, queue.SimpleQueue[Delivery]] = {}
        self._receipts = Receipts()
        self._silence = SilenceWatch()
        self._call_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._socket = pynng.Pull0(
            recv_max_size=_MAX_MESSAGE_BYTES,
            recv_buffer_size=1024,
        )
        self._thread = threading.Thread(
            target=self._receive,
            name='mailbox',
            daemon=True,
        )

    def start(self) -> None:
        """Listen and start receiving; subscribe all handlers before."""
        self._socket.listen(f'tcp://{self._listen_address}')
        self._thread.start()

    def stop(self) -> None:
        """Send the queued messages, then close all sockets."""
        with self._lock:
            senders = list(self._senders.values())
            self._senders.clear()
        for sender in senders:
            sender.stop()
        self._socket.close()
        self._thread.join(timeout=2)

    def set_address(self, peer: str, address: str) -> None:
        """Set the address of a peer.

        A connection to a former address is replaced.
        """
        with self._lock:
            if self._addresses.get(peer) == address:
                return
            self._addresses[peer] = address
            sender = None
            if peer not in self._routes:
                sender = self._senders.pop(peer, None)
        if sender is not None:
            threading.Thread(target=sender.stop, daemon=True).start()

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Set the handler of a message type."""
        self._handlers[message_type.__name__] = handler

    def send(self, peer: str, message: object) -> None:
        """Send without blocking; raises ``PeerUnreachableError``."""
        self._send_encoded(peer, self._encode(peer, message))

    def call(self, peer: str, message: object, timeout_s: float) -> object:
        """Send a message and wait for the reply.

        Raises ``PeerUnreachableError`` if the message was not sent and
        ``CallTimeoutError`` if no reply arrived within ``timeout_s``.
        """
        call_id = f'{self.start_id}-{next(self._call_numbers)}'
        replies: queue.SimpleQueue[Delivery] = queue.SimpleQueue()
        self._pending[call_id] = replies
        try:
            self._send_encoded(peer, self._encode(peer, message, call_id))
            return replies.get(timeout=max(timeout_s, 0)).message
        except queue.Empty as error:
            self._silence.record_loss(peer)
            name = type(message).__name__
            raise CallTimeoutError(
                f'no reply to {name} from {peer} within {timeout_s:.3f} s',
            ) from error
        finally:
            self._pending.pop(call_id, None)

    def reply(self, delivery: Delivery, message: object) -> None:
        """Reply to a call; a reply that can't be sent is dropped."""
        peer = delivery.sender
        encoded = self._encode(peer, message, delivery.call_id, is_reply=True)
        try:
            self._send_encoded(peer, encoded)
        except PeerUnreachableError:
            _LOGGER.info('Reply dropped.', extra={'peer': peer})

    def last_received_at(self, peer: str) -> float:
        """Return the monotonic time of the last message from a peer."""
        return self._receipts.get_received_at(peer)

    def _encode(
        self,
        peer: str,
        message: object,
        call_id: str = '',
        *,
        is_reply: bool = False,
    ) -> EncodedMessage:
        return encode_envelope(
            self.instance,
            self.start_id,
            message,
            call_id,
            is_reply,
            self._receipts.get_newest_sent_at(peer),
            self._silence.count_losses(peer),
        )

    def _send_encoded(self, peer: str, encoded: EncodedMessage) -> None:
        sender = self._senders.get(peer)
        if sender is None:
            sender = self._open_sender(peer)
        sender.send(encoded)

    def _open_sender(self, peer: str) -> PeerSender:
        with self._lock:
            sender = self._senders.get(peer)
            if sender is not None:
                return sender
            address = self._find_address(peer)
            if address is None:
                raise PeerUnreachableError(f'no address known for peer {peer}')
            sender = PeerSender(
                peer, address, self.last_received_at, self._silence
            )
            self._senders[peer] = sender
            return sender

    def _find_address(self, peer: str) -> str | None:
        address = self._routes.get(peer) or self._addresses.get(peer)
        if address is None and ':' in peer:
            # An id that contains a colon is the address of the peer.
            return peer
        return address

    def _receive(self) -> None:
        while True:
            try:
                encoded = self._socket.recv()
            except pynng.Closed:
                return
            except pynng.NNGException:
                _LOGGER.exception('Failed to receive a message.')
                continue
            try:
                self._dispatch(encoded)
            except CodecError as error:
                _LOGGER.warning('Invalid message dropped: %s.', error)
            except Exception:
                _LOGGER.exception('Message handler failed.')

    def _dispatch(self, encoded: bytes) -> None:
        envelope, message = decode_envelope(encoded)
        delivery = self._make_delivery(envelope, message)
        if envelope.is_reply:
            replies = self._pending.get(envelope.call_id)
            if replies is not None:
                replies.put(delivery)
            return
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            _LOGGER.warning(
                'Message dropped, no handler for %s.', envelope.kind
            )
            return
        handler(delivery)

    def _make_delivery(self, envelope: Envelope, message: object) -> Delivery:
        now = time.monotonic()
        tells_of_loss = self._receipts.tells_of_loss(envelope)
        age_s = self._receipts.record(envelope, now)
        sender = self._senders.get(envelope.sender)
        if sender is not None:
            sender.record_acknowledged(envelope.acknowledged)
            if tells_of_loss:
                sender.record_loss(now)
        return Delivery(
            sender=envelope.sender,
            start_id=envelope.start_id,
            call_id=envelope.call_id,
            age_s=age_s,
            message=message,
        )
