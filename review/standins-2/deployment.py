"""A small deployment on loopback: the project's processes and stand-ins.

Uses the standard library only. Processes are started with the commands of the
deploy file and with settings made from its template.
"""

import asyncio
import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOY_FILE = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
HOST_NAME = 'a.example'
RECORD_BYTES = 16
_PLACEHOLDER = re.compile(r'\{\{([A-Za-z.0-9]+)(\|json)?\}\}')


def find_free_port(host):
    """Return a free port below the ephemeral ports."""
    while True:
        port = random.SystemRandom().randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


def fill_template(text, fields):
    """Fill the placeholders that the template of the deploy file uses."""

    def fill(match):
        value = fields
        for key in match[1].split('.'):
            if isinstance(value, list):
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = (value or {}).get(key)
        if match[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    return _PLACEHOLDER.sub(fill, text)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._stream = Path(path).open('w')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, *words):
        """Write a line."""
        at_s = time.monotonic() - self._started_at
        with self._lock:
            print(f'{at_s:8.3f}', *words, file=self._stream, flush=True)


class Platform:
    """Backends and the list of them, in a thread of this process."""

    def __init__(self, record, services, copies=2, work_s=0.01):
        self.record = record
        self.instances = []
        self.servers = {}
        self._work_s = work_s
        self._loop = asyncio.new_event_loop()
        started = threading.Event()

        def run():
            asyncio.set_event_loop(self._loop)
            self._loop.run_until_complete(self._start(services, copies))
            started.set()
            self._loop.run_forever()

        threading.Thread(target=run, daemon=True).start()
        if not started.wait(10):
            raise TimeoutError('the platform did not start')

    async def _start(self, services, copies):
        for service in services:
            for copy in range(copies):
                name = f'i-{service}-{copy}'
                await self.listen(name, ('127.0.0.1', 0))
                port = self.servers[name].sockets[0].getsockname()[1]
                self.instances.append(
                    {
                        'Id': name,
                        'Service': service,
                        'Address': f'127.0.0.1:{port}',
                        'Zone': 'abc'[copy % 3],
                        'Version': 'v1',
                        'Slots': 4,
                        'State': 'ready',
                        'WarmupLeftMs': 0,
                    }
                )
        server = await asyncio.start_server(self._list, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    async def listen(self, name, address):
        """Listen as a backend; port 0 stands for any."""
        self.servers[name] = await asyncio.start_server(
            lambda reader, writer: self._serve(
                reader, writer, name, self._work_s
            ),
            *address,
        )
        if address[1]:
            self.record.write('backend', name, 'is back')

    def list_instances(self):
        """Return the entries of the list as of now."""
        return self.instances

    async def _list(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b'\r\n\r\n'):
                page = {
                    'Instances': self.list_instances(),
                    'NextToken': None,
                }
                body = json.dumps(page).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % len(body) + body
                )
        writer.close()

    async def _serve(self, reader, writer, name, work_s):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                headers = {}
                for line in head.split('\r\n')[1:]:
                    key, _, text = line.partition(':')
                    headers[key.lower()] = text.strip()
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                await self.answer(writer, head, headers, body, name, work_s)
        writer.close()

    async def answer(self, writer, head, headers, body, name, work_s):
        """Run one request and answer it."""
        request_id = headers.get('request-id', '')
        if headers.get('target-instance', name) != name:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n'
                b'Request-Id: %s\r\nContent-Length: 0\r\n\r\n'
                % request_id.encode()
            )
            return
        self.record.write('backend', name, 'runs', request_id)
        await asyncio.sleep(work_s)
        records = random.randbytes(RECORD_BYTES * 8)
        writer.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nBackend-Signature: %s\r\n'
            b'Backend-Load: 1,0,4\r\nContent-Length: %d\r\n\r\n'
            % (
                request_id.encode(),
                f'{name}.{request_id}'.encode(),
                len(records),
            )
            + records
        )


