"""Server that answers with given bytes, whole or without end."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

_RECEIVE_BYTES = 65536
_DRIP_S = 0.05


class RawServer:
    """Answers each connection with the same bytes and closes it.

    ``repeated`` is sent again and again until the client closes; ``drip``
    sends it slowly.
    """

    def __init__(
        self, start: bytes, repeated: bytes = b'', drip: bool = False
    ) -> None:
        self._start = start
        self._repeated = repeated
        self._drip = drip
        self.sent_bytes = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Stop to listen."""
        # Closing alone doesn't wake the thread that accepts.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            connection.recv(_RECEIVE_BYTES)
            connection.sendall(self._start)
            while self._repeated:
                connection.sendall(self._repeated)
                self.sent_bytes += len(self._repeated)
                if self._drip:
                    time.sleep(_DRIP_S)


@contextlib.contextmanager
def serve_bytes(
    start: bytes, repeated: bytes = b'', drip: bool = False
) -> Iterator[RawServer]:
    """Run a server for the duration of the block."""
    server = RawServer(start, repeated, drip)
    try:
        yield server
    finally:
        server.close()


STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'
# First bytes of a response, and what follows without end.
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'O' * 1000),
    'header lines': (STATUS, b'Name: value\r\n' * 50),
    'one header': (STATUS + b'Name: ', b'v' * 1000),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 50),
    'unframed body': (STATUS + b'\r\n', b'b' * 1000),
    'chunks': (CHUNKED, b'1\r\nb\r\n' * 50),
    'chunk extension': (CHUNKED + b'1;', b'e' * 1000),
    'trailers': (CHUNKED + b'1\r\nb\r\n0\r\n', b'Name: value\r\n' * 50),
    'no response': (b'\x00\xff', b'\x00' * 1000),
}
