"""Links between nodes that can be cut or fall silent."""

import asyncio
import re

from standins.record import Record

# Nodes state their address at the begin of their first message.
_ADDRESS = re.compile(rb'127\.[0-9.]+:[0-9]+')
_CHUNK_BYTES = 65536


class Links:
    """Forwards what nodes send to each other.

    While a member of control is cut off from the other ones, bytes between them
    are held back in both directions; all others, as entries, reach it. Open
    connections that fall silent carry nothing any more and are not closed,
    while new ones work.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        # Hosts of all control members, and of those that are cut off.
        self._members: set[str] = set()
        self._cut: set[str] = set()
        self._changed = asyncio.Condition()
        # Connections opened before the last silence carry nothing.
        self._generation = 0
        # Never set; refers to what waits for it, which is not collected so.
        self._end = asyncio.Event()

    async def add(
        self, host: str, port: int, target_port: int, *, is_member: bool
    ) -> None:
        """Forward connections of a node's port to another of its ports."""
        if is_member:
            self._members.add(host)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._forward(reader, writer, host, target_port)

        await asyncio.start_server(serve, host, port)

    async def cut_off(self, host: str, seconds: float) -> None:
        """Cut a member off from the other members for some time."""
        self._record.add('cut', host=host)
        self._cut.add(host)
        await asyncio.sleep(seconds)
        self._cut.discard(host)
        async with self._changed:
            self._changed.notify_all()
        self._record.add('joined', host=host)

    def silence(self) -> None:
        """Let all connections that are open now fall silent for good."""
        self._generation += 1
        self._record.add('silence')

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        port: int,
    ) -> None:
        generation = self._generation
        try:
            inner, outer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.ensure_future(self._copy(inner, writer, generation))
        sender = ''
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if not sender and (match := _ADDRESS.search(chunk)):
                    sender = match[0].decode().partition(':')[0]
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: not self._is_cut(sender, host)
                    )
                if generation == self._generation:
                    outer.write(chunk)
                    await outer.drain()
        except OSError:
            pass
        await self._stay_silent(generation)
        back.cancel()
        outer.close()
        writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if generation == self._generation:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            pass
        await self._stay_silent(generation)
        writer.close()

    async def _stay_silent(self, generation: int) -> None:
        """Hide the end of a silent connection from the other side."""
        if generation != self._generation:
            await self._end.wait()

    def _is_cut(self, sender: str, receiver: str) -> bool:
        both = {sender, receiver}
        return both <= self._members and bool(both & self._cut)
