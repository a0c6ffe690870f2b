"""Output that never waits for its reader."""

import os

# Bytes that are kept for a reader that is behind; further lines are dropped.
_MAX_BACKLOG = 256 * 1024


class NonBlockingStream:
    """Writes whole lines to a descriptor, or drops and counts them.

    >>> reader, writer = os.pipe()
    >>> stream = NonBlockingStream(writer)
    >>> stream.write('a line')
    >>> os.read(reader, 100)
    b'a line'
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        self._descriptor = descriptor
        self._backlog = b''
        # Lines that were dropped since the start.
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line or a part of one."""
        if len(self._backlog) > _MAX_BACKLOG:
            self.flush()
            if len(self._backlog) > _MAX_BACKLOG:
                self.dropped += 1
                return
        self._backlog += text.encode()
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            written = os.write(self._descriptor, self._backlog)
        except BlockingIOError:
            # The rest goes out with a later line.
            return
        self._backlog = self._backlog[written:]
