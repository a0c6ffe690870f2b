"""HTTP server with one task for each connection."""

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

from shallotgate.aio._message import IncomingRequest, Response
from shallotgate.aio._request_parser import RequestParser, RequestRejectedError
from shallotgate.aio._round_trip import get_round_trip_s
from shallotgate.logs import get_logger

_LOGGER = get_logger('http')
# Seconds between two looks for connections that idle or are too slow.
_SWEEP_S = 0.5
# Connections that wait to be accepted.
_BACKLOG = 1024
# Requests of one connection that wait while another is served; a caller that
# sends more at once is not read from.
_MAX_PIPELINED = 16
_MS_PER_S = 1000
# Interval between two looks for connections that have become idle.
_DRAIN_POLL_S = 0.02

Handler = Callable[[IncomingRequest], Awaitable[Response]]


@dataclass(frozen=True)
class ServerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class _Connection(asyncio.Protocol):
    """One connection of a caller; its task handles one request at a time."""

    def __init__(self, server: 'AsyncHttpServer') -> None:
        self._server = server
        self._reader = RequestParser(
            on_request=self._enqueue,
            on_expect=self._write_continue,
            get_size_limits=server.get_size_limits,
        )
        self._requests: deque[IncomingRequest] = deque()
        self._arrived = asyncio.Event()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._round_trip_s: float = 0
        # Request that is being handled.
        self._current: IncomingRequest | None = None
        # Monotonic time since which the connection has been without request.
        self._idle_since = time.monotonic()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled."""
        return self._current is not None

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way, not even a part of one."""
        is_waiting = bool(self._requests)
        return not (
            self.is_busy or is_waiting
        ) and self._reader.begun_at == float('inf')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of the connection."""
        # Transports of uvloop are no subclass of those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._round_trip_s = get_round_trip_s(transport)
        # The first request came after the round trip that connected.
        self._reader.network_s = self._round_trip_s * 2
        self._server.connections.add(self)
        self._task = asyncio.ensure_future(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        try:
            self._reader.feed(data)
        except RequestRejectedError as error:
            _LOGGER.info('Request rejected.', extra={'status': error.status})
            self._reject(error.status)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is under way for the caller."""
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def is_overdue(self, now: float, limits: ServerLimits) -> bool:
        """Return whether the caller idles or takes too long."""
        slow_s = now - self._reader.begun_at
        if slow_s > limits.header_timeout_ms / _MS_PER_S:
            return True
        idle_s = now - self._idle_since
        return self.is_idle and idle_s > limits.idle_timeout_ms / _MS_PER_S

    def close(self) -> None:
        """Close a connection that has no request."""
        if self._transport is not None:
            self._transport.close()

    def _enqueue(self, request: IncomingRequest) -> None:
        self._requests.append(request)
        self._reader.network_s = self._round_trip_s
        self._arrived.set()
        if len(self._requests) >= _MAX_PIPELINED and self._transport:
            self._transport.pause_reading()

    def _write_continue(self) -> None:
        if self._transport is not None:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _reject(self, status: int) -> None:
        """Answer and close; the rest of the input can't be trusted."""
        if self._transport is None or self._transport.is_closing():
            return
        if not self.is_busy:
            answer = Response(status).encode(keep_open=False)
            self._transport.write(answer)
        self._transport.close()

    async def _serve(self) -> None:
        while True:
            await self._arrived.wait()
            while self._requests:
                self._current = self._requests.popleft()
                answer = await self._answer(self._current)
                self._write(self._current, answer)
                self._current = None
            self._arrived.clear()
            self._idle_since = time.monotonic()
            if self._transport is not None:
                self._transport.resume_reading()

    async def _answer(self, request: IncomingRequest) -> Response:
        try:
            return await self._server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOGGER.exception('A request handler failed.')
            return Response(500)

    def _write(self, request: IncomingRequest, response: Response) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        connection = request.read_header(b'connection') or b''
        wants_close = connection.lower() == b'close'
        # Requests that were read already are still answered.
        is_last = self._server.is_closing and not self._requests
        keep_open = not (is_last or wants_close)
        has_body = request.method != b'HEAD'
        transport.write(response.encode(keep_open=keep_open, has_body=has_body))
        if not keep_open:
            transport.close()


class AsyncHttpServer:
    """Serves requests of one address on the running event loop."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ServerLimits] = ServerLimits,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[_Connection] = set()
        # Whether answers ask callers to connect anew.
        self.is_closing = False
        self._address = address
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    def get_size_limits(self) -> tuple[int, int]:
        """Return the most bytes of headers and of a body."""
        limits = self.limits()
        return limits.max_header_bytes, limits.max_body_bytes

    async def start(self) -> None:
        """Listen; raises ``OSError`` if the address is taken."""
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            host,
            int(port),
            backlog=_BACKLOG,
            family=socket.AF_INET,
        )
        self._sweeper = asyncio.ensure_future(self._sweep())

    def disable_keep_alive(self) -> None:
        """Ask callers in each answer to use another connection."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Stop to listen and close connections without a request."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def busy_count(self) -> int:
        """Connections with a request that is not answered yet."""
        return sum(connection.is_busy for connection in self.connections)

    async def drain(self, until: float) -> None:
        """Wait until all requests are answered, or until a monotonic time.

        Connections are closed once they are idle.
        """
        self.close_idle()
        while self.connections and time.monotonic() < until:
            await asyncio.sleep(_DRAIN_POLL_S)
            self.close_idle()

    async def stop(self) -> None:
        """Close everything."""
        self.close_idle()
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = time.monotonic()
            limits = self.limits()
            for connection in tuple(self.connections):
                if connection.is_overdue(now, limits):
                    connection.close()
