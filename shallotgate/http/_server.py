"""HTTP server whose requests are handled on worker threads."""

import asyncio
import threading
import time
from collections.abc import Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

import uvloop

from shallotgate import aio
from shallotgate.codec import encode_json
from shallotgate.http._messages import (
    Application,
    Response,
    decode_request,
    encode_response,
    make_json_response,
)
from shallotgate.logs import get_logger

_LOGGER = get_logger('http')
_SHUTDOWN_TIMEOUT_S = 30
# Longer than a balancer keeps an idle connection, so that it closes first.
_IDLE_TIMEOUT_MS = 75_000
# Request line and headers of one request.
_MAX_HEAD_BYTES = 64 * 1024
# Time to send the headers.
_HEADER_TIMEOUT_MS = 10_000
_DEFAULT_TOTALS = aio.TotalLimits(
    max_connections=512,
    max_incomplete=256,
    max_bytes=32 * 1024 * 1024,
)
_Result = TypeVar('_Result')


class HttpServer:
    """HTTP server with a fixed number of worker threads.

    Requests are read and answers are sent by one thread with an event loop,
    so that a slow caller occupies no worker.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        threads: int,
        max_body_bytes: int,
        totals: aio.TotalLimits = _DEFAULT_TOTALS,
    ) -> None:
        self._application = application
        limits = aio.ServerLimits(
            max_header_bytes=_MAX_HEAD_BYTES,
            max_body_bytes=max_body_bytes,
            header_timeout_ms=_HEADER_TIMEOUT_MS,
            idle_timeout_ms=_IDLE_TIMEOUT_MS,
        )
        self._workers = ThreadPoolExecutor(threads, 'http-worker')
        self._loop = uvloop.new_event_loop()
        self.server = aio.AsyncHttpServer(
            address,
            self._handle,
            lambda: limits,
            totals,
            refuse=_refuse,
            reject=lambda status: _reject(status, max_body_bytes),
        )
        # An operator's change is applied although its answer is not read.
        self.server.completes_requests = True
        self._thread = threading.Thread(
            target=self._serve, name='http', daemon=True
        )

    @property
    def address(self) -> str:
        """Return the bound address, with the port that was chosen for 0."""
        return self.server.bound_address

    def start(self) -> None:
        """Bind and serve; raises ``OSError`` if the address is taken."""
        self._thread.start()
        try:
            self._run(self.server.start())
        except OSError:
            self._end_loop()
            raise

    def stop(self) -> None:
        """Finish the requests that are being answered, then close."""
        if not self._thread.is_alive():
            return
        self._run(self._stop())
        self._end_loop()

    def _end_loop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=_SHUTDOWN_TIMEOUT_S)
        self._workers.shutdown(wait=False, cancel_futures=True)

    async def _stop(self) -> None:
        await self.server.drain(time.monotonic() + _SHUTDOWN_TIMEOUT_S)
        await self.server.stop()

    def _run(self, steps: Coroutine[Any, Any, _Result]) -> _Result:
        return asyncio.run_coroutine_threadsafe(steps, self._loop).result()

    def _serve(self) -> None:
        try:
            self._loop.run_forever()
        except Exception:
            _LOGGER.exception('The server ended.')
        finally:
            self._loop.close()

    async def _handle(self, incoming: aio.IncomingRequest) -> aio.Response:
        loop = asyncio.get_running_loop()
        answering = loop.run_in_executor(self._workers, self._answer, incoming)
        # Not cancelled with its caller's connection.
        return await asyncio.shield(answering)

    def _answer(self, incoming: aio.IncomingRequest) -> aio.Response:
        try:
            response = self._application.handle(decode_request(incoming))
        except Exception:
            _LOGGER.exception('A request failed.')
            response = make_json_response(500, {'outcome': 'failed'})
        return encode_response(response)


def _refuse() -> aio.Response:
    """Return the answer to a request beyond the limits over all callers."""
    return encode_response(
        Response(
            503,
            encode_json({'outcome': 'refused', 'reason': 'overload'}),
            headers={'Retry-After': '1'},
        )
    )


def _reject(status: int, max_body_bytes: int) -> aio.Response:
    """Return the answer to a request that can't be read."""
    if status == 413:  # noqa: WPS432
        reason = f'the body may have at most {max_body_bytes} bytes'
    else:
        reason = 'not a request, or its head is too large'
    fault = {
        'path': 'body' if status == 413 else 'head',  # noqa: WPS432
        'reason': reason,
    }
    return encode_response(
        make_json_response(status, {'outcome': 'refused', 'findings': [fault]})
    )
