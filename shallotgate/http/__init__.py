"""HTTP servers over cheroot, and a client over urllib3."""

from shallotgate.http._client import (
    ExchangeLimits,
    ExchangeMeter,
    HttpClient,
    HttpConnectError,
    HttpExchangeError,
    HttpResponse,
    MeteredSocket,
)
from shallotgate.http._server import (
    Application,
    HttpServer,
    Request,
    Response,
    make_json_response,
)

__all__ = (
    'Application',
    'ExchangeLimits',
    'ExchangeMeter',
    'HttpClient',
    'HttpConnectError',
    'HttpExchangeError',
    'HttpResponse',
    'HttpServer',
    'MeteredSocket',
    'Request',
    'Response',
    'make_json_response',
)