class Deployment:
    """Processes of the project, each on a loopback address of its own."""

    def __init__(self, record, platform, controls, entries, bounds):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = {}
        self.machines = {}
        self._bounds = bounds
        self._platform = platform
        block = random.SystemRandom().randrange(2, 250)
        ports = [find_free_port('127.0.0.1') for _ in range(3)]
        self._internal = [ports[0], ports[0] + 15]
        for number in range(controls + entries):
            is_control = number < controls
            role = 'control' if is_control else 'entry'
            name = f'{role}-{number if is_control else number - controls}'
            self.machines[name] = {
                'role': role,
                'ip': f'127.0.{block}.{number + 1}',
                'zone': 'abc'[number % 3],
                'front': ports[1],
                'ready': ports[2],
                'control': ports[1],
            }

    @property
    def controls(self):
        """Names of the control processes."""
        return [
            name
            for name, machine in self.machines.items()
            if machine['role'] == 'control'
        ]

    def start(self, name, *, bootstrap=False):
        """Start the process of a machine."""
        machine = self.machines[name]
        role = DEPLOY_FILE['roles'][machine['role']]
        settings = self.folder / f'{name}.yaml'
        template = (ROOT / role['template']).read_text()
        fields = self._make_fields(name, machine, bootstrap=bootstrap)
        settings.write_text(fill_template(template, fields))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SHALLOTGATE_NODE_FILE'] = str(settings)
        with (self.folder / f'{name}.log').open('a') as output:
            self.processes[name] = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record.write('started', name)

    def _make_fields(self, name, machine, *, bootstrap):
        ip = machine['ip']
        seeds = [self.machines[each] for each in self.controls[:3]]
        is_control = machine['role'] == 'control'
        binds = {
            'Front': f'{ip}:{machine["front"]}',
            'ReadyAddr': f'{ip}:{machine["ready"]}',
        }
        if is_control:
            binds = {'Control': f'{ip}:{machine["control"]}'}
        return {
            'NodeName': name,
            'Zone': machine['zone'],
            'Ip': ip,
            'InternalPorts': self._internal,
            'Seeds': [f'{each["ip"]}:{each["control"]}' for each in seeds],
            'Bootstrap': bootstrap,
            'BindAddrs': binds,
            'DataDir': str(self.folder / f'{name}-data') if is_control else '',
            'CloudApi': {'Address': self._platform.address, 'RatePerS': 55.0},
            'Bounds': self._bounds,
        }

    def kill(self, *names):
        """Kill processes at the same moment."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.processes[name].wait(10)
        self.record.write('killed', *names)

    def lose_disk(self, name):
        """Empty the data folder of a machine whose process is down."""
        shutil.rmtree(self.folder / f'{name}-data', ignore_errors=True)
        self.record.write('disk lost', name)

    def stop(self):
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, name, method, path, body=None, headers=None, timeout_s=1.0):
        """Return status, headers and body of an answer; status 0 for none."""
        machine = self.machines[name]
        port = machine['control' if machine['role'] == 'control' else 'front']
        connection = http.client.HTTPConnection(
            machine['ip'], port, timeout=timeout_s
        )
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b''
        finally:
            connection.close()

    def publish(self, document, limit_s, names=None):
        """Send a configuration to one node after the other until it is taken.

        Returns the seconds that it took; None if it was not acknowledged.
        """
        body = json.dumps(document)
        headers = {'Content-Type': 'application/json'}
        started_at = time.monotonic()
        pause_s = 0.05
        while time.monotonic() - started_at < limit_s:
            for name in names or self.controls:
                status = self.call(name, 'PUT', '/-/config', body, headers)[0]
                self.record.write(
                    'PUT version', document['Version'], 'at', name, status
                )
                if status == 200:
                    return time.monotonic() - started_at
            time.sleep(pause_s)
            pause_s = min(pause_s * 2, 1)
        return None

    def read_version(self, limit_s):
        """Read the configuration at one node after the other.

        Returns its version; None if it did not come.
        """
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            for name in self.controls:
                status, _, body = self.call(name, 'GET', '/-/config')
                self.record.write('GET config at', name, status)
                if status == 200:
                    return json.loads(body)['Version']
            time.sleep(0.5)
        return None

    def request(self, name, path, request_id, deadline_ms=1000):
        """Send a client's request; return its status."""
        headers = {
            'Host': HOST_NAME,
            'Request-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
        }
        status = self.call(name, 'GET', path, None, headers, 2.0)[0]
        self.record.write('request', request_id, 'at', name, status)
        return status

    def wait_served(self, name, path, limit_s):
        """Wait until a request is served; return whether it was."""
        ends_at = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            if self.request(name, path, f'w{time.monotonic_ns()}') == 200:
                return True
            time.sleep(0.2)
        return False


def make_document(version, routes, services, max_connections=100):
    """Return a configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': service,
                'HealthCheck': '/health',
                'MaxConnections': max_connections,
                'Protocol': 'h1',
                'Tls': False,
                'WarmupS': 3.0,
                'WarmupPerS': 0.0,
            }
            for service in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def make_route(name, prefix, service, **changes):
    """Return a route to one service."""
    return {
        'Name': name,
        'Hostname': HOST_NAME,
        'PathPrefix': prefix,
        'RouteType': 'idempotent',
        'TimeoutMs': 4000,
        'TargetLatencyMs': 500,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        **changes,
    }
