"""One connection of a caller."""

import asyncio
import time
from collections import deque
from dataclasses import replace
from typing import Protocol, cast

from shallotgate.aio._caller_totals import CallerTotals, Reason
from shallotgate.aio._message import (
    Handler,
    IncomingRequest,
    Response,
    ServerLimits,
)
from shallotgate.aio._request_parser import RequestParser, RequestRejectedError
from shallotgate.aio._round_trip import get_round_trip_s, get_unread_bytes
from shallotgate.logs import get_logger

_LOGGER = get_logger('http')
# Requests of one connection that wait while another is served; a caller that
# sends more at once is not read from.
_MAX_PIPELINED = 16
_MS_PER_S = 1000


class Server(Protocol):
    """What a connection uses of its server."""

    handler: Handler
    # Whether answers ask callers to connect anew.
    is_closing: bool
    # Whether requests that were read are handled although their callers have
    # left without the answer.
    completes_requests: bool
    totals: 'CallerTotals[CallerConnection]'
    connections: 'set[CallerConnection]'

    def get_size_limits(self) -> tuple[int, int]:
        """Return the most bytes of headers and of a body."""

    def refuse(self) -> Response:
        """Return the answer to a request that is not handled."""

    def reject(self, status: int) -> Response:
        """Return the answer to a request that can't be read."""

    def count(self, event: str) -> None:
        """Count a caller that was shed or rejected."""

    def complete(self, request: IncomingRequest) -> None:
        """Handle a request whose caller has left."""

    def shed_excess(self) -> None:
        """Shed callers until all limits over all connections hold."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; its task handles one request at a time.

    A half-closed connection is treated as closed, as the base class does.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._reader = RequestParser(
            on_request=self._enqueue,
            on_expect=lambda: _write_continue(self._transport),
            get_size_limits=server.get_size_limits,
        )
        # Requests with the bytes that they hold; 0 for refused ones.
        self._requests: deque[tuple[IncomingRequest, int]] = deque()
        self._arrived = asyncio.Event()
        # Cleared while the caller does not read its answers.
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._round_trip_s: float = 0
        # Whether a request is being handled.
        self.is_busy = False
        # Whether the connection is closed once what was read is answered.
        self._is_ending = False
        # Monotonic time since which the connection has been without request.
        self._idle_since = time.monotonic()

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
        self._server.totals.add(self)
        self._task = asyncio.ensure_future(self._serve())
        self._server.shed_excess()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        try:
            self._reader.feed(data)
        except RequestRejectedError as error:
            self._server.count(f'status_{error.status}')
            self._reject(self._server.reject(error.status))
            return
        self._server.totals.set_incomplete(
            self, self._reader.held_bytes, self._reader.begun_at
        )
        self._server.shed_excess()

    def pause_writing(self) -> None:
        """Wait with further answers until the caller has read some."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Go on with answers."""
        self._can_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is under way for the caller.

        A server that completes requests still handles those that were read.
        """
        self._server.connections.discard(self)
        self._server.totals.remove(self)
        if self._task is not None:
            self._task.cancel()
        if self._server.completes_requests:
            for request, _ in self._requests:
                self._server.complete(request)

    def find_overdue(
        self, now: float, limits: ServerLimits, progress_timeout_ms: int
    ) -> str | None:
        """Return in what the caller idles or takes too long, if it does."""
        if self._reader.progressed_at != float('inf'):
            stalled_s = now - self._reader.progressed_at
            is_stalled = stalled_s > progress_timeout_ms / _MS_PER_S
            return 'slow_body' if is_stalled else None
        slow_s = now - self._reader.begun_at
        if slow_s > limits.header_timeout_ms / _MS_PER_S:
            return 'slow_headers'
        idle_s = now - self._idle_since
        if self.is_idle and idle_s > limits.idle_timeout_ms / _MS_PER_S:
            return 'idle'
        return None

    def check_unsent(self) -> bool:
        """Account for answers that the caller has not read.

        Returns whether their size has changed since the last look.
        """
        if self._transport is None:
            return False
        amount = self._transport.get_write_buffer_size()
        amount += get_unread_bytes(self._transport)
        return self._server.totals.set_unsent(self, amount)

    def close(self) -> None:
        """Close a connection that has no request."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection without sending what waits to be sent."""
        self._server.totals.remove(self)
        if self._transport is not None:
            self._transport.abort()

    def shed(self, reason: Reason) -> None:
        """Close the connection, which holds too much.

        Requests that are being handled are still answered.
        """
        self._server.count(f'shed_{reason}')
        self._reader.discard()
        self._server.totals.set_incomplete(self, 0)
        transport = self._transport
        if transport is None or transport.get_write_buffer_size():
            self.abort()
            return
        if self.is_busy or self._requests:
            self._is_ending = True
            transport.pause_reading()
            return
        self._server.totals.remove(self)
        self._reject(self._server.refuse())

    def _enqueue(self, request: IncomingRequest, amount: int) -> None:
        if not self._server.totals.admit_request(self, amount):
            self._server.count('refused')
            # Kept for the order of the answers.
            request = replace(request, path=b'', headers=[], body=b'')
            amount = 0
        self._requests.append((request, amount))
        self._reader.network_s = self._round_trip_s
        self._arrived.set()
        if len(self._requests) >= _MAX_PIPELINED and self._transport:
            self._transport.pause_reading()

    def _reject(self, response: Response) -> None:
        """Answer and close; the rest of the input can't be trusted."""
        self._reader.discard()
        if self._transport is None or self._transport.is_closing():
            return
        if not self.is_busy:
            self._transport.write(response.encode(keep_open=False))
        self._transport.close()

    async def _serve(self) -> None:
        while True:
            await self._arrived.wait()
            while self._requests:
                await self._can_write.wait()
                self.is_busy = True
                request, amount = self._requests.popleft()
                answer = await _answer(self._server, request, amount)
                self._server.totals.finish_request(self, amount)
                self._write(request, answer)
                self.is_busy = False
                # Releases the bodies while the caller is waited for.
                del request, answer
            self._arrived.clear()
            self._idle_since = time.monotonic()
            _continue_reading(self._transport, self._is_ending)

    def _write(self, request: IncomingRequest, response: Response) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        # Requests that were read already are still answered.
        is_leaving = self._server.is_closing or self._is_ending
        is_last = is_leaving and not self._requests
        keep_open = request.keeps_open and not is_last
        has_body = request.method != b'HEAD'
        transport.write(response.encode(keep_open=keep_open, has_body=has_body))
        self.check_unsent()
        self._server.shed_excess()
        if not keep_open:
            transport.close()


async def _answer(
    server: Server, request: IncomingRequest, amount: int
) -> Response:
    """Return the answer to a request; one that holds nothing is refused."""
    if not amount:
        return server.refuse()
    try:
        return await server.handler(request)
    except asyncio.CancelledError:
        raise
    except Exception:
        _LOGGER.exception('A request handler failed.')
        return Response(500)


def _write_continue(transport: asyncio.Transport | None) -> None:
    if transport is not None:
        transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')


def _continue_reading(
    transport: asyncio.Transport | None, is_ending: bool
) -> None:
    if transport is None or transport.is_closing():
        return
    if is_ending:
        transport.close()
        return
    transport.resume_reading()
