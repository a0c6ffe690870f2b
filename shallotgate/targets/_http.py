"""Target protocol over HTTP; see ``docs/target-protocol.md``."""

import functools
import socket
import threading
import time
from collections.abc import Sequence
from http import client as http_client
from typing import Literal

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from shallotgate.errors import (
    TargetConnectError,
    TargetError,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt, TargetVersion
from shallotgate.targets._connector import TargetReply, TargetReport

MAX_REPLY_BYTES = 8 * 1024 * 1024
_MS_PER_S = 1000
# One read returns what has arrived, so that the deadline is checked between
# the parts of a slow reply.
_PART_BYTES = 64 * 1024
_SHORTEST_TIMEOUT_S = 0.001
_CACHED_VERSION_LISTS = 1024

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
    busy: int
    versions: msgspec.Raw


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
_VERSIONS_DECODER = msgspec.json.Decoder(tuple[TargetVersion, ...])


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


class _Exchanger(HTTPConnection):
    """Adds to urllib3's connection a short path for small exchanges.

    urllib3's own ``request`` and ``getresponse`` take 240 microseconds of
    CPU for an attempt and this path 105, because it skips the preparation of
    headers and the response wrapper that small JSON replies don't need.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        # The request that is being put together.
        self._parts: list[bytes] = []

    def prepare(self, method: str, path: str, body: bytes) -> None:
        """Put a request together."""
        self._parts.clear()
        self.putrequest(method, path, skip_accept_encoding=True)
        self.putheader('Content-Type', 'application/json')
        self.putheader('Content-Length', str(len(body)))
        self.endheaders(body or None)

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Keep a part of the request until all of it is there."""
        self._parts.append(data)

    def send_prepared(self) -> None:
        """Send the request at once.

        A target never holds the first part of a request whose rest comes
        after a stop of this process.
        """
        if self.sock is None:
            raise TargetLostError('connection closed')
        self.sock.sendall(b''.join(self._parts))

    def read_head(self) -> http_client.HTTPResponse:
        """Read status line and headers."""
        return http_client.HTTPConnection.getresponse(self)

    def set_timeout(self, timeout_s: float) -> None:
        """Limit each further operation of the socket."""
        if self.sock is None:
            raise TargetLostError('connection closed')
        self.sock.settimeout(max(timeout_s, _SHORTEST_TIMEOUT_S))


class HttpConnection:
    """One keep-alive connection to a target."""

    def __init__(self, host: str, port: int) -> None:
        self._connection = _Exchanger(host, port)
        self._report: TargetReport | None = None
        self._lock = threading.Lock()
        self._is_used = False
        self._is_closed = False
        # The exchange in progress is over at this monotonic time.
        self._deadline = float(0)

    @property
    def report(self) -> TargetReport:
        """What the target reported when the connection was opened."""
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
            # urllib3 begins its own text with the repr of the connection.
            reason = error.__cause__ or error
            raise TargetConnectError(f'no connection: {reason}') from error
        self._report = self.read_report(deadline - time.monotonic())

    def run(self, attempt: Attempt, timeout_s: float) -> TargetReply:
        """Send an attempt and return the valid reply to it."""
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
        """Return the target's report."""
        content = self._exchange('GET', '/v1/status', b'', timeout_s)
        try:
            return _convert_report(_REPORT_DECODER.decode(content))
        except msgspec.MsgspecError as error:
            raise TargetProtocolError(f'invalid report: {error}') from error

    def close(self) -> None:
        """Close; an exchange in progress ends with an error."""
        with self._lock:
            self._is_closed = True
            if not self._is_used:
                self._connection.close()
                return
            # The thread that uses the socket closes it.
            self._shut_down()

    def _shut_down(self) -> None:
        if self._connection.sock is None:
            return
        try:
            self._connection.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer was faster.
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
            # A readable idle connection was closed by the target; nothing
            # may be sent on it.
            if self._is_closed or not self._connection.is_connected:
                raise TargetConnectError('connection is closed')
            self._is_used = True
        try:
            return self._send_and_read(method, path, body)
        except (OSError, ValueError, http_client.HTTPException) as error:
            raise _translate(error) from error
        finally:
            self._end_use()

    def _end_use(self) -> None:
        with self._lock:
            self._is_used = False
            if self._is_closed:
                self._connection.close()

    def _send_and_read(self, method: str, path: str, body: bytes) -> bytes:
        connection = self._connection
        connection.prepare(method, path, body)
        left_s = self._deadline - time.monotonic()
        if left_s <= 0:
            # The process may have been stopped since the attempt was allowed.
            raise TargetConnectError('the time was over before it was sent')
        connection.set_timeout(left_s)
        connection.send_prepared()
        response = connection.read_head()
        length = response.length
        if length is None or length > MAX_REPLY_BYTES:
            raise TargetProtocolError(f'length of the reply is {length}')
        if response.will_close:
            self._is_closed = True
        return self._read_body(response, length)

    def _read_body(
        self,
        response: http_client.HTTPResponse,
        length: int,
    ) -> bytes:
        parts = []
        while length:
            part = response.read1(min(length, _PART_BYTES))
            if not part:
                raise TargetLostError('connection closed within the reply')
            parts.append(part)
            length -= len(part)
            if length:
                left_s = self._deadline - time.monotonic()
                if left_s <= 0:
                    raise TargetTimeoutError('the reply takes too long')
                self._connection.set_timeout(left_s)
        # Marks the response as read, so that the next one may follow.
        response.close()
        return b''.join(parts)


def _translate(error: Exception) -> TargetError:
    """Return the project's error for one of a broken exchange."""
    if isinstance(error, TimeoutError):
        return TargetTimeoutError(f'no reply: {error}')
    if isinstance(error, OSError | http_client.IncompleteRead):
        return TargetLostError(f'connection broke: {error}')
    return TargetProtocolError(f'not HTTP: {error!r}')


def _read_reply(content: bytes, attempt: Attempt) -> TargetReply:
    try:
        reply = _REPLY_DECODER.decode(content)
        matches = _MATCHES_DECODER.decode(reply.matches)
        report = _convert_report(reply.target)
    except msgspec.MsgspecError as error:
        raise TargetProtocolError(f'invalid reply: {error}') from error
    fault = _find_fault(reply, matches, attempt)
    if fault:
        raise TargetProtocolError(fault)
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


def _find_fault(
    reply: _Reply,
    matches: Sequence[_Match],
    attempt: Attempt,
) -> str:
    if reply.attempt_id != attempt.attempt_id:
        return 'the reply is for another attempt'
    asked = (attempt.index_version, attempt.partition)
    if (reply.index_version, reply.partition) != asked:
        return 'the reply is for another version or shard'
    if len(matches) > attempt.limit:
        return 'more matches than the limit'
    if any((match.version, match.partition) != asked for match in matches):
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


@functools.lru_cache(maxsize=_CACHED_VERSION_LISTS)
def _decode_versions(encoded: bytes) -> tuple[TargetVersion, ...]:
    """Decode once what each reply of a target repeats."""
    return _VERSIONS_DECODER.decode(encoded)
