"""A small HTTP/1.1 client and the reading of messages."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Message:
    """First line, headers in lower case and body of a message."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message that has a length; raises ``IncompleteReadError``."""
    head = await reader.readuntil(b'\r\n\r\n')
    first_line, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', '0'))
    return Message(first_line, headers, await reader.readexactly(length))


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body or method in {'POST', 'PUT'}:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def exchange(
    address: str, request: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new connection; None without a whole response."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            return await read_message(reader)
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()
