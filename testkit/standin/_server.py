"""HTTP over plain sockets, one thread for each connection."""

import os
import select
import socket
import threading
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from testkit.standin._target import StandinTarget

_MS_PER_S = 1000
_BACKLOG = 256
_DRIP_S = 0.2
_DRIPS = 600
_HUGE_BYTES = 64 * 1024 * 1024
_SILENCE_S = 120.0
_CRASH_EXIT_STATUS = 139
_STATUSES = MappingProxyType(
    {
        'ok': '200 OK',
        'shed': '503 Service Unavailable',
        'draining': '503 Service Unavailable',
        'wrong_version': '409 Conflict',
        'late': '504 Gateway Timeout',
        'failed': '500 Internal Server Error',
        'unknown': '404 Not Found',
        'invalid': '400 Bad Request',
    }
)


class StandinServer:
    """Accepts connections for a stand-in target."""

    def __init__(self, target: StandinTarget, host: str, port: int) -> None:
        self._target = target
        self._listener = socket.create_server((host, port), backlog=_BACKLOG)
        self.port = int(self._listener.getsockname()[1])
        self._open = 0
        self._lock = threading.Lock()
        self._setup_lock = threading.Lock()

    def serve(self) -> None:
        """Accept connections for ever."""
        while True:  # noqa: WPS457 - ends with the process
            client, _address = self._listener.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve_client,
                args=(client,),
                daemon=True,
            ).start()

    def _serve_client(self, client: socket.socket) -> None:
        with self._lock:
            self._open += 1
            accepted = self._open <= self._target.behaviour.connections
            counters = self._target.counters
            counters['connections'] += 1
            counters['most_connections'] = max(
                counters['most_connections'],
                self._open,
            )
            counters['connections_refused'] += not accepted
        try:
            with client:
                if accepted:
                    self._exchange(client)
        except OSError:
            self._target.count('broken_connections')
        finally:
            with self._lock:
                self._open -= 1

    def _exchange(self, client: socket.socket) -> None:
        with self._setup_lock:
            time.sleep(self._target.behaviour.connect_ms / _MS_PER_S)
        reader = client.makefile('rb')
        while True:
            head = reader.readline().split()
            if not head:
                return
            length = _read_length(reader)
            body = reader.read(length)
            if len(body) < length:
                # The client closed in the middle of its request.
                return
            reply = self._answer(client, head[0], head[1], body)
            if reply is None:
                return
            client.sendall(reply)

    def _answer(
        self,
        client: socket.socket,
        method: bytes,
        path: bytes,
        body: bytes,
    ) -> bytes | None:
        if path != b'/v1/admin':
            self._target.wait_stall()
        if (method, path) == (b'POST', b'/v1/run'):
            return self._run(client, msgspec.json.decode(body))
        if (method, path) == (b'GET', b'/v1/status'):
            self._target.count('reports')
            return _encode('ok', self._target.report())
        if path == b'/v1/admin':
            edits = msgspec.json.decode(body) if body else {}
            if edits.pop('exit', False):
                os._exit(_CRASH_EXIT_STATUS)
            try:
                return _encode('ok', self._target.change(edits))
            except ValueError as error:
                return _encode('invalid', {'error': str(error)})
        return _encode('unknown', {'error': 'no such path'})

    def _run(
        self,
        client: socket.socket,
        run: Mapping[str, Any],
    ) -> bytes | None:
        target = self._target
        status = target.refuse(run)
        if status:
            target.count(status)
            return self._encode_run(run, status)
        # The slot is free again before the reply is sent.
        with target.hold_slot() as free:
            status = self._serve_attempt(client, run) if free else 'shed'
        if not status:
            return None
        if status == 'shed':
            target.count(status)
        if status == 'ok' and target.behaviour.nonsense:
            reply = self._make_reply(run, status)
            if target.behaviour.nonsense == 'crossed':
                reply = target.swap_reply(reply)
            elif target.behaviour.nonsense == 'wrong_version':
                version = run['index_version'] + 1
                reply['matches'] = target.find_matches(
                    {**run, 'index_version': version},
                )[: run['limit']]
            return _send_nonsense(client, reply, target)
        return self._encode_run(run, status)

    def _serve_attempt(
        self,
        client: socket.socket,
        run: Mapping[str, Any],
    ) -> str:
        """Return the status, or an empty string if it was cancelled."""
        target = self._target
        service_s, failing = target.plan_service()
        if target.behaviour.crash_on_content and run['query'].get('crash'):
            os._exit(_CRASH_EXIT_STATUS)
        target.record_run(run)
        readable, _, _ = select.select(
            [client],
            [],
            [],
            min(service_s, run['deadline_ms'] / _MS_PER_S),
        )
        if readable and not client.recv(1, socket.MSG_PEEK):
            target.count('cancelled')
            return ''
        if service_s * _MS_PER_S > run['deadline_ms']:
            target.count('overdue')
            return 'failed'
        return 'failed' if failing else 'ok'

    def _make_reply(self, run: Mapping[str, Any], status: str) -> Any:
        matches = []
        covers_part = self._target.behaviour.covers_part
        if status == 'ok':
            matches = self._target.find_matches(run)
        return {
            'attempt_id': run['attempt_id'],
            'status': status,
            'index_version': run['index_version'],
            'partition': run['partition'],
            'matches': matches[: run['limit']],
            'truncated': len(matches) > run['limit'],
            'covered': status == 'ok' and not covers_part,
            'target': self._target.observe(),
        }

    def _encode_run(self, run: Mapping[str, Any], status: str) -> bytes:
        return _encode(status, self._make_reply(run, status))


def _read_length(reader: Any) -> int:
    length = 0
    for line in iter(reader.readline, b'\r\n'):
        name, _, content = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(content)
        if not line:
            break
    return length


def _frame(status: str, length: int) -> bytes:
    return (
        f'HTTP/1.1 {_STATUSES[status]}\r\n'
        f'Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n'
    ).encode()


def _encode(status: str, content: object) -> bytes:
    body = msgspec.json.encode(content)
    return b''.join((_frame(status, len(body)), body))


def _send_nonsense(
    client: socket.socket,
    reply: dict[str, Any],
    target: StandinTarget,
) -> bytes | None:
    """Return or send a faulty reply."""
    kind = target.behaviour.nonsense
    if kind == 'garbage':
        return b''.join((_frame('ok', 3), b'{]}'))
    if kind == 'huge':
        client.sendall(_frame('ok', _HUGE_BYTES))
        client.sendall(b' ' * _HUGE_BYTES)
        return None
    if kind == 'drip':
        client.sendall(_frame('ok', _DRIPS))
        for _ in range(_DRIPS):
            client.sendall(b' ')
            time.sleep(_DRIP_S)
        return None
    if kind == 'silent':
        select.select([client], [], [], _SILENCE_S)
        return None
    if kind == 'wrong_match':
        reply['matches'].append({'id': 5})
    elif kind != 'crossed':
        name = {'wrong_id': 'attempt_id', 'wrong_version': 'index_version'}
        field = name.get(kind, 'partition')
        reply[field] = 'other' if field == 'attempt_id' else reply[field] + 1
    return _encode('ok', reply)
