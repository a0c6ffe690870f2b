"""Stand-ins of platform, servers and operator for processes of the tier.

Only the standard library is used. All addresses are loopback addresses, ports
are free ones, and files are written to a temporary folder and ``record.txt``.
"""

import asyncio
import contextlib
import http.client
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Commands of deploy/system.toml.
RUN_ENTRY = ('python3', 'platform/main.py', 'entry')
RUN_CONTROL = ('python3', 'platform/main.py', 'control')
# Bounds of sites/htlw-packline.toml that the settings carry.
DRAIN_MS = 3000
GRACE_S = 6
CONTACT_MS = 4000
CONFIG_APPLY_MS = 3000
RETRY_SLACK = 52
MAX_FDS = 4100
# Receive buffer of the servers: links have small windows.
WINDOW_BYTES = 16 * 1024
# Segment size of Ethernet; that of a loopback address is 64 KB.
SEGMENT_BYTES = 1460
ZONES = ('kalimati', 'bhaktapur', 'lalitpur', 'kirtipur')
_PORTS = random.SystemRandom()


class CannotRunError(Exception):
    """The case could not be set up; its exit status is 2."""


def find_port(host):
    """Return a free port below the range of ephemeral ports."""
    for _ in range(200):
        port = _PORTS.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return port
    raise CannotRunError('no free port')


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self._stream = (pathlib.Path(folder) / 'record.txt').open('w')
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def add(self, what, **fields):
        elapsed_s = time.monotonic() - self._started_at
        words = [f'{key}={value}' for key, value in fields.items()]
        with self._lock:
            self._stream.write(f'{elapsed_s:8.3f} {what} {" ".join(words)}\n')
            self._stream.flush()


