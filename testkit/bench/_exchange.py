"""HTTP/1.1 exchanges of a sender over connections that stay open."""

import asyncio
import io
from collections import defaultdict
from dataclasses import dataclass
from http.client import HTTPException, parse_headers

_END_OF_HEAD = b'\r\n\r\n'
# What an exchange without an answer raises.
EXCHANGE_ERRORS = (
    OSError,
    EOFError,
    HTTPException,
    ValueError,
    asyncio.LimitOverrunError,
)


@dataclass(frozen=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class ConnectionPool:
    """Idle connections by address; a busy address gets a new one.

    There is no limit: a query never waits for another to end.
    """

    def __init__(self) -> None:
        self._idle: defaultdict[str, list[_Link]] = defaultdict(list)

    async def post(
        self,
        address: str,
        head: str,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        """Send a request and return the body of the answer.

        ``head`` is the request line and the headers but for the length.
        Raises one of ``EXCHANGE_ERRORS``.
        """
        async with asyncio.timeout(timeout_s):
            link = await self._open(address)
            try:
                answer, is_kept = await _exchange(link, head, body)
            except BaseException:
                link.writer.close()
                raise
        if is_kept:
            self._idle[address].append(link)
        else:
            link.writer.close()
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for links in self._idle.values():
            for link in links:
                link.writer.close()
        self._idle.clear()

    async def _open(self, address: str) -> _Link:
        idle = self._idle[address]
        while idle:
            link = idle.pop()
            if not link.reader.at_eof() and not link.writer.is_closing():
                return link
            link.writer.close()
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return _Link(reader, writer)


async def _exchange(link: _Link, head: str, body: bytes) -> tuple[bytes, bool]:
    """Return the body of the answer and whether the link stays open."""
    sent_head = f'{head}\r\nContent-Length: {len(body)}\r\n\r\n'
    link.writer.write(sent_head.encode() + body)
    received = io.BytesIO(await link.reader.readuntil(_END_OF_HEAD))
    received.readline()
    headers = parse_headers(received)
    length = headers.get('Content-Length')
    if length is None:
        raise ValueError('answer without Content-Length')
    answer = await link.reader.readexactly(int(length))
    return answer, headers.get('Connection', '').lower() != 'close'
