"""Simulated targets and connections to them."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotgate.aio import Headers, Reply, ReplyLimits
from shallotgate.errors import TargetConnectError, TargetLostError

_RECORD = b'%016d'
_RECORD_LIMIT = 10**9
_CONNECT_S = 0.001
_MS_PER_S = 1000
_PERCENT = 100
_SHED_STATUS = 503


@dataclass
class SimulatedTarget:
    """A target whose behaviour tests change while requests run."""

    name: str
    # Service time of one request in seconds.
    service_time_s: float = 0.01
    # Maximum number of requests processed concurrently.
    slots: int = 4
    # Lasting and present multiples of the service time; the second holds until
    # a loop time.
    speed: float = 1
    moment_factor: float = 2.5
    moment_until: float = 0
    # Whether replies state the load, with the present speed.
    is_load_reported: bool = False
    # Loop time until which replies are held back; processing then resumes.
    paused_until: float = 0
    # Whether it rejects all requests without running them.
    is_not_run: bool = False
    # Fraction of requests rejected without running them, 0 to 1.
    shed_ratio: float = 0
    # Requests a second that it takes from all entries, stated in each reply; 0
    # if it states none. It does not enforce the limit.
    limit_per_s: float = 0
    # Whether it states in each reply that it leaves.
    is_leaving: bool = False
    # Seconds for which it wants no request of an entry, stated in rejections; 0
    # if it states none.
    pause_s: float = 0
    # Whether it drops the connection instead of replying.
    drops_connection: bool = False
    # Id of the request that crashes the target; empty for none.
    crashing_request_id: bytes = b''
    # Seconds from a crash until the restart.
    restart_delay_s: float = 1
    # Number of crashes.
    crashes: int = 0
    # Whether it accepts connections.
    is_up: bool = True
    # Whether connection attempts time out instead of being refused.
    is_unresponsive: bool = False
    # Ids of requests received and of requests completed, and the loop times at
    # which requests were received.
    received_ids: list[bytes] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    completed_ids: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the semaphore that limits concurrency."""
        self._semaphore = asyncio.Semaphore(self.slots)
        self._running = 0
        self._waiting = 0

    @property
    def present_factor(self) -> float:
        """Present duration of work as a multiple of the service time."""
        if asyncio.get_running_loop().time() < self.moment_until:
            return self.speed * self.moment_factor
        return self.speed

    async def work(self, request_id: bytes) -> Reply:
        """Process a request and return the reply."""
        loop = asyncio.get_running_loop()
        self.received_ids.append(request_id)
        self.received_at.append(loop.time())
        if self.is_not_run or self._should_shed():
            return self._reply(_SHED_STATUS, (b'not-run', b'1'))
        if request_id == self.crashing_request_id:
            self._crash()
        crashes = self.crashes
        await self._process()
        if self.drops_connection or crashes != self.crashes:
            raise TargetLostError('lost')
        self.completed_ids.append(request_id)
        signature = b'%s.%s' % (self.name.encode(), request_id)
        body = _RECORD % random.randrange(_RECORD_LIMIT)  # noqa: S311
        return self._reply(200, (b'signature', signature), body)

    async def _process(self) -> None:
        loop = asyncio.get_running_loop()
        self._waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self.service_time_s * self.present_factor)
            await asyncio.sleep(max(self.paused_until - loop.time(), 0))
        finally:
            self._running -= 1
            self._semaphore.release()

    def _reply(
        self, status: int, header: tuple[bytes, bytes], body: bytes = b''
    ) -> Reply:
        headers = [header]
        if self.is_load_reported:
            headers.append((b'load', self._describe_load()))
        if self.limit_per_s:
            headers.append((b'limit', b'%f' % self.limit_per_s))
        if self.is_leaving:
            headers.append((b'leaving', b'1'))
        if self.pause_s and status == _SHED_STATUS:
            headers.append((b'pause', b'%f' % self.pause_s))
        return Reply(status, headers, body)

    def _describe_load(self) -> bytes:
        return b'%d,%d,%d,%d' % (
            self._running,
            self._waiting,
            self.slots,
            round(self.present_factor * _PERCENT),
        )

    def _crash(self) -> None:
        """Go down for a while; requests in progress are lost."""
        self.crashes += 1
        self.is_up = False
        loop = asyncio.get_running_loop()
        loop.call_later(self.restart_delay_s, self._restart)
        raise TargetLostError('crashed')

    def _restart(self) -> None:
        self.is_up = True

    def _should_shed(self) -> bool:
        return random.random() < self.shed_ratio  # noqa: S311 - no secret


class SimulatedConnection:
    """A connection to a simulated target."""

    keep_alive_until = float('inf')

    def __init__(
        self, target: SimulatedTarget, on_close: Callable[[], None]
    ) -> None:
        self._target = target
        self._on_close = on_close
        self._task: asyncio.Task[Reply] | None = None
        self.is_usable = True

    def send(
        self,
        request: bytes,
        matches_request: Callable[[Headers], bool],
        limits: ReplyLimits,
    ) -> 'asyncio.Future[Reply]':
        """Start processing a request at the target."""
        self._task = asyncio.ensure_future(self._target.work(request))
        waiter: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._task.add_done_callback(lambda task: _copy_result(task, waiter))
        return waiter

    def close(self) -> None:
        """Close the connection and cancel the request in progress."""
        if self.is_usable:
            self._on_close()
        self.is_usable = False
        if self._task is not None:
            self._task.cancel()


class SimulatedPool:
    """Connections to a simulated target; opening one takes ``_CONNECT_S``."""

    def __init__(self, target: SimulatedTarget) -> None:
        self._target = target
        self._idle: list[SimulatedConnection] = []
        self.size = 0

    @property
    def acquire_ms(self) -> float:
        """Expected time to acquire a connection, in milliseconds."""
        return 0 if self._idle else _CONNECT_S * _MS_PER_S

    def acquire_idle(self) -> SimulatedConnection | None:
        """Return an idle connection, or None."""
        return self._idle.pop() if self._idle else None

    async def open(self, timeout_s: float) -> SimulatedConnection:
        """Open a new connection."""
        await asyncio.sleep(
            timeout_s if self._target.is_unresponsive else _CONNECT_S
        )
        if self._target.is_unresponsive:
            raise TargetConnectError('timed out')
        if not self._target.is_up:
            raise TargetConnectError('refused')
        self.size += 1
        return SimulatedConnection(self._target, self._discard)

    def release(
        self, connection: SimulatedConnection, idle_timeout_s: float | None
    ) -> None:
        """Return a connection to the pool, for at most ``idle_timeout_s``."""
        if not connection.is_usable:
            return
        self._idle.append(connection)
        if idle_timeout_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(idle_timeout_s, self._close_idle, connection)

    def close(self) -> None:
        """Close the idle connections."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            connection.close()

    def _close_idle(self, connection: SimulatedConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
            connection.close()

    def _discard(self) -> None:
        self.size -= 1


def _copy_result(
    task: 'asyncio.Task[Reply]',
    waiter: 'asyncio.Future[Reply]',
) -> None:
    if waiter.done():
        return
    error = TargetLostError('closed') if task.cancelled() else task.exception()
    if error is None:
        waiter.set_result(task.result())
    else:
        waiter.set_exception(error)
