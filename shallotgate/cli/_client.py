"""HTTP client for the caller and operator addresses."""

import secrets
import time
from dataclasses import dataclass
from typing import Any

import urllib3

from shallotgate.codec import CodecError, decode_json, encode_json
from shallotgate.errors import ShallotgateError

_CONNECT_TIMEOUT_S = 3
_ID_RANDOM_BYTES = 12
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


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
        self._pool = urllib3.PoolManager(retries=False)

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
        try:
            response = self._pool.request(
                method,
                self.url + path,
                body=None if body is None else encode_json(body),
                headers=self._headers,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S,
                    read=timeout_s or self._timeout_s,
                ),
            )
        except _CONNECT_ERRORS as error:
            raise ServerUnreachableError(f'{self.url}: {error}') from error
        except urllib3.exceptions.HTTPError as error:
            raise UnknownOutcomeError(f'{self.url}: {error}') from error
        return HttpReply(response.status, _decode(response.data))


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
