"""Non-blocking output stream for logs."""

import os

# Bytes buffered for a slow reader; further lines are dropped.
_MAX_BUFFER_BYTES = 256 * 1024


class NonBlockingStream:
    """Writes to a file descriptor; drops and counts lines when it is full.

    >>> reader, writer = os.pipe()
    >>> stream = NonBlockingStream(writer)
    >>> stream.write('a line')
    >>> os.read(reader, 100)
    b'a line'
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        self._descriptor = descriptor
        self._buffer = b''
        # Lines dropped since the start.
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Buffer and write a line, or drop it if the buffer is full."""
        if len(self._buffer) > _MAX_BUFFER_BYTES:
            self.flush()
            if len(self._buffer) > _MAX_BUFFER_BYTES:
                self.dropped += 1
                return
        self._buffer += text.encode()
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            # The rest is written with a later line.
            return
        self._buffer = self._buffer[written:]
