"""HTTP servers over cheroot."""

from shallotgate.http._server import (
    Application,
    HttpServer,
    Request,
    Response,
    make_json_response,
)

__all__ = (
    'Application',
    'HttpServer',
    'Request',
    'Response',
    'make_json_response',
)
