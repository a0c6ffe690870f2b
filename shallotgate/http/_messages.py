"""Requests and responses of an application."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import parse_qs, unquote

from shallotgate import aio
from shallotgate.codec import encode_json


@dataclass(frozen=True)
class Request:
    """A received HTTP request whose body was read."""

    method: str
    path: str
    # First value of each query parameter.
    parameters: Mapping[str, str]
    # Bearer token, or empty.
    bearer: str
    body: bytes


@dataclass(frozen=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: Mapping[str, str] = field(default_factory=dict)


def make_json_response(status: int, content: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, encode_json(content))


class Application(Protocol):
    """Answers requests; called on many threads at once."""

    def handle(self, request: Request) -> Response:
        """Return the response to a request."""


def decode_request(incoming: aio.IncomingRequest) -> Request:
    """Return a request as applications take it.

    >>> request = decode_request(aio.IncomingRequest(
    ...     b'GET', b'/a%20b?c=1', [(b'Authorization', b'Bearer key')], b'', 0
    ... ))
    >>> request.path, request.parameters, request.bearer
    ('/a b', {'c': '1'}, 'key')
    """
    path, _, query = incoming.path.decode('latin-1').partition('?')
    authorization = incoming.read_header(b'authorization') or b''
    scheme, _, token = authorization.decode('latin-1').partition(' ')
    parsed = parse_qs(query)
    return Request(
        method=incoming.method.decode('latin-1'),
        path=unquote(path),
        parameters={name: texts[0] for name, texts in parsed.items()},
        bearer=token.strip() if scheme.lower() == 'bearer' else '',
        body=incoming.body,
    )


def encode_response(response: Response) -> aio.Response:
    """Return a response as the server sends it."""
    headers = (
        ('Content-Type', response.content_type),
        *response.headers.items(),
    )
    return aio.Response(
        response.status,
        response.body,
        tuple(
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in headers
        ),
    )
