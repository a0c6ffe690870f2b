"""Parses the requests of one connection."""

import time
from collections.abc import Callable

import httptools

from shallotgate.aio._message import (
    MAX_FRAMING_RATIO,
    Headers,
    IncomingRequest,
)

# Raw bytes of a head, as a multiple of its limit: names and values count
# towards the limit, separators and line ends do not.
_RAW_HEAD_FACTOR = 2
# Memory that a header takes besides its text, and a request besides its parts.
_HEADER_OVERHEAD_BYTES = 200
_REQUEST_OVERHEAD_BYTES = 1024
# Bytes that a body has to gain for the time of its progress to begin anew.
_MIN_PROGRESS_BYTES = 1024
# Copies of a body while its request is handled: the request, and what is
# encoded for a target and waits to be sent to it.
_BODY_COPIES = 3
# Digits of the longest stated length that is read.
_MAX_DIGITS = 18
_NEVER = float('inf')


class RequestRejectedError(Exception):
    """A request is answered without being handled."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        # Status of the answer.
        self.status = status


class RequestParser:
    """Collects the parts of a request; callbacks are the parser's."""

    def __init__(
        self,
        on_request: Callable[[IncomingRequest, int], None],
        on_expect: Callable[[], None],
        get_size_limits: Callable[[], tuple[int, int]],
    ) -> None:
        """``get_size_limits`` returns the limits of headers and body.

        ``on_request`` gets a request and the memory that it takes.
        """
        self._on_request = on_request
        self._on_expect = on_expect
        self._read_max_bytes = get_size_limits
        self._parser = httptools.HttpRequestParser(self)
        # Monotonic time of the first byte of an incomplete request.
        self.begun_at = _NEVER
        # Monotonic time at which the body last made progress; infinite before
        # the end of the headers.
        self.progressed_at = _NEVER
        # Time on the way of the next request and its answer, in seconds.
        self.network_s: float = 0
        # Received bytes since the last request that belong to no body.
        self._raw_bytes = 0
        self._is_discarded = False
        self._begin()

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete request takes."""
        if self.begun_at == _NEVER:
            return 0
        # Bytes outside of the body are counted as received: framing that is
        # not kept has cost at least as much to parse.
        return self._body_bytes + max(self._raw_bytes, 0) + self._overhead_bytes

    @property
    def _overhead_bytes(self) -> int:
        headers = len(self._headers) * _HEADER_OVERHEAD_BYTES
        return headers + _REQUEST_OVERHEAD_BYTES

    def discard(self) -> None:
        """Release the incomplete request; nothing more is parsed."""
        self._is_discarded = True
        self.begun_at = _NEVER
        self.progressed_at = _NEVER
        self._begin()

    def feed(self, received: bytes) -> None:
        """Parse what came; raises ``RequestRejectedError``."""
        if self._is_discarded:
            return
        self._raw_bytes += len(received)
        self._parse(received)
        self._check_raw_bytes()

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
        self.progressed_at = time.monotonic()
        self._progress_bytes = 0
        max_body_bytes = self._read_max_bytes()[1]
        for name, text in self._headers:
            key = name.lower()
            if key == b'content-length':
                _check_length(text, max_body_bytes)
            elif key == b'expect':
                self._on_expect()

    def on_body(self, body: bytes) -> None:
        """Take up a part of the body."""
        self._body += body
        self._body_bytes += len(body)
        self._raw_bytes -= len(body)
        if self._body_bytes - self._progress_bytes >= _MIN_PROGRESS_BYTES:
            self.progressed_at = time.monotonic()
            self._progress_bytes = self._body_bytes
        if self._body_bytes > self._read_max_bytes()[1]:
            raise RequestRejectedError(413)

    def on_message_complete(self) -> None:
        """Hand on the request."""
        self.begun_at = _NEVER
        self.progressed_at = _NEVER
        # What follows in the same read is counted from the next one on.
        self._raw_bytes = 0
        request = IncomingRequest(
            method=self._parser.get_method(),
            path=bytes(self._url),
            headers=self._headers,
            body=bytes(self._body),
            received_at=time.monotonic(),
            network_s=self.network_s,
            keeps_open=self._parser.should_keep_alive(),
        )
        amount = (
            self._header_bytes
            + self._overhead_bytes
            + len(request.body) * _BODY_COPIES
        )
        # Its parts are not needed until the next one begins.
        self._begin()
        self._on_request(request, amount)

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RequestRejectedError):
                raise error.__context__ from error
            raise RequestRejectedError(400) from error
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise RequestRejectedError(400) from error

    def _begin(self) -> None:
        self._url = bytearray()
        self._headers: Headers = []
        self._header_bytes = 0
        # Not a list of parts: one of a byte each would take forty times as
        # much memory.
        self._body = bytearray()
        self._body_bytes = 0
        # Bytes of the body when it last made progress.
        self._progress_bytes = 0

    def _check_raw_bytes(self) -> None:
        """Bound lines, chunk extensions and trailers that do not end."""
        allowed = self._read_max_bytes()[0] * _RAW_HEAD_FACTOR
        if self._raw_bytes > allowed + self._body_bytes * MAX_FRAMING_RATIO:
            raise RequestRejectedError(431)

    def _count_header(self, amount: int) -> None:
        self._header_bytes += amount
        if self._header_bytes > self._read_max_bytes()[0]:
            raise RequestRejectedError(431)


def _check_length(stated: bytes, max_bytes: int) -> None:
    """Reject a body that is too large before any of it is read."""
    if not stated.isdigit():
        return
    if len(stated) > _MAX_DIGITS or int(stated) > max_bytes:
        raise RequestRejectedError(413)
