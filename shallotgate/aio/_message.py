"""Requests and responses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

# Names are as received; order and repetition are kept.
Headers = list[tuple[bytes, bytes]]
# Bytes of chunk framing that are allowed for each byte of a body: more means
# chunks of a few bytes, which cost far more to parse than to send.
MAX_FRAMING_RATIO = 1
_LINE_END = b'\r\n'


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'


@dataclass(frozen=True)
class IncomingRequest:
    """A whole request of a caller."""

    method: bytes
    # Path with the query, as received.
    path: bytes
    # Headers and body are kept out of the representation: a caller's key is in
    # a header, and the keys of all accounts are in an operator's table.
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)
    # Monotonic time at which its last byte came, in seconds.
    received_at: float
    # Seconds that the caller waited before, and waits for the answer's way, as
    # far as the connection's round-trip time tells; 0 if it is unknown.
    network_s: float = 0
    # Whether the caller expects the connection to stay open.
    keeps_open: bool = True

    def read_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is in lower case."""
        for key, text in self.headers:
            if key.lower() == name:
                return text
        return None


@dataclass(frozen=True)
class Response:
    """Answer to a caller."""

    status: int
    # Kept out of the representation: it may be a table.
    body: bytes = field(default=b'', repr=False)
    # Without those that concern the connection or the length.
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def encode(self, *, keep_open: bool, has_body: bool = True) -> bytes:
        """Return the bytes to send.

        ``has_body`` is false for the answer to HEAD.
        """
        lines = [b'HTTP/1.1 %d %s' % (self.status, _phrase(self.status))]
        lines.extend(b'%s: %s' % header for header in self.headers)
        if self.status not in {204, 304}:
            lines.append(b'Content-Length: %d' % len(self.body))
        if not keep_open:
            lines.append(b'Connection: close')
        head = _LINE_END.join(lines) + _LINE_END + _LINE_END
        return head + self.body if has_body else head


Handler = Callable[[IncomingRequest], Awaitable[Response]]


@dataclass(frozen=True)
class ServerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000
