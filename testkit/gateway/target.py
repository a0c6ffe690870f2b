"""Stand-in target that answers each request after a time."""

import asyncio
import random
from typing import cast

import httptools

_BODY_BYTES = 200


class StandInTarget(asyncio.Protocol):
    """One connection of a stand-in target."""

    def __init__(self, work_s: float) -> None:
        """Answer each request after ``work_s`` seconds."""
        self._work_s = work_s
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request_id = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note where to answer."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self._parser.feed_data(data)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Note the id of the request."""
        if name.lower() == b'request-id':
            self._request_id = text

    def on_message_complete(self) -> None:
        """Answer later."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._work_s, self._answer, self._request_id)

    def _answer(self, request_id: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        signature = b'%x' % random.getrandbits(64)  # noqa: S311
        head = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n'
            b'Backend-Signature: %s\r\nBackend-Load: 1,0,4\r\n'
            b'Content-Length: %d\r\n\r\n'
        ) % (request_id, signature, _BODY_BYTES)
        self._transport.write(head + random.randbytes(_BODY_BYTES))
