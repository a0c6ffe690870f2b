"""Parses the requests of one connection."""

import time
from collections.abc import Callable

import httptools

from shallotgate.aio._message import Headers, IncomingRequest


class RejectedError(Exception):
    """A request is answered without being handled."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        # Status of the answer.
        self.status = status


class RequestReader:
    """Collects the parts of a request; callbacks are the parser's."""

    def __init__(
        self,
        on_request: Callable[[IncomingRequest], None],
        on_expect: Callable[[], None],
        read_max_bytes: Callable[[], tuple[int, int]],
    ) -> None:
        """``read_max_bytes`` returns the limits of headers and body."""
        self._on_request = on_request
        self._on_expect = on_expect
        self._read_max_bytes = read_max_bytes
        self._parser = httptools.HttpRequestParser(self)
        # Monotonic time of the first byte of an incomplete request.
        self.begun_at = float('inf')
        # Time on the way of the next request and its answer, in seconds.
        self.way_s: float = 0
        self._begin()

    def feed(self, received: bytes) -> None:
        """Parse what came; raises ``RejectedError``."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RejectedError):
                raise error.__context__ from error
            raise RejectedError(400) from error
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise RejectedError(400) from error

    def on_message_begin(self) -> None:
        """Begin another request."""
        self._begin()
        self.begun_at = time.monotonic()

    def on_url(self, url: bytes) -> None:
        """Take up a part of the path."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take up a header."""
        self._headers.append((name, text))
        self._count_header(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Let a caller go on that waits for a word before its body."""
        for name, _ in self._headers:
            if name.lower() == b'expect':
                self._on_expect()

    def on_body(self, body: bytes) -> None:
        """Take up a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._read_max_bytes()[1]:
            raise RejectedError(413)

    def on_message_complete(self) -> None:
        """Hand on the request."""
        self.begun_at = float('inf')
        self._on_request(
            IncomingRequest(
                method=self._parser.get_method(),
                path=bytes(self._url),
                headers=self._headers,
                body=b''.join(self._body),
                received_at=time.monotonic(),
                way_s=self.way_s,
            ),
        )

    def _begin(self) -> None:
        self._url = bytearray()
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _count_header(self, amount: int) -> None:
        self._header_bytes += amount
        if self._header_bytes > self._read_max_bytes()[0]:
            raise RejectedError(431)
