"""HTTP client whose exchanges are bounded in time and size.

A server in trouble may send bytes without end, slowly or fast, in any part of
a response. The timeouts of urllib3 and of the standard library apply to each
read, and they accept any number of interim responses. So both bounds are
applied where bytes are received.
"""

import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool

from shallotgate.errors import ShallotgateError
from shallotgate.http_client._response import StrictResponse

_BYTES_PER_MIB = 1024 * 1024
_MIN_TIMEOUT_S = 0.001
_CONNECT_TIMEOUT_S = 3.0
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)
# Statuses whose responses have no body and need no framing.
_BODILESS = frozenset((204, 304))


class HttpConnectError(ShallotgateError):
    """No connection could be opened, so nothing was sent."""


class HttpExchangeError(ShallotgateError):
    """The request was sent, but no complete response was received."""


@dataclass(frozen=True)
class ExchangeLimits:
    """Bounds of one request and its response."""

    timeout_s: float
    # All received bytes: heads, interim responses and the body.
    max_bytes: int = 8 * _BYTES_PER_MIB


class ExchangeMeter:
    """Bounds of the exchange in progress on one connection."""

    def __init__(self) -> None:
        self._deadline = float('inf')
        self._max_bytes = 0
        self._left_bytes = 0

    def begin(self, limits: ExchangeLimits) -> None:
        """Begin an exchange."""
        self._deadline = time.monotonic() + limits.timeout_s
        self._max_bytes = limits.max_bytes
        self._left_bytes = limits.max_bytes

    def get_timeout_s(self) -> float:
        """Return the time left; raises ``TimeoutError`` after the deadline."""
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the response is not complete at its deadline')
        return max(remaining_s, _MIN_TIMEOUT_S)

    def count(self, amount: int) -> None:
        """Count received bytes; raises ``OSError`` beyond the limit."""
        self._left_bytes -= amount
        if self._left_bytes < 0:
            raise OSError(f'the response exceeds {self._max_bytes} bytes')


class MeteredSocket(socket.socket):
    """Socket that applies the bounds of an exchange to each read.

    It takes over the file descriptor of another socket.
    """

    def __init__(self, inner: socket.socket, meter: ExchangeMeter) -> None:
        super().__init__(
            inner.family, inner.type, inner.proto, fileno=inner.detach()
        )
        self._meter = meter

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Receive bytes; raises ``OSError`` beyond a bound."""
        self.settimeout(self._meter.get_timeout_s())
        amount = super().recv_into(*args, **kwargs)
        self._meter.count(amount)
        return amount


@dataclass(frozen=True)
class HttpResponse:
    """Complete response of a server."""

    status: int
    body: bytes
    # Whether the server stated where the body ends. If it did not, a response
    # that was cut in its head or body looks complete.
    is_framed: bool


class HttpClient:
    """Sends requests and reads whole responses."""

    def __init__(self, limits: ExchangeLimits, reuse: bool = True) -> None:
        """``reuse`` keeps connections for further requests.

        A client that reuses connections is used on one thread.
        """
        self._limits = limits
        self._session = _Session() if reuse else None

    def close(self) -> None:
        """Close idle connections."""
        if self._session is not None:
            self._session.close()

    def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        limits: ExchangeLimits | None = None,
    ) -> HttpResponse:
        """Return the response; ``limits`` replace those of the client.

        Raises ``HttpConnectError`` if nothing was sent, else
        ``HttpExchangeError``.
        """
        session = self._session or _Session()
        try:
            response = session.request(
                method, url, body, headers or {}, limits or self._limits
            )
        except _CONNECT_ERRORS as error:
            raise HttpConnectError(f'{url}: {error}') from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise HttpExchangeError(f'{url}: {error}') from error
        finally:
            if self._session is None:
                session.close()
        return HttpResponse(
            response.status, response.data, _is_framed(response)
        )


class _Session:
    """Pool of connections that share the bounds of the current exchange."""

    def __init__(self) -> None:
        self._meter = ExchangeMeter()
        self._pool = urllib3.PoolManager(retries=False)
        # TLS connections are bounded by the timeouts of each read only.
        self._pool.pool_classes_by_scheme = {
            **self._pool.pool_classes_by_scheme,
            'http': _make_pool_class(self._meter),
            'https': _StrictHTTPSPool,
        }

    def close(self) -> None:
        self._pool.clear()

    def request(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: Mapping[str, str],
        limits: ExchangeLimits,
    ) -> urllib3.BaseHTTPResponse:
        self._meter.begin(limits)
        return self._pool.request(
            method,
            url,
            body=body,
            headers=headers,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(limits.timeout_s, _CONNECT_TIMEOUT_S),
                read=limits.timeout_s,
            ),
        )


class _StrictHTTPSConnection(HTTPSConnection):
    # Name of the standard library.
    response_class = StrictResponse


class _StrictHTTPSPool(HTTPSConnectionPool):
    # Name of urllib3.
    ConnectionCls = _StrictHTTPSConnection  # noqa: WPS115


def _make_pool_class(meter: ExchangeMeter) -> type[HTTPConnectionPool]:
    class MeteredConnection(HTTPConnection):  # noqa: WPS431
        # Name of the standard library.
        response_class = StrictResponse

        def connect(self) -> None:
            super().connect()
            if self.sock is not None:
                self.sock = MeteredSocket(self.sock, meter)

    class MeteredPool(HTTPConnectionPool):  # noqa: WPS431
        # Name of urllib3.
        ConnectionCls = MeteredConnection  # noqa: WPS115

    return MeteredPool


def _is_framed(response: urllib3.BaseHTTPResponse) -> bool:
    if response.status in _BODILESS:
        return True
    coding = response.headers.get('transfer-encoding', '')
    length = response.headers.get('content-length', '')
    return coding.lower() == 'chunked' or length.isdigit()