class Link:
    """Pace at which the servers read what one machine sends them."""

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._free_at = 0

    def take(self, amount):
        """Return the seconds until the next bytes may be read."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + amount / self._bytes_per_s
        return self._free_at - now

    def clear(self):
        """Drop what waits to be sent."""
        self._free_at = 0


class Backend(asyncio.Protocol):
    """One connection to a server; it answers one request at a time."""

    def __init__(self, world, name, service_time_s, make_body):
        self._world = world
        self._name = name
        self._service_time_s = service_time_s
        self._make_body = make_body
        self._buffer = bytearray()
        self._is_running = False
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        self._world.connections.setdefault(self._name, set()).add(transport)

    def connection_lost(self, exc):
        self._world.connections[self._name].discard(self._transport)

    def data_received(self, data):
        link = self._world.link
        if link is not None:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(
                link.take(len(data)), self._resume
            )
        self._buffer += data
        self._parse()

    def _resume(self):
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _parse(self):
        if self._is_running:
            return
        head, separator, _ = bytes(self._buffer).partition(b'\r\n\r\n')
        if not separator:
            return
        first, *lines = head.split(b'\r\n')
        headers = {}
        for line in lines:
            key, _, value = line.partition(b':')
            headers[key.strip().lower()] = value.strip()
        length = int(headers.get(b'content-length', b'0'))
        start = len(head) + 4
        if len(self._buffer) < start + length:
            return
        body = bytes(self._buffer[start : start + length])
        del self._buffer[: start + length]
        self._run(first, headers, body)

    def _run(self, first, headers, body):
        request_id = headers.get(b'request-id', b'')
        if first.startswith(b'GET /health'):
            is_leaving = self._name in self._world.leaving
            status = b'503 Service Unavailable' if is_leaving else b'200 OK'
            self._write(status, request_id, b'')
            return
        if headers.get(b'target-instance') != self._name.encode():
            self._write(b'421 Misdirected Request', request_id, b'')
            return
        self._is_running = True
        self._world.note_run(self._name, request_id.decode(), first, body)
        asyncio.get_running_loop().call_later(
            self._service_time_s(),
            self._write,
            b'200 OK',
            request_id,
            self._make_body(request_id),
        )

    def _write(self, status, request_id, body):
        self._is_running = False
        if self._transport is None or self._transport.is_closing():
            return
        signature = b''
        if status.startswith(b'200'):
            signature = b'Backend-Signature: %s.%s\r\n' % (
                self._name.encode(),
                request_id,
            )
        else:
            signature = b'Not-Executed: 1\r\n'
        is_leaving = self._name in self._world.leaving
        if is_leaving:
            signature += b'Connection: close\r\n'
        self._transport.write(
            b'HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sBackend-Load: 1,0,6\r\n'
            b'Content-Length: %d\r\n\r\n%s'
            % (status, request_id, signature, len(body), body)
        )
        if is_leaving:
            self._transport.close()
            return
        self._parse()


class Run:
    """A request that a server began to work on."""

    def __init__(self, name, request_id, first, body):
        # Id of the server.
        self.name = name
        self.request_id = request_id
        self.began_at = time.monotonic()
        # Request line.
        self.first = first
        self.body = body


class World:
    """Servers and the platform's list of them, in one thread."""

    def __init__(self, record, services, service_time_s, make_body, link=None):
        """``services`` has the number of servers of each service.

        ``link`` is that of the machine which sends to them.
        """
        self.record = record
        self.link = link
        self.runs = []
        self.entries = []
        # Listeners, and open connections of servers, by id.
        self._servers = {}
        self.connections = {}
        # Ids of servers that are leaving.
        self.leaving = set()
        # Bytes that another writer left among the entries of the list.
        self.odd_entry = b''
        # Requests for the list that were answered.
        self.reads = 0
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._arguments = (services, service_time_s, make_body)
        self.list_address = ''
        threading.Thread(target=self._serve, daemon=True).start()
        if not self._started.wait(10):
            raise CannotRunError('the stand-ins did not start')

    def note_run(self, name, request_id, first, body):
        self.runs.append(Run(name, request_id, first.decode(), body))
        self.record.add('run', id=request_id, server=name, body_bytes=len(body))

    def end_server(self, name):
        """Let a server end: it accepts nothing, and its connections break."""
        self.entries = [each for each in self.entries if each['Id'] != name]
        self.record.add('ended', server=name)
        self._loop.call_soon_threadsafe(self._end_server, name)

    def _end_server(self, name):
        self._servers[name].close()
        for transport in tuple(self.connections.get(name, ())):
            transport.abort()

    def begin_leaving(self, name):
        """Let a server drain: it is listed so and goes on to serve."""
        self.leaving.add(name)
        for entry in self.entries:
            if entry['Id'] == name:
                entry['State'] = 'draining'
        self.record.add('draining', server=name)

    def _serve(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._start(*self._arguments))
        self._started.set()
        self._loop.run_forever()

    async def _start(self, services, service_time_s, make_body):
        for service, count in services.items():
            for copy in range(count):
                await self._start_backend(
                    f'i-{service}-{copy}',
                    service,
                    ZONES[copy % len(ZONES)],
                    service_time_s,
                    make_body,
                )
        server = await asyncio.start_server(self._list, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.list_address = f'127.0.0.1:{port}'

    async def _start_backend(self, name, service, zone, service_time_s, make):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        server = await self._loop.create_server(
            lambda: Backend(self, name, service_time_s, make), sock=listener
        )
        self._servers[name] = server
        port = server.sockets[0].getsockname()[1]
        self.entries.append(
            {
                'Id': name,
                'Service': service,
                'Address': f'127.0.0.1:{port}',
                'Zone': zone,
                'Version': 'v1',
                'Slots': 6,
                'State': 'ready',
                'WarmupLeftMs': 0,
            }
        )

    async def _list(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b'\r\n\r\n'):
                entries = [json.dumps(each).encode() for each in self.entries]
                if self.odd_entry:
                    entries.insert(1, self.odd_entry)
                body = b'{"Instances":[%s],"NextToken":null}' % (
                    b','.join(entries)
                )
                self.reads += 1
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
                )
        writer.close()


