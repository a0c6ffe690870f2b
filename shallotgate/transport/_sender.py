"""Connection for sending messages to one peer."""

import queue
import threading
import time
from collections.abc import Callable

import pynng

from shallotgate.errors import PeerUnreachableError
from shallotgate.logs import get_logger
from shallotgate.transport._acknowledgements import AcknowledgementTimer
from shallotgate.transport._envelope import EncodedMessage
from shallotgate.transport._silence import SilenceWatch, get_doubt_time

_LOGGER = get_logger('transport')
# Maximum number of messages queued for one peer; sending then fails.
_MAX_QUEUED_MESSAGES = 4096
# Number of messages that the socket buffers without blocking.
_SOCKET_BUFFER_MESSAGES = 128
_SEND_TIMEOUT_MS = 500
_CHECK_INTERVAL_S = 0.5
_MIN_CHECK_DELAY_S = 0.01
# Delay between connection attempts, doubled up to the maximum. It is short
# because dialling is cheap and a starting peer should be reached soon.
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 100
# The connection is replaced if the peer acknowledges nothing for this long
# although messages were sent: after a silent network failure TCP would keep
# waiting in its retransmission back-off. Longer than a peer that has nothing
# else to say holds its reply.
_SILENCE_TIMEOUT_S = 2.0
# Delay before the socket is closed, which discards buffered messages.
_LINGER_S = 0.05


class PeerSender:
    """Sends messages to one peer in order; may drop messages.

    The calling thread passes a message directly to the socket if that does not
    block, which avoids a thread switch. Otherwise the message is queued for
    the thread of this sender, which also replaces a failed connection.
    """

    def __init__(
        self,
        peer: str,
        address: str,
        last_received_at: Callable[[str], float],
        silence: SilenceWatch,
    ) -> None:
        self.peer = peer
        self.address = address
        self._last_received_at = last_received_at
        self._silence = silence
        # A connection that has carried nothing since this monotonic time is
        # replaced before it is used, as the peer has missed something.
        self._doubted_before = float('-inf')
        self._queue: queue.Queue[EncodedMessage | None] = queue.Queue(
            _MAX_QUEUED_MESSAGES
        )
        self._lock = threading.Lock()
        # Messages in the queue or being sent by the thread.
        self._backlog = 0
        self._dialled_at = float('-inf')
        self._timer = AcknowledgementTimer()
        self._is_stopping = False
        self._socket = self._dial()
        self._thread = threading.Thread(
            target=self._run,
            name=f'send-{peer}',
            daemon=True,
        )
        self._thread.start()

    def send(self, encoded: EncodedMessage) -> None:
        """Send or queue a message.

        Raises ``PeerUnreachableError`` if the queue is full.
        """
        with self._lock:
            if not self._backlog:
                if self._is_in_doubt():
                    self._replace_connection('it may be silent')
                if self._try_send(encoded):
                    return
            try:
                self._queue.put_nowait(encoded)
            except queue.Full as error:
                raise PeerUnreachableError(
                    f'send queue of peer {self.peer} is full',
                ) from error
            self._backlog += 1

    def record_acknowledged(self, sent_at: float | None) -> None:
        """Record the newest message that the peer has received.

        A peer that does not state it acknowledges all with each message.
        """
        now = time.monotonic()
        self._timer.record_acknowledged(
            now if sent_at is None else sent_at, now
        )

    def record_loss(self, now: float) -> None:
        """Record that the peer waited for this process in vain."""
        self._doubted_before = get_doubt_time(now)

    def stop(self) -> None:
        """Send the queued messages and close the connection."""
        self._is_stopping = True
        try:
            self._queue.put(None, timeout=1)
        except queue.Full:
            _LOGGER.info('Queued messages dropped.', extra={'peer': self.peer})
        self._thread.join(timeout=2)

    def _try_send(self, encoded: EncodedMessage) -> bool:
        try:
            self._socket.send(encoded.content, block=False)
        except pynng.NNGException:
            return False
        self._timer.record_sent(encoded.sent_at, time.monotonic())
        return True

    def _run(self) -> None:
        while not self._is_stopping or self._backlog:
            try:
                encoded = self._queue.get(timeout=self._get_check_delay_s())
            except queue.Empty:
                self._redial_if_silent()
                continue
            if encoded is None:
                break
            self._send_queued(encoded)
            self._redial_if_silent()
        time.sleep(_LINGER_S)
        self._socket.close()

    def _send_queued(self, encoded: EncodedMessage) -> None:
        try:
            self._socket.send(encoded.content)
        except pynng.NNGException as error:
            # The peer does not accept messages; this one is dropped.
            self._redial(str(error))
        else:
            self._timer.record_sent(encoded.sent_at, time.monotonic())
        with self._lock:
            self._backlog -= 1

    def _get_check_delay_s(self) -> float:
        """Return the seconds until the connection is looked at again."""
        waiting_s = self._timer.get_waiting_s(time.monotonic())
        remaining_s = _SILENCE_TIMEOUT_S - waiting_s
        return min(max(remaining_s, _MIN_CHECK_DELAY_S), _CHECK_INTERVAL_S)

    def _redial_if_silent(self) -> None:
        now = time.monotonic()
        waiting_s = self._timer.get_waiting_s(now)
        if waiting_s >= _SILENCE_TIMEOUT_S:
            self._silence.record_silence(self.peer, now)
            self._redial(f'nothing acknowledged for {waiting_s:.1f} s')

    def _is_in_doubt(self) -> bool:
        proven_at = self._timer.proven_at
        return proven_at < self._doubted_before or self._silence.is_in_doubt(
            proven_at
        )

    def _redial(self, reason: str) -> None:
        with self._lock:
            self._replace_connection(reason)

    def _replace_connection(self, reason: str) -> None:
        """Open another connection; requires the lock."""
        now = time.monotonic()
        _LOGGER.info(
            'Connection replaced: %s.',
            reason,
            extra={
                'peer': self.peer,
                'age_s': round(now - self._dialled_at, 3),
                'received_s_ago': round(
                    now - self._last_received_at(self.peer), 3
                ),
            },
        )
        self._socket.close()
        self._socket = self._dial()

    def _dial(self) -> pynng.Push0:
        self._dialled_at = time.monotonic()
        self._timer.record_replaced(self._dialled_at)
        socket = pynng.Push0(
            send_timeout=_SEND_TIMEOUT_MS,
            send_buffer_size=_SOCKET_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        socket.dial(f'tcp://{self.address}', block=False)
        return socket
