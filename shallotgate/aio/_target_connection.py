"""One connection to a target."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from shallotgate.aio._message import Headers
from shallotgate.aio._reply_limits import ReplyLimits, ReplyMeter
from shallotgate.errors import (
    TargetConnectError,
    TargetLostError,
    TargetProtocolError,
)

_DEFAULT_LIMITS = ReplyLimits()
# A target closes idle connections itself; one is given up this much earlier,
# because a request that crosses the close may or may not have run.
_KEEP_ALIVE_MARGIN_S = 0.5
_CLOSE = b'close'
_FINAL_STATUSES = range(200, 600)
# Others than 101, which ends HTTP on the connection.
_INTERIM_STATUSES = frozenset((100, *range(102, 200)))
_VERSIONS = frozenset(('1.0', '1.1'))
# Digits of the longest number of seconds that is read.
_MAX_DIGITS = 9


@dataclass(frozen=True)
class Reply:
    """A complete response of a target."""

    status: int
    headers: Headers
    body: bytes


class TargetConnection(asyncio.Protocol):
    """Sends one request at a time and reads its reply.

    A reply that belongs to another request is skipped. After anything else
    that is out of order the connection is closed and not used again.
    """

    def __init__(self, on_close: Callable[['TargetConnection'], None]) -> None:
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[Reply] | None = None
        # Tells whether a reply's headers belong to the request.
        self._is_own: Callable[[Headers], bool] | None = None
        self._headers: Headers = []
        # Not a list of parts: one of a byte each would take forty times as
        # much memory.
        self._body = bytearray()
        self._meter = ReplyMeter(_DEFAULT_LIMITS)
        self._in_reply = False
        # Whether the headers of the reply under way are complete.
        self._has_headers = False
        # Whether the length of the reply under way is stated.
        self._is_framed = False
        self._expects_close = False
        self.is_usable = False
        # Monotonic time until which the target keeps an idle connection open.
        self.keep_alive_until = float('inf')

    @classmethod
    async def open(
        cls,
        address: str,
        timeout_s: float,
        on_close: Callable[['TargetConnection'], None],
    ) -> 'TargetConnection':
        """Connect to a target; raises ``TargetConnectError``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(on_close),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise TargetConnectError(f'{address}: {error!r}') from error
        return connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection can be used."""
        # Transports of uvloop are no subclass of those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self.is_usable = True

    def send(
        self,
        request: bytes,
        matches_request: Callable[[Headers], bool],
        limits: ReplyLimits = _DEFAULT_LIMITS,
    ) -> 'asyncio.Future[Reply]':
        """Send a request; the future fails with a ``TargetError``.

        A target that exceeds the limits is disconnected at once.
        """
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._is_own = matches_request
        self._meter = ReplyMeter(limits)
        self._transport.write(request)
        return self._waiter

    def close(self) -> None:
        """Close the connection; a request under way is cancelled by that."""
        self.is_usable = False
        if self._transport is not None:
            # Sent at once, also if bytes wait to be written.
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._waiter is None:
            # Bytes that belong to no request.
            self.close()
            return
        self._meter.add_received(len(data))
        try:
            self._parse(data)
        except TargetProtocolError as error:
            # Another one: the traceback refers to the received bytes, and the
            # request keeps the errors of its attempts until it ends.
            self._fail(type(error)(str(error)))
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(TargetProtocolError(f'not a reply: {error!r}'))

    def eof_received(self) -> bool:
        """Complete a reply whose end is the end of the connection."""
        if self._has_headers and self._in_reply and not self._is_framed:
            self._expects_close = True
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request under way."""
        self.is_usable = False
        self._fail(TargetLostError(f'connection lost: {exc!r}'))
        self._on_close(self)

    def on_message_begin(self) -> None:
        """Begin a reply."""
        self._discard_reply()
        self._in_reply = True
        self._has_headers = False
        self._is_framed = False
        if self._waiter is None:
            # More bytes came after a complete reply.
            self.close()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take up a header."""
        if not self._headers:
            _check_status(self._parser)
        self._meter.add_header()
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Read the framing and keep-alive headers."""
        _check_status(self._parser)
        self._has_headers = True
        self._expects_close = not self._parser.should_keep_alive()
        for name, text in self._headers:
            key = name.lower()
            if key in {b'content-length', b'transfer-encoding'}:
                self._is_framed = True
                self._meter.check_length(text)
            elif key == b'keep-alive':
                idle_s = _parse_idle_timeout_s(text)
                self.keep_alive_until = time.monotonic() + idle_s
            elif key == b'connection' and text.lower() == _CLOSE:
                self._expects_close = True

    def on_body(self, body: bytes) -> None:
        """Take up a part of the body."""
        self._meter.add_body(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Hand the reply to whoever waits for it."""
        if not self._in_reply:
            return
        self._in_reply = False
        status = self._parser.get_status_code()
        if self._waiter is None:
            return
        if status not in _FINAL_STATUSES:
            self._meter.add_skipped()
            return
        if self._is_own is not None and not self._is_own(self._headers):
            # A late reply to an earlier request; the own one may follow.
            self.is_usable = False
            self._meter.add_skipped()
            return
        waiter = self._waiter
        self._waiter = None
        if not waiter.done():
            waiter.set_result(
                Reply(status, self._headers, bytes(self._body)),
            )
        self._meter.finish()
        self._discard_reply()
        if self._expects_close or not self.is_usable:
            self.close()

    def _parse(self, data: bytes) -> None:
        """Feed the parser; raises ``TargetProtocolError`` or a parser error."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, TargetProtocolError):
                raise error.__context__ from error
            raise
        self._meter.check_head()

    def _discard_reply(self) -> None:
        self._meter.discard_reply()
        self._headers = []
        self._body = bytearray()

    def _fail(self, error: Exception) -> None:
        waiter = self._waiter
        self._waiter = None
        self._meter.finish()
        self._discard_reply()
        # Another one: it holds the part of a header that it has read.
        self._parser = httptools.HttpResponseParser(self)
        self._in_reply = False
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
            # Nobody may wait any more.
            waiter.exception()
        self.close()


def _parse_idle_timeout_s(text: bytes) -> float:
    """Return how long an idle connection is kept; infinite if not stated."""
    for part in text.split(b','):
        key, _, seconds = part.strip().partition(b'=')
        is_number = seconds.isdigit() and len(seconds) <= _MAX_DIGITS
        if key.lower() == b'timeout' and is_number:
            return max(int(seconds) - _KEEP_ALIVE_MARGIN_S, 0)
    return float('inf')


def _check_status(parser: httptools.HttpResponseParser) -> None:
    """Raise ``TargetProtocolError`` unless HTTP/1.x defines the status."""
    status = parser.get_status_code()
    version = parser.get_http_version()
    is_known = status in _FINAL_STATUSES or status in _INTERIM_STATUSES
    if version not in _VERSIONS or not is_known:
        raise TargetProtocolError(
            f'not a reply: HTTP/{version} with status {status}',
        )
