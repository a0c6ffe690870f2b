"""HTTP client for the caller and operator addresses."""

import secrets
import time
from dataclasses import dataclass
from typing import Any

from shallotgate import http_client
from shallotgate.codec import CodecError, decode_json, encode_json
from shallotgate.errors import ShallotgateError

_ID_RANDOM_BYTES = 12
_MAX_RESPONSE_BYTES = 256 * 1024 * 1024


class ServerUnreachableError(ShallotgateError):
    """No connection could be opened, so nothing was sent."""


class UnknownOutcomeError(ShallotgateError):
    """The request was sent, but no complete response was received."""


@dataclass(frozen=True)
class HttpReply:
    """Status and decoded content of a response."""

    status: int
    # Decoded JSON, or the text if the body is not JSON.
    content: Any


class HttpClient:
    """Calls one address with a new connection for each request.

    On a reused connection that the server has just closed, a request that was
    never read could not be told from one with an unknown outcome.
    """

    def __init__(self, url: str, token: str, timeout_s: float = 30) -> None:
        scheme = '' if '://' in url else 'http://'
        self.url = f'{scheme}{url}'.rstrip('/') if url else ''
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Content-Type': 'application/json',
            'Connection': 'close',
        }
        self._timeout_s = timeout_s
        self._http = http_client.HttpClient(
            http_client.ExchangeLimits(timeout_s, _MAX_RESPONSE_BYTES),
            reuse=False,
        )

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = 0,
    ) -> HttpReply:
        """Send a request and return the response.

        Raises ``ServerUnreachableError`` if nothing was sent and
        ``UnknownOutcomeError`` if the response is missing or incomplete.
        """
        if not self.url:
            raise ServerUnreachableError(
                'no address given; use --url or SHALLOTGATE_URL'
            )
        response = self._exchange(
            method,
            self.url + path,
            None if body is None else encode_json(body),
            timeout_s or self._timeout_s,
        )
        if not response.is_framed:
            # urllib3 accepts a head that ends early as complete.
            raise UnknownOutcomeError(
                f'{self.url}: the head of the response is incomplete'
            )
        return HttpReply(response.status, _decode(response.body))

    def _exchange(
        self, method: str, url: str, body: bytes | None, timeout_s: float
    ) -> http_client.HttpResponse:
        limits = http_client.ExchangeLimits(timeout_s, _MAX_RESPONSE_BYTES)
        try:
            return self._http.request(method, url, body, self._headers, limits)
        except http_client.HttpConnectError as error:
            raise ServerUnreachableError(str(error)) from error
        except http_client.HttpExchangeError as error:
            raise UnknownOutcomeError(str(error)) from error


def make_timestamped_id() -> str:
    """Return a new id in the format of change ids and idempotency keys.

    >>> len(make_timestamped_id())
    41
    """
    stamp = time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())
    return f'{stamp}-{secrets.token_hex(_ID_RANDOM_BYTES)}'


def _decode(encoded: bytes) -> Any:
    try:
        return decode_json(encoded, object)
    except CodecError:
        return encoded.decode(errors='replace')
