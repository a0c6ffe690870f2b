"""Callers: ordinary ones on kept connections, and ones beyond control."""

import contextlib
import itertools
import socket
import threading
import time

# A client that gets no answer is taken to be unanswered this long after the
# route's time: the half second of the rule.
_SLACK_S = 0.5
_numbers = itertools.count(1)


def make_request(
    method, path, deadline_ms, body=b'', prefix='q', host='a.example'
):
    """Return the id and the bytes of a request."""
    request_id = f'{prefix}{next(_numbers)}'
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'{length}\r\n'
    )
    return request_id, head.encode() + body


class Answer:
    """Status, time and connection of one request; status 0 without answer."""

    def __init__(self, request_id, sent_at, *, is_kept):
        self.request_id = request_id
        self.sent_at = sent_at
        # Whether the connection had carried an answer before.
        self.is_kept = is_kept
        self.status = 0
        self.answered_at = None
        # Whether the connection was ended without an answer.
        self.is_cut = False


class OrdinaryCaller:
    """Sends one request after the other on a kept connection."""

    def __init__(self, address, path, timeout_ms, pause_s, record, answers):
        self._address = address
        self._path = path
        self._timeout_ms = timeout_ms
        self._pause_s = pause_s
        self._record = record
        self._answers = answers
        self._connection = None
        self._served = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        """Send nothing more; the request under way goes on."""
        self._stopped.set()

    def join(self):
        """Wait until the request under way has ended."""
        self._thread.join(self._timeout_ms / 1000 + 2)

    def _run(self):
        while not self._stopped.is_set():
            self._send_one()
            self._stopped.wait(self._pause_s)

    def _connect(self):
        host, _, port = self._address.rpartition(':')
        self._served = 0
        self._connection = socket.create_connection((host, int(port)), 1)

    def _send_one(self):
        try:
            if self._connection is None:
                self._connect()
        except OSError:
            self._record.add('not-connected')
            return
        request_id, encoded = make_request('GET', self._path, self._timeout_ms)
        answer = Answer(
            request_id, time.monotonic(), is_kept=bool(self._served)
        )
        self._answers.append(answer)
        try:
            self._connection.settimeout(self._timeout_ms / 1000 + _SLACK_S)
            self._connection.sendall(encoded)
            answer.status, keeps = read_answer(self._connection)
        except TimeoutError:
            keeps = False
        except (OSError, EOFError):
            answer.is_cut = True
            keeps = False
        if answer.status:
            answer.answered_at = time.monotonic()
            self._served += 1
        self._record.add(
            'request',
            id=request_id,
            kept=answer.is_kept,
            status=answer.status,
            cut=answer.is_cut,
            took_ms=round((time.monotonic() - answer.sent_at) * 1000),
        )
        if not keeps:
            self._connection.close()
            self._connection = None


def stop_callers(callers):
    """Let all callers end together."""
    for caller in callers:
        caller.stop()
    for caller in callers:
        caller.join()


def read_answer(connection):
    """Return the status and whether the connection stays open.

    For connections with one request at a time: what follows is dropped.
    """
    return read_next_answer(connection.makefile('rb'))


def read_next_answer(stream):
    """Return the status and whether the connection stays open."""
    lines = []
    while not lines or lines[-1].strip():
        lines.append(stream.readline())
        if not lines[-1].endswith(b'\n'):
            raise EOFError
    length = 0
    for line in lines[1:]:
        key, _, value = line.lower().partition(b':')
        if key == b'content-length':
            length = int(value)
    if len(stream.read(length)) < length:
        raise EOFError
    keeps = not any(
        line.lower().strip() == b'connection: close' for line in lines
    )
    return int(lines[0].split()[1]), keeps


def send_and_stay(address, encoded, opened, receive_buffer_bytes=0):
    """Send whole requests, read nothing and stay open; never blocks long.

    The connection is added to ``opened``.
    """
    host, _, port = address.rpartition(':')
    connection = socket.socket()
    if receive_buffer_bytes:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    connection.settimeout(1)
    opened.append(connection)
    with contextlib.suppress(OSError):
        connection.connect((host, int(port)))
        connection.sendall(encoded)


__all__ = (
    'Answer',
    'OrdinaryCaller',
    'make_request',
    'read_answer',
    'read_next_answer',
    'send_and_stay',
    'stop_callers',
)
