"""Sending to one peer."""

import queue
import threading
import time
from collections.abc import Callable

import pynng

from shallotgate.errors import PeerUnreachableError
from shallotgate.logs import get_logger

_LOGGER = get_logger('transport')
# Messages waiting for one peer before sending fails.
_QUEUE_LIMIT = 4096
# Messages that the socket takes without waiting.
_SOCKET_BUFFER = 128
_SEND_TIMEOUT_MS = 500
_WATCH_S = 0.5
# Waits between two attempts to connect, in milliseconds, doubled up to the
# second: a peer that starts is reached soon, and a dial costs little.
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 100
# A peer that is sent to but not heard from for this long gets a new
# connection: after a silent cut TCP would go on waiting in its back-off.
_SILENCE_S = 2.0
# Closing a socket drops what it still buffers.
_LINGER_S = 0.05


class PeerSender:
    """Sends messages to one peer in order, or drops them.

    The caller's thread hands a message to the socket where that takes it at
    once, which saves a switch of threads. Otherwise the message is queued
    for the thread of this peer, which also renews the connection.
    """

    def __init__(
        self,
        peer: str,
        address: str,
        last_received_at: Callable[[str], float],
    ) -> None:
        self.peer = peer
        self.address = address
        self._last_received_at = last_received_at
        self._queue: queue.Queue[bytes | None] = queue.Queue(_QUEUE_LIMIT)
        self._lock = threading.Lock()
        # Messages queued or in the hands of the thread.
        self._backlog = 0
        self._dialled_at = float('-inf')
        self._sent_at = float('-inf')
        self._is_stopping = False
        self._socket = self._dial()
        self._thread = threading.Thread(
            target=self._run,
            name=f'send-{peer}',
            daemon=True,
        )
        self._thread.start()

    def send(self, encoded: bytes) -> None:
        """Send or queue a message; raises ``PeerUnreachableError`` if full."""
        with self._lock:
            if not self._backlog and self._try_send(encoded):
                return
            try:
                self._queue.put_nowait(encoded)
            except queue.Full as error:
                raise PeerUnreachableError(
                    f'send queue of peer {self.peer} is full',
                ) from error
            self._backlog += 1

    def stop(self) -> None:
        """Send what is queued and close the connection."""
        self._is_stopping = True
        try:
            self._queue.put(None, timeout=1)
        except queue.Full:
            _LOGGER.info('Messages dropped.', extra={'peer': self.peer})
        self._thread.join(timeout=2)

    def _try_send(self, encoded: bytes) -> bool:
        try:
            self._socket.send(encoded, block=False)
        except pynng.NNGException:
            return False
        self._sent_at = time.monotonic()
        return True

    def _run(self) -> None:
        while not self._is_stopping or self._backlog:
            try:
                encoded = self._queue.get(timeout=_WATCH_S)
            except queue.Empty:
                self._watch()
                continue
            if encoded is None:
                break
            self._send_waiting(encoded)
            self._watch()
        time.sleep(_LINGER_S)
        self._socket.close()

    def _send_waiting(self, encoded: bytes) -> None:
        try:
            self._socket.send(encoded)
        except pynng.NNGException:
            # The peer does not take messages; this one is dropped.
            self._redial()
        else:
            self._sent_at = time.monotonic()
        with self._lock:
            self._backlog -= 1

    def _watch(self) -> None:
        heard_at = max(self._last_received_at(self.peer), self._dialled_at)
        if self._sent_at - heard_at > _SILENCE_S:
            self._redial()

    def _redial(self) -> None:
        with self._lock:
            self._socket.close()
            self._socket = self._dial()

    def _dial(self) -> pynng.Push0:
        self._dialled_at = time.monotonic()
        socket = pynng.Push0(
            send_timeout=_SEND_TIMEOUT_MS,
            send_buffer_size=_SOCKET_BUFFER,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        socket.dial(f'tcp://{self.address}', block=False)
        return socket
