"""Backends of services, as the pages describe them."""

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field

from standins.http import Message, read_message
from standins.record import Record

_SIGNATURES = itertools.count(1)


@dataclass(frozen=True)
class Arrival:
    """A request that reached a backend."""

    at: float
    request_id: str
    path: str
    # Whether the backend began to work on it.
    ran: bool


@dataclass(eq=False)
class Backend:
    """A backend of one service; runs what names it, answers others with 421."""

    name: str
    service: str
    zone: str
    # Set before the start.
    record: Record = None  # type: ignore[assignment]
    work_s: float = 0.02
    slots: int = 6
    # Path prefix of requests that end the process, and how long it is down.
    crash_path: str = '\0'
    down_s: float = 3.0
    # Whether it says that it leaves in all its answers.
    is_leaving: bool = False
    has_ended: bool = False
    address: str = ''
    arrivals: list[Arrival] = field(default_factory=list)
    # Monotonic times at which it crashed.
    crashes: list[float] = field(default_factory=list)
    # Requests that were lost because another one ended the process.
    lost: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._running: dict[str, None] = {}

    async def start(self, host: str, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        taken = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{taken}'

    async def crash(self, cause: str) -> None:
        """End as a killed process does, and start again after a while."""
        self.crashes.append(time.monotonic())
        lost = [each for each in self._running if each != cause]
        self.lost.extend(lost)
        self.record.add(
            'crash', backend=self.name, request=cause, others=','.join(lost)
        )
        assert self._server is not None
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(self.down_s)
        host, _, port = self.address.rpartition(':')
        await self.start(host, int(port))
        self.record.add('back', backend=self.name)

    def end(self) -> None:
        """End for good, with no request under way or with it."""
        assert self._server is not None
        self.has_ended = True
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.record.add('ended', backend=self.name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
        except (EOFError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get('request-id', '')
        path = request.first_line.split(' ')[1]
        is_own = request.headers.get('target-instance', self.name) == self.name
        self.arrivals.append(
            Arrival(time.monotonic(), request_id, path, ran=is_own)
        )
        self.record.add(
            'ran' if is_own else 'rejected',
            backend=self.name,
            zone=self.zone,
            request=request_id,
            path=path,
        )
        if not is_own:
            await self._write(writer, '421 Misdirected', request_id, b'')
            return
        self._running[request_id] = None
        try:
            if path.startswith(self.crash_path):
                asyncio.ensure_future(self.crash(request_id))
                await asyncio.sleep(self.work_s)
                return
            await asyncio.sleep(self.work_s)
        finally:
            self._running.pop(request_id, None)
        await self._write(writer, '200 OK', request_id, bytes(range(64)))

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        request_id: str,
        body: bytes,
    ) -> None:
        lines = [
            f'HTTP/1.1 {status}',
            f'Request-Id: {request_id}',
            f'Content-Length: {len(body)}',
            f'Backend-Load: {len(self._running)},0,{self.slots}',
        ]
        if status.startswith('421'):
            lines.append('Not-Executed: 1')
        else:
            number = next(_SIGNATURES)
            lines.append(f'Backend-Signature: {self.name}.{number:x}')
        if self.is_leaving:
            lines.append('Server-Leaving: 1')
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        with contextlib.suppress(OSError):
            await writer.drain()
