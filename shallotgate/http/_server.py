"""Small layer over cheroot: routes, requests and responses."""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Protocol
from urllib.parse import parse_qs

from cheroot import wsgi

from shallotgate.codec import encode_json
from shallotgate.logs import get_logger

_LOGGER = get_logger('http')
_SHUTDOWN_TIMEOUT_S = 30
_QUEUE_SIZE = 256
# Longer than a balancer keeps an idle connection, so that it closes first.
_IDLE_TIMEOUT_S = 75
# Request line and headers of one request.
_MAX_HEAD_BYTES = 64 * 1024
_REASONS = MappingProxyType(
    {
        200: 'OK',
        400: 'Bad Request',
        401: 'Unauthorized',
        403: 'Forbidden',
        404: 'Not Found',
        405: 'Method Not Allowed',
        409: 'Conflict',
        413: 'Content Too Large',
        422: 'Unprocessable Content',
        429: 'Too Many Requests',
        500: 'Internal Server Error',
        502: 'Bad Gateway',
        503: 'Service Unavailable',
        504: 'Gateway Timeout',
    }
)


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


StartResponse = Callable[[str, list[tuple[str, str]]], object]


class HttpServer:
    """HTTP server with a fixed number of worker threads."""

    def __init__(
        self,
        address: str,
        application: Application,
        threads: int,
        max_body_bytes: int,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._application = application
        self._max_body_bytes = max_body_bytes
        self._server = wsgi.Server(
            (host, int(port)),
            self._answer,
            numthreads=threads,
            request_queue_size=_QUEUE_SIZE,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
            timeout=_IDLE_TIMEOUT_S,
        )
        self._server.max_request_header_size = _MAX_HEAD_BYTES
        self._server.error_log = self._log_error  # type: ignore[method-assign]
        self._thread = threading.Thread(
            target=self._serve,
            name=f'http-{port}',
            daemon=True,
        )

    @property
    def address(self) -> str:
        """Return the bound address, with the port that was chosen for 0."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Bind and serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Finish the requests that are being answered, then close."""
        self._server.stop()
        self._thread.join(timeout=_SHUTDOWN_TIMEOUT_S)

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception:
            _LOGGER.exception('The server ended.')

    def _log_error(
        self,
        msg: str = '',
        level: int = 20,
        traceback: bool = False,
    ) -> None:
        _LOGGER.log(level, 'cheroot: %s', msg, exc_info=traceback)

    def _answer(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        response = self._handle(environ)
        phrase = _REASONS.get(response.status, 'Unknown')
        start_response(
            f'{response.status} {phrase}',
            [
                ('Content-Type', response.content_type),
                ('Content-Length', str(len(response.body))),
                *response.headers.items(),
            ],
        )
        return [response.body]

    def _handle(self, environ: dict[str, Any]) -> Response:
        length = environ.get('CONTENT_LENGTH') or '0'
        if not length.isdigit() or int(length) > self._max_body_bytes:
            reason = f'the body may have at most {self._max_body_bytes} bytes'
            # The unread body would be taken for the next request.
            return Response(
                413,
                encode_json(
                    {
                        'outcome': 'refused',
                        'findings': [{'path': 'body', 'reason': reason}],
                    }
                ),
                headers={'Connection': 'close'},
            )
        try:
            return self._application.handle(_read_request(environ, int(length)))
        except Exception:
            _LOGGER.exception('A request failed.')
            return make_json_response(500, {'outcome': 'failed'})


def _read_request(environ: dict[str, Any], length: int) -> Request:
    authorization = environ.get('HTTP_AUTHORIZATION', '')
    scheme, _, token = authorization.partition(' ')
    parsed = parse_qs(environ.get('QUERY_STRING', ''))
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        parameters={name: texts[0] for name, texts in parsed.items()},
        bearer=token.strip() if scheme.lower() == 'bearer' else '',
        body=environ['wsgi.input'].read(length) if length else b'',
    )
