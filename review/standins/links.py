"""Links between control members that can be cut."""

import asyncio
import contextlib
import re

from standins.record import Record

# Nodes state their address at the begin of their first message.
_ADDRESS = re.compile(rb'127\.[0-9.]+:[0-9]+')
_CHUNK_BYTES = 65536


class CoreLinks:
    """Forwards what nodes send to control members.

    While a member is cut off from the other ones, bytes between them are held
    back in both directions. All others, as entries, reach all members.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        # Hosts of all control members, and of those that are cut off.
        self._members: set[str] = set()
        self._cut: set[str] = set()
        self._changed = asyncio.Condition()

    async def add(self, host: str, port: int, target_port: int) -> None:
        """Forward connections of a member's port to another of its ports."""
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

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        port: int,
    ) -> None:
        try:
            inner, outer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.ensure_future(_copy(inner, writer))
        sender = ''
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if not sender and (match := _ADDRESS.search(chunk)):
                    sender = match[0].decode().partition(':')[0]
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: not self._is_cut(sender, host)
                    )
                outer.write(chunk)
                await outer.drain()
        except OSError:
            pass
        finally:
            back.cancel()
            outer.close()
            writer.close()

    def _is_cut(self, sender: str, receiver: str) -> bool:
        both = {sender, receiver}
        return both <= self._members and bool(both & self._cut)


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(_CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    writer.close()
