"""One sending thread for each peer."""

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
_SEND_TIMEOUT_MS = 500
# A peer that is sent to but not heard from for this long gets a new
# connection: after a silent cut TCP would go on waiting in its back-off.
_SILENCE_S = 2.0


class PeerSender:
    """Sends messages to one peer in order, or drops them."""

    def __init__(
        self,
        peer: str,
        address: str,
        last_heard: Callable[[str], float],
    ) -> None:
        self.peer = peer
        self.address = address
        self._last_heard = last_heard
        self._queue: queue.Queue[bytes | None] = queue.Queue(_QUEUE_LIMIT)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name=f'send-{peer}',
            daemon=True,
        )
        self._thread.start()

    def send(self, encoded: bytes) -> None:
        """Queue a message; raises ``PeerUnreachableError`` if full."""
        try:
            self._queue.put_nowait(encoded)
        except queue.Full as error:
            raise PeerUnreachableError(
                f'send queue of peer {self.peer} is full',
            ) from error

    def stop(self) -> None:
        """Send what is queued and close the connection."""
        try:
            self._queue.put(None, timeout=1)
        except queue.Full:
            self._stopped.set()
        self._thread.join(timeout=2)

    def _run(self) -> None:
        while not self._stopped.is_set():
            socket = self._dial()
            try:
                self._send_until_silent(socket)
            except pynng.NNGException:
                _LOGGER.info('Sending failed.', extra={'peer': self.peer})
            finally:
                socket.close()

    def _dial(self) -> pynng.Push0:
        socket = pynng.Push0(
            send_timeout=_SEND_TIMEOUT_MS,
            send_buffer_size=64,
            reconnect_time_min=50,
            reconnect_time_max=500,
        )
        socket.dial(f'tcp://{self.address}', block=False)
        return socket

    def _send_until_silent(self, socket: pynng.Push0) -> None:
        dialled_at = time.monotonic()
        while True:
            encoded = self._queue.get()
            if encoded is None:
                self._stopped.set()
                # Closing drops what the socket still buffers.
                time.sleep(0.05)
                return
            try:
                socket.send(encoded)
            except pynng.Timeout:
                # The peer does not take messages; this one is dropped.
                return
            now = time.monotonic()
            heard_at = max(self._last_heard(self.peer), dialled_at)
            if now - heard_at > _SILENCE_S:
                return
