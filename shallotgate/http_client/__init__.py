"""HTTP client over urllib3 whose every exchange is bounded."""

from shallotgate.http_client._client import (
    ExchangeLimits,
    ExchangeMeter,
    HttpClient,
    HttpConnectError,
    HttpExchangeError,
    HttpResponse,
    MeteredSocket,
)
from shallotgate.http_client._response import StrictResponse

__all__ = (
    'ExchangeLimits',
    'ExchangeMeter',
    'HttpClient',
    'HttpConnectError',
    'HttpExchangeError',
    'HttpResponse',
    'MeteredSocket',
    'StrictResponse',
)