class Tier:
    """Processes of the tier, started with the commands of the deploy file."""

    def __init__(
        self,
        record,
        list_address,
        control=3,
        entries=1,
        extra=None,
        max_fds=MAX_FDS,
    ):
        """``extra`` is added to the settings of each process.

        ``max_fds`` are the descriptors of each process, as far as the system
        allows it.
        """
        self._record = record
        self._list_address = list_address
        self._extra = extra or {}
        self._max_fds = max_fds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self.processes = {}
        self.nodes = {}
        self._peer_port = find_port('127.0.2.1')
        for number in range(control):
            self._add(f'control-{number}', 'control', number)
        for number in range(entries):
            self._add(f'entry-{number}', 'entry', control + number)
        for name in self.nodes:
            self.start(name, bootstrap=True)

    def _add(self, name, role, number):
        host = f'127.0.2.{number + 1}'
        ports = set()
        while len(ports) < 4:
            ports.add(find_port(host))
        ports.discard(self._peer_port)
        while len(ports) < 4:
            ports.add(find_port(host))
        front, ready, operator, metrics = (f'{host}:{each}' for each in ports)
        self.nodes[name] = {
            'role': role,
            'host': host,
            'front': front,
            'ready': ready,
            'operator': operator,
            'metrics': metrics,
        }

    def start(self, name, bootstrap=False):
        node = self.nodes[name]
        is_control = node['role'] == 'control'
        seeds = [
            each['operator']
            for each in self.nodes.values()
            if each['role'] == 'control'
        ]
        # The fields of deploy/settings.yaml.template.
        settings = {
            'name': name,
            'domain': ZONES[0],
            'peer_address': f'{node["host"]}:{self._peer_port}',
            'metrics_address': node['metrics'],
            'seeds': seeds[:3],
            'caller_address': '' if is_control else node['front'],
            'ready_address': '' if is_control else node['ready'],
            'operator_address': node['operator'] if is_control else '',
            'data_folder': str(self.folder / name) if is_control else '',
            'bootstrap': bootstrap,
            'tolerated_losses': 1,
            'listing_address': self._list_address,
            'listing_calls_per_s': 40,
            'drain_ms': DRAIN_MS,
            'stop_s': GRACE_S,
            'extra_ratio': 0.2,
            'extra_window_s': 10,
            'extra_slack': RETRY_SLACK,
            **self._extra,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['SHALLOTGATE_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        output = (self.folder / f'{name}.log').open('a')
        self.processes[name] = subprocess.Popen(
            RUN_CONTROL if is_control else RUN_ENTRY,
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=output,
            preexec_fn=lambda: _limit_descriptors(self._max_fds),
        )
        self._record.add('started', process=name)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self._record.add('signal', process=name, number=int(number))

    def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)

    def list_control(self):
        return [
            name
            for name, node in self.nodes.items()
            if node['role'] == 'control'
        ]

    def publish(self, config, timeout_s=20):
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config)
        deadline = time.monotonic() + timeout_s
        names = self.list_control()
        attempt = 0
        while time.monotonic() < deadline:
            name = names[attempt % len(names)]
            attempt += 1
            status, _, _ = call(
                self.nodes[name]['operator'],
                'PUT',
                '/-/config',
                {'Content-Type': 'application/json'},
                body,
                timeout_s=1,
            )
            self._record.add(
                'config', version=config['Version'], at=name, status=status
            )
            if status == 200:
                return
            time.sleep(0.1 * min(attempt, 5))
        raise CannotRunError('no acknowledgement of the configuration')

    def wait_ready(self, name, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            address = self.nodes[name]['ready']
            if call(address, 'GET', '/-/readiness', {}, None, 1)[0] == 200:
                self._record.add('ready', process=name)
                return
            time.sleep(0.1)
        raise CannotRunError(f'{name} does not get ready')


def call(address, method, path, headers, body=None, timeout_s=3):
    """Return status, headers and body; status 0 if there is no answer."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b''
    finally:
        connection.close()


def raise_descriptors(count):
    """Let this process open more files, as far as it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = count if hard == resource.RLIM_INFINITY else min(count, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def _limit_descriptors(count):
    """Give a process the descriptors of a machine, if the system allows it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = count if hard == resource.RLIM_INFINITY else min(count, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))


def make_config(version, routes, services):
    """Return a configuration as an operator sends it."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthCheck': '/health',
                'MaxConnections': 48,
                'Protocol': 'h1',
                'Tls': False,
                'WarmupS': 3.0,
                'WarmupPerS': 0.0,
            }
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def run_case(folder, run):
    """Run a case with its record; end the program with its status.

    ``run`` gets the record and whether to bring the disruption about, and
    returns whether the rule was broken.
    """
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add('case', trouble=has_trouble)
    try:
        is_broken = run(record, has_trouble)
    except CannotRunError as error:
        record.add('cannot-run', reason=str(error).replace(' ', '_'))
        os._exit(2)
    except Exception:
        # An error of the case itself, which says nothing of the rule.
        traceback.print_exc()
        record.add('failed')
        os._exit(2)
    record.add('result', broken=is_broken)
    os._exit(1 if is_broken else 0)


__all__ = (
    'CONFIG_APPLY_MS',
    'CONTACT_MS',
    'CannotRunError',
    'Link',
    'Record',
    'Tier',
    'World',
    'call',
    'make_config',
    'raise_descriptors',
    'run_case',
    'signal',
)
