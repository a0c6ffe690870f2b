"""HTTP server with one task for each connection."""

import asyncio
import contextlib
import socket
import time
from collections import Counter
from collections.abc import Callable

from shallotgate.aio._caller_connection import CallerConnection
from shallotgate.aio._caller_totals import CallerTotals, TotalLimits
from shallotgate.aio._message import (
    Handler,
    IncomingRequest,
    Response,
    ServerLimits,
)
from shallotgate.logs import get_logger

_LOGGER = get_logger('http')
# Seconds between two looks for connections that idle or are too slow.
_SWEEP_S = 0.5
# Connections that wait to be accepted.
_BACKLOG = 1024
# Send buffer of a connection in the kernel. With 32 KiB an answer of 250 KB
# took 80 ms on a loopback address, with 48 KiB or more 1 ms.
_SEND_BUFFER_BYTES = 64 * 1024
# Interval between two looks for connections that have become idle.
_DRAIN_POLL_S = 0.02
_MS_PER_S = 1000


# Events of callers that are closed or refused because of a limit over all, or
# because they make no progress.
SHED_EVENTS = (
    'shed_connections',
    'shed_incomplete',
    'shed_bytes',
    'refused',
    'slow_headers',
    'slow_body',
    'unread',
)
_DEFAULT_TOTALS = TotalLimits()


def refuse_request() -> Response:
    """Return an answer that guarantees that nothing has run."""
    return Response(503, headers=((b'Retry-After', b'1'),))


class AsyncHttpServer:
    """Serves requests of one address on the running event loop."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ServerLimits] = ServerLimits,
        totals: TotalLimits = _DEFAULT_TOTALS,
        refuse: Callable[[], Response] = refuse_request,
        reject: Callable[[int], Response] = Response,
    ) -> None:
        """``refuse`` makes the answer to a request beyond the totals.

        ``reject`` makes the one to a request that can't be read, by status.
        """
        self.handler = handler
        self.limits = limits
        self.refuse = refuse
        self.reject = reject
        self.totals: CallerTotals[CallerConnection] = CallerTotals(totals)
        self.connections: set[CallerConnection] = set()
        # Callers that were shed or rejected, by event.
        self.events: Counter[str] = Counter()
        # Those that are not logged yet.
        self._new_events: Counter[str] = Counter()
        # Whether answers ask callers to connect anew.
        self.is_closing = False
        # Whether requests that were read are handled although their callers
        # have left without the answer.
        self.completes_requests = False
        self._completing: set[asyncio.Future[Response]] = set()
        self._address = address
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    def complete(self, request: IncomingRequest) -> None:
        """Handle a request whose caller has left."""
        handling = asyncio.ensure_future(self.handler(request))
        # The loop itself holds no reference that keeps it alive.
        self._completing.add(handling)
        handling.add_done_callback(self._completing.discard)

    @property
    def bound_address(self) -> str:
        """Host and port, with the port that was chosen for 0."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def count(self, event: str) -> None:
        """Count a caller that was shed or rejected."""
        self.events[event] += 1
        self._new_events[event] += 1

    def shed_excess(self) -> None:
        """Shed callers until all limits over all connections hold."""
        while True:
            excess = self.totals.find_excess()
            if excess is None:
                return
            connection, reason = excess
            # The kernel may have taken bytes meanwhile.
            if not connection.check_unsent():
                connection.shed(reason)

    def get_size_limits(self) -> tuple[int, int]:
        """Return the most bytes of headers and of a body."""
        limits = self.limits()
        return limits.max_header_bytes, limits.max_body_bytes

    async def start(self) -> None:
        """Listen; raises ``OSError`` if the address is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            sock=self._bind(),
            backlog=_BACKLOG,
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

    def _bind(self) -> socket.socket:
        host, _, port = self._address.rpartition(':')
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections inherit the sizes, which must be set before they open.
        for option, size in (
            (socket.SO_RCVBUF, self.totals.limits.receive_buffer_bytes),
            (socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
        ):
            listener.setsockopt(socket.SOL_SOCKET, option, size)
        try:
            listener.bind((host, int(port)))
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        return listener

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self._close_overdue()
            self._log_events()

    def _close_overdue(self) -> None:
        now = time.monotonic()
        limits = self.limits()
        timeout_ms = self.totals.limits.progress_timeout_ms
        for connection in tuple(self.connections):
            connection.check_unsent()
            overdue = connection.find_overdue(now, limits, timeout_ms)
            if overdue is not None:
                self.events[overdue] += 1
                connection.close()
        for unread in self.totals.list_unread(timeout_ms / _MS_PER_S):
            self.count('unread')
            unread.abort()
        self.shed_excess()

    def _log_events(self) -> None:
        """Log callers that were shed, at most one line for each look."""
        if self._new_events:
            _LOGGER.info(
                'Callers shed or rejected.',
                extra={
                    'address': self._address,
                    'connections': self.totals.connection_count,
                    'held_bytes': self.totals.held_bytes,
                    **self._new_events,
                },
            )
            self._new_events.clear()
