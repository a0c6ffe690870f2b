"""The platform's list of backends."""

import asyncio
import contextlib
import json
import time
from collections import deque
from collections.abc import Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.backends import Backend
from standins.http import read_message
from standins.record import Record

MAX_LAG_S = 0.8
RATE_PER_S = 50.0
# Time that a call takes.
CALL_S = 0.2
_PAGE = 50


class InstanceList:
    """Serves ``GET /instances`` with the lag, pages and rate of the pages."""

    def __init__(self, record: Record) -> None:
        self._record = record
        # Times and states of the list, oldest first.
        self._states: deque[tuple[float, list[Any]]] = deque()
        self._calls: deque[float] = deque()
        self.address = ''

    async def start(self, host: str) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f'{host}:{server.sockets[0].getsockname()[1]}'

    def publish(self, entries: Sequence[Any]) -> None:
        """Replace the list; it is seen after the lag."""
        now = time.monotonic()
        # The first list is there from the beginning.
        seen_from = now + MAX_LAG_S if self._states else now
        self._states.append((seen_from, list(entries)))
        self._record.add('listed', entries=len(entries))

    def _read(self) -> list[Any]:
        while len(self._states) > 1 and self._states[1][0] <= time.monotonic():
            self._states.popleft()
        return self._states[0][1] if self._states else []

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(EOFError, OSError):
            while True:
                request = await read_message(reader)
                status, body = self._answer(request.first_line.split(' ')[1])
                await asyncio.sleep(CALL_S)
                head = (
                    f'HTTP/1.1 {status}\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'
                )
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    def _answer(self, target: str) -> tuple[str, bytes]:
        now = time.monotonic()
        while self._calls and now - self._calls[0] > 1:
            self._calls.popleft()
        if len(self._calls) >= RATE_PER_S:
            return '429 Too Many Requests', b'{}'
        self._calls.append(now)
        query = parse_qs(urlsplit(target).query)
        start = int(query.get('PageToken', ['p-0'])[0].removeprefix('p-'))
        entries = self._read()
        end = start + _PAGE
        following = f'p-{end}' if end < len(entries) else None
        # Bytes are the entry of a writer that does not write JSON.
        items = [
            each if isinstance(each, bytes) else json.dumps(each).encode()
            for each in entries[start:end]
        ]
        token = json.dumps(following).encode()
        body = b'{"Instances":[%s],"NextToken":%s}' % (b','.join(items), token)
        return '200 OK', body


def make_entry(backend: Backend, **changes: Any) -> dict[str, Any]:
    """Return the entry of a backend."""
    entry = {
        'Id': backend.name,
        'Service': backend.service,
        'Address': backend.address,
        'Zone': backend.zone,
        'Version': 'v1',
        'Slots': backend.slots,
        'State': 'draining' if backend.is_leaving else 'ready',
        'WarmupLeftMs': 0,
    }
    return {**entry, **changes}
