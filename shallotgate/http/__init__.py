"""HTTP servers of applications that block their thread."""

from shallotgate.http._messages import (
    Application,
    Request,
    Response,
    make_json_response,
)
from shallotgate.http._server import HttpServer

__all__ = (
    'Application',
    'HttpServer',
    'Request',
    'Response',
    'make_json_response',
)
