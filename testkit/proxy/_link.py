"""One link of the proxy; runs on the loop of the proxy."""

import asyncio
import socket
import struct

from testkit.proxy._faults import Fault

_CHUNK_BYTES = 65536
_QUEUED_CHUNKS = 64
_MS_PER_S = 1000
# Closing with this option sends a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

_Chunks = asyncio.Queue[tuple[float, bytes]]


class Link:
    """A listening port that forwards to an address, with a fault."""

    def __init__(self, upstream: str, resting: Fault) -> None:
        host, _, port = upstream.rpartition(':')
        self.upstream = (host, int(port))
        # Fault that remains when the link is healed, say its latency.
        self.resting = resting
        self.fault = resting
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> str:
        """Listen and return the address with the chosen port."""
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept,
            host,
            int(port),
        )
        bound = self._server.sockets[0].getsockname()
        return f'{bound[0]}:{bound[1]}'

    async def apply(self, fault: Fault) -> None:
        """Change the fault.

        A connection that lost bytes can't go on once the link carries bytes
        again: its ends would read from the middle of a message. It is reset.
        """
        self.fault = fault
        dropping = fault.drop_forward or fault.drop_backward
        for connection in tuple(self._connections):
            if fault.reset or (connection.lossy and not dropping):
                connection.abort()

    async def silence(self) -> None:
        """Swallow all further bytes of the open connections, without a reset.

        New connections are not affected.
        """
        for connection in self._connections:
            connection.is_silent = True

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = _Connection(self, reader, writer)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            connection.abort()
            self._connections.discard(connection)


class _Connection:
    """A connection through a link."""

    def __init__(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.lossy = False
        # Whether it carries no more bytes, although it stays open.
        self.is_silent = False
        self._link = link
        self._reader = reader
        self._writers = [writer]
        self._aborted = asyncio.Event()

    def abort(self) -> None:
        """Reset both ends."""
        self._aborted.set()
        for writer in self._writers:
            raw = writer.get_extra_info('socket')
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    _RESET_ON_CLOSE,
                )
            writer.transport.abort()

    async def run(self) -> None:
        """Forward in both directions until both ends are closed."""
        if self._link.fault.reset:
            return
        work = asyncio.ensure_future(self._forward())
        ending = asyncio.ensure_future(self._aborted.wait())
        await asyncio.wait((work, ending), return_when=asyncio.FIRST_COMPLETED)
        for task in (work, ending):
            task.cancel()
        await asyncio.gather(work, ending, return_exceptions=True)

    async def _forward(self) -> None:
        if self._link.fault.drop_forward:
            # A cut link would not have let the connection through.
            self.lossy = True
            await self._reader.read(-1)
            await self._aborted.wait()
        reader, writer = await asyncio.open_connection(*self._link.upstream)
        self._writers.append(writer)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(self._reader, writer, forward=True))
            group.create_task(
                self._pump(reader, self._writers[0], forward=False),
            )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        forward: bool,
    ) -> None:
        chunks: _Chunks = asyncio.Queue(_QUEUED_CHUNKS)
        sending = asyncio.ensure_future(
            self._send(chunks, writer, forward=forward),
        )
        try:
            await self._receive(reader, chunks, forward=forward)
            await sending
        finally:
            sending.cancel()

    async def _receive(
        self,
        reader: asyncio.StreamReader,
        chunks: _Chunks,
        *,
        forward: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'more'
        while chunk:
            try:
                chunk = await reader.read(_CHUNK_BYTES)
            except ConnectionError:
                if not self._drops(forward=forward):
                    raise
                chunk = b''
            if self._drops(forward=forward):
                continue
            delay_s = self._link.fault.delay_ms / _MS_PER_S
            await chunks.put((loop.time() + delay_s, chunk))

    async def _send(
        self,
        chunks: _Chunks,
        writer: asyncio.StreamWriter,
        *,
        forward: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await chunks.get()
            await asyncio.sleep(due - loop.time())
            if self._drops(forward=forward):
                continue
            if chunk:
                writer.write(chunk)
                await writer.drain()
            else:
                writer.write_eof()
                return
            rate = self._link.fault.bytes_per_s
            if rate:
                await asyncio.sleep(len(chunk) / rate)

    def _drops(self, *, forward: bool) -> bool:
        """Return whether bytes in a direction are swallowed now."""
        if self.is_silent:
            return True
        is_dropped = self._link.fault.drops(forward=forward)
        self.lossy = self.lossy or is_dropped
        return is_dropped
