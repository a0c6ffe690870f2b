"""Target protocol over HTTP; see ``docs/target-protocol.md``."""

import functools
import socket
import threading
import time
from collections.abc import Sequence
from http import client as http_client
from typing import Annotated, Literal

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from shallotgate.codec import DECODE_ERRORS
from shallotgate.errors import (
    TargetConnectError,
    TargetError,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt, TargetVersion
from shallotgate.http_client import (
    ExchangeLimits,
    ExchangeMeter,
    MeteredSocket,
    StrictResponse,
)
from shallotgate.targets._connector import TargetReply, TargetReport

MAX_REPLY_BYTES = 8 * 1024 * 1024
# Everything but the body of a reply: status line, headers, interim replies.
_MAX_HEAD_BYTES = 64 * 1024
_MS_PER_S = 1000
# Reads return whatever has arrived, so that the deadline is checked between
# the chunks of a slow reply.
_READ_CHUNK_BYTES = 64 * 1024
_MIN_TIMEOUT_S = 0.001
_VERSION_CACHE_SIZE = 1024

# Numbers that are sent on to other instances.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Status = Literal['ok', 'shed', 'draining', 'wrong_version', 'late', 'failed']


class _Run(msgspec.Struct, frozen=True):
    attempt_id: str
    request_id: str
    index_version: int
    partition: int
    limit: int
    deadline_ms: float
    once_only: bool
    query: msgspec.Raw


class _Match(msgspec.Struct, frozen=True):
    id: str
    score: float
    partition: int
    version: int


class _Report(msgspec.Struct, frozen=True):
    start_id: str
    uptime_ms: float
    draining: bool
    busy: _Count
    versions: msgspec.Raw


class _Version(msgspec.Struct, frozen=True):
    index_version: _Count
    partitions: _Count
    held: tuple[_Count, ...]


class _Reply(msgspec.Struct, frozen=True):
    attempt_id: str
    status: _Status
    index_version: int
    partition: int
    matches: msgspec.Raw
    truncated: bool
    covered: bool
    target: _Report


_ENCODER = msgspec.json.Encoder()
_REPLY_DECODER = msgspec.json.Decoder(_Reply)
_REPORT_DECODER = msgspec.json.Decoder(_Report)
_MATCHES_DECODER = msgspec.json.Decoder(list[_Match])
_VERSIONS_DECODER = msgspec.json.Decoder(tuple[_Version, ...])


class HttpTargetConnector:
    """Opens HTTP connections to targets."""

    def connect(self, target: Target, timeout_s: float) -> 'HttpConnection':
        """Connect and read the report on the new connection."""
        host, _, port = target.address.rpartition(':')
        connection = HttpConnection(host, int(port))
        try:
            connection.open(timeout_s)
        except TargetError:
            connection.close()
            raise
        return connection


class _MinimalHTTPConnection(HTTPConnection):
    """urllib3 connection with a reduced code path for small requests.

    ``request`` and ``getresponse`` of urllib3 take 240 microseconds of CPU per
    attempt, this path takes 105: it skips header preparation and the response
    wrapper, which small JSON replies don't need.
    """

    # Name of the standard library.
    response_class = StrictResponse

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.meter = ExchangeMeter()
        # Parts of the request that is being assembled.
        self._request_parts: list[bytes] = []

    def connect(self) -> None:
        """Connect; the reads of each exchange are bounded."""
        super().connect()
        if self.sock is not None:
            self.sock = MeteredSocket(self.sock, self.meter)

    def prepare_request(self, method: str, path: str, body: bytes) -> None:
        """Assemble a request."""
        self._request_parts.clear()
        self.putrequest(method, path, skip_accept_encoding=True)
        self.putheader('Content-Type', 'application/json')
        self.putheader('Content-Length', str(len(body)))
        self.endheaders(body or None)

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Buffer a part of the request until it is complete."""
        self._request_parts.append(data)

    def send_request(self) -> None:
        """Send the whole request in one write.

        Otherwise, if this process were suspended between two writes, the
        target could receive the rest of a request long after its deadline.
        """
        if self.sock is None:
            raise TargetLostError('connection closed')
        self.sock.sendall(b''.join(self._request_parts))

    def read_response_head(self) -> http_client.HTTPResponse:
        """Read the status line and the headers."""
        return http_client.HTTPConnection.getresponse(self)

    def set_timeout(self, timeout_s: float) -> None:
        """Set the timeout of each further socket operation."""
        if self.sock is None:
            raise TargetLostError('connection closed')
        self.sock.settimeout(max(timeout_s, _MIN_TIMEOUT_S))


class HttpConnection:
    """One keep-alive connection to a target."""

    def __init__(self, host: str, port: int) -> None:
        self._connection = _MinimalHTTPConnection(host, port)
        self._report: TargetReport | None = None
        self._lock = threading.Lock()
        self._is_in_use = False
        self._is_closed = False
        # Monotonic deadline of the exchange in progress.
        self._deadline = float(0)

    @property
    def report(self) -> TargetReport:
        """Report that was read when the connection was opened."""
        if self._report is None:
            raise TargetProtocolError('no report was read yet')
        return self._report

    def open(self, timeout_s: float) -> None:
        """Connect and read the report."""
        deadline = time.monotonic() + timeout_s
        self._connection.timeout = timeout_s
        try:
            self._connection.connect()
        except (HTTPError, OSError) as error:
            # The message of urllib3's error begins with the repr of the
            # connection.
            reason = error.__cause__ or error
            raise TargetConnectError(f'cannot connect: {reason}') from error
        self._report = self.read_report(deadline - time.monotonic())

    def run(self, attempt: Attempt, timeout_s: float) -> TargetReply:
        """Send an attempt and return the validated reply."""
        body = _ENCODER.encode(
            _Run(
                attempt_id=attempt.attempt_id,
                request_id=attempt.request_id,
                index_version=attempt.index_version,
                partition=attempt.partition,
                limit=attempt.limit,
                deadline_ms=timeout_s * _MS_PER_S,
                once_only=attempt.once_only,
                query=msgspec.Raw(attempt.body),
            )
        )
        content = self._exchange('POST', '/v1/run', body, timeout_s)
        return _read_reply(content, attempt)

    def read_report(self, timeout_s: float) -> TargetReport:
        """Request the status report of the target."""
        return _read_report(self._exchange('GET', '/v1/status', b'', timeout_s))

    def close(self) -> None:
        """Close the connection; an exchange in progress fails."""
        with self._lock:
            self._is_closed = True
            if not self._is_in_use:
                self._connection.close()
                return
            # The thread that uses the socket closes it afterwards.
            self._shut_down_socket()

    def _shut_down_socket(self) -> None:
        if self._connection.sock is None:
            return
        try:
            self._connection.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has already closed the connection.
            return

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        self._deadline = time.monotonic() + timeout_s
        with self._lock:
            # An idle connection that is readable was closed by the target;
            # nothing may be sent on it.
            if self._is_closed or not self._connection.is_connected:
                raise TargetConnectError('connection is closed')
            self._is_in_use = True
        try:
            return self._send_and_read(method, path, body)
        except (OSError, ValueError, http_client.HTTPException) as error:
            # What follows can't be told from the rest of this reply.
            self._is_closed = True
            raise _translate_error(error) from error
        finally:
            self._finish_exchange()

    def _finish_exchange(self) -> None:
        with self._lock:
            self._is_in_use = False
            if self._is_closed:
                self._connection.close()

    def _send_and_read(self, method: str, path: str, body: bytes) -> bytes:
        connection = self._connection
        connection.prepare_request(method, path, body)
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            # The process may have been suspended since the admission check.
            raise TargetConnectError(
                'deadline passed before the attempt was sent'
            )
        connection.set_timeout(remaining_s)
        connection.meter.begin(
            ExchangeLimits(remaining_s, MAX_REPLY_BYTES + _MAX_HEAD_BYTES)
        )
        connection.send_request()
        response = connection.read_response_head()
        length = response.length
        if length is None or length > MAX_REPLY_BYTES:
            raise TargetProtocolError(
                f'reply length {length} is unknown or too large'
            )
        if response.will_close:
            self._is_closed = True
        return self._read_body(response, length)

    def _read_body(
        self,
        response: http_client.HTTPResponse,
        length: int,
    ) -> bytes:
        chunks = []
        while length:
            chunk = response.read1(min(length, _READ_CHUNK_BYTES))
            if not chunk:
                raise TargetLostError(
                    'connection closed before the end of the reply'
                )
            chunks.append(chunk)
            length -= len(chunk)
        # Marks the response as read, so that the connection can be reused.
        response.close()
        return b''.join(chunks)


def _translate_error(error: Exception) -> TargetError:
    """Map an error of an exchange to a ``TargetError``."""
    if isinstance(error, TimeoutError):
        return TargetTimeoutError(f'no reply: {error}')
    if isinstance(error, OSError | http_client.IncompleteRead):
        return TargetLostError(f'connection failed: {error}')
    return TargetProtocolError(f'invalid HTTP response: {error!r}')


def _read_report(content: bytes) -> TargetReport:
    try:
        return _convert_report(_REPORT_DECODER.decode(content))
    except DECODE_ERRORS as error:
        raise TargetProtocolError(f'invalid report: {error}') from error


def _read_reply(content: bytes, attempt: Attempt) -> TargetReply:
    try:
        reply = _REPLY_DECODER.decode(content)
        matches = _MATCHES_DECODER.decode(reply.matches)
        report = _convert_report(reply.target)
    except DECODE_ERRORS as error:
        raise TargetProtocolError(f'invalid reply: {error}') from error
    mismatch = _find_mismatch(reply, matches, attempt)
    if mismatch:
        raise TargetProtocolError(mismatch)
    return TargetReply(
        attempt_id=reply.attempt_id,
        status=reply.status,
        index_version=reply.index_version,
        partition=reply.partition,
        matches=bytes(reply.matches),
        truncated=reply.truncated,
        covered=reply.covered,
        report=report,
    )


def _find_mismatch(
    reply: _Reply,
    matches: Sequence[_Match],
    attempt: Attempt,
) -> str:
    if reply.attempt_id != attempt.attempt_id:
        return 'the reply is for another attempt'
    expected = (attempt.index_version, attempt.partition)
    if (reply.index_version, reply.partition) != expected:
        return 'the reply is for another version or shard'
    if len(matches) > attempt.limit:
        return 'more matches than the limit'
    if any((match.version, match.partition) != expected for match in matches):
        return 'a match of another version or shard'
    return ''


def _convert_report(report: _Report) -> TargetReport:
    return TargetReport(
        start_id=report.start_id,
        uptime_ms=report.uptime_ms,
        draining=report.draining,
        busy=report.busy,
        versions=_decode_versions(bytes(report.versions)),
    )


@functools.lru_cache(maxsize=_VERSION_CACHE_SIZE)
def _decode_versions(encoded: bytes) -> tuple[TargetVersion, ...]:
    """Decode a list of versions; cached because each reply repeats it."""
    return tuple(
        TargetVersion(**msgspec.structs.asdict(version))
        for version in _VERSIONS_DECODER.decode(encoded)
    )
