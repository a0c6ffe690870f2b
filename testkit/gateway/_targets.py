"""Simulated targets and the links to them."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotgate.aio import Headers, Reply
from shallotgate.errors import TargetConnectError, TargetLostError

_RECORD = b'%016d'
_RECORD_LIMIT = 10**9
_CONNECT_S = 0.001
_MS_PER_S = 1000
_SHED_STATUS = 503


@dataclass
class SimulatedTarget:
    """Behaviour of one target; tests change it while requests run."""

    name: str
    # Seconds of work for one request.
    service_time_s: float = 0.01
    # Requests that it works on at a time.
    slots: int = 4
    # Time of the loop until which it answers nothing; then it goes on.
    paused_until: float = 0
    # Whether it turns requests away without running them.
    is_not_run: bool = False
    # Share of the requests that it turns away, 0 to 1.
    shed_ratio: float = 0
    # Whether it breaks the connection instead of answering.
    drops_connection: bool = False
    # Request that crashes it as soon as it works on it; empty for none.
    crashing_request_id: bytes = b''
    # Seconds for which it is down after a crash.
    restart_delay_s: float = 1
    # How often it crashed.
    crashes: int = 0
    # Whether connections can be opened.
    is_up: bool = True
    # Whether it answers nothing at all, not even the opening of a connection.
    is_unresponsive: bool = False
    # Ids of the requests that arrived, and of those that it finished.
    received_ids: list[bytes] = field(default_factory=list)
    completed_ids: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the slots."""
        self._gate = asyncio.Semaphore(self.slots)

    async def work(self, request_id: bytes) -> Reply:
        """Work on a request and answer it."""
        loop = asyncio.get_running_loop()
        self.received_ids.append(request_id)
        if self.is_not_run or self._sheds():
            return Reply(_SHED_STATUS, [(b'not-run', b'1')], b'')
        if request_id == self.crashing_request_id:
            self._crash()
        crashes = self.crashes
        async with self._gate:
            await asyncio.sleep(self.service_time_s)
            await asyncio.sleep(max(self.paused_until - loop.time(), 0))
        if self.drops_connection or crashes != self.crashes:
            raise TargetLostError('lost')
        self.completed_ids.append(request_id)
        signature = b'%s.%s' % (self.name.encode(), request_id)
        body = _RECORD % random.randrange(_RECORD_LIMIT)  # noqa: S311
        return Reply(200, [(b'signature', signature)], body)

    def _crash(self) -> None:
        """Be down for a while; what it works on is lost."""
        self.crashes += 1
        self.is_up = False
        loop = asyncio.get_running_loop()
        loop.call_later(self.restart_delay_s, self._start_again)
        raise TargetLostError('crashed')

    def _start_again(self) -> None:
        self.is_up = True

    def _sheds(self) -> bool:
        return random.random() < self.shed_ratio  # noqa: S311 - no secret


class SimulatedLink:
    """A connection to a simulated target."""

    keep_alive_until = float('inf')

    def __init__(self, target: SimulatedTarget) -> None:
        self._target = target
        self._task: asyncio.Task[Reply] | None = None
        self.is_usable = True

    def send(
        self,
        request: bytes,
        matches_request: Callable[[Headers], bool],
    ) -> 'asyncio.Future[Reply]':
        """Let the target work on a request."""
        self._task = asyncio.ensure_future(self._target.work(request))
        waiter: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._task.add_done_callback(lambda task: _copy(task, waiter))
        return waiter

    def close(self) -> None:
        """Cancel the work."""
        self.is_usable = False
        if self._task is not None:
            self._task.cancel()


class SimulatedPool:
    """Links to a simulated target; each takes a while to open."""

    def __init__(self, target: SimulatedTarget) -> None:
        self._target = target
        self._idle: list[SimulatedLink] = []
        self.size = 0

    @property
    def acquire_ms(self) -> float:
        """Time until a request can be sent, in milliseconds."""
        return 0 if self._idle else _CONNECT_S * _MS_PER_S

    def acquire_idle(self) -> SimulatedLink | None:
        """Return an idle link, None without one."""
        return self._idle.pop() if self._idle else None

    async def open(self, timeout_s: float) -> SimulatedLink:
        """Open a link."""
        await asyncio.sleep(
            timeout_s if self._target.is_unresponsive else _CONNECT_S
        )
        if self._target.is_unresponsive:
            raise TargetConnectError('timed out')
        if not self._target.is_up:
            raise TargetConnectError('refused')
        self.size += 1
        return SimulatedLink(self._target)

    def release(
        self, link: SimulatedLink, idle_timeout_s: float | None
    ) -> None:
        """Keep a link, at most for a time."""
        if not link.is_usable:
            return
        self._idle.append(link)
        if idle_timeout_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(idle_timeout_s, self._close_idle, link)

    def close(self) -> None:
        """Forget the links."""
        self._idle.clear()

    def _close_idle(self, link: SimulatedLink) -> None:
        if link in self._idle:
            self._idle.remove(link)
            self.size -= 1


def _copy(
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
