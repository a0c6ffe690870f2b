"""The project's own programs, started as the deploy file says."""

import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from standins.links import Links
from standins.platform import RATE_PER_S
from standins.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ('bc-lower-a', 'bc-lower-b', 'bc-lower-c')
# Bounds of the small deployment pcmabc-search.
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'ContactMs': 4000,
    'AckMs': 5000,
    'SyncS': 4,
    'DrainMs': 3000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 3000,
    'DowngradeMs': 250,
    'MaxSkewMs': 12000,
    'RetryBudgetRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 56,
    'WarmupOverrun': 1.5,
    'WarmupSlack': 5,
    'EvacuateMs': 5000,
    'RecoveryS': 12,
}
_PLACEHOLDER = re.compile(r'\{\{([A-Za-z0-9_.]+)(\|json)?\}\}')


def _find_ports(hosts: Sequence[str], count: int) -> list[int]:
    """Return ports that are free on all hosts."""
    found: list[int] = []
    for port in range(21_000 + os.getpid() % 5_000, 32_000):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise SystemExit(2)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders that the project's template uses."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for key in match[1].split('.'):
            if isinstance(value, list):
                value = value[int(key)]
            else:
                value = (value or {}).get(key)
        if match[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    return _PLACEHOLDER.sub(replace, template)


class Tier:
    """Control members, one in each zone, and entries."""

    def __init__(
        self,
        record: Record,
        listing_address: str,
        entries: int = 3,
    ) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']
        self._record = record
        self._listing_address = listing_address
        self.folder = Path(tempfile.mkdtemp(prefix='shallotgate-review-'))
        self.hosts: dict[str, tuple[str, str, str]] = {}
        # Cases that run at the same time use other hosts.
        subnet = 20 + os.getpid() % 70
        for role, count in (('control', len(ZONES)), ('entry', entries)):
            for number in range(count):
                host = f'127.{subnet}.{number + 1}.{1 + (role == "entry")}'
                zone = ZONES[number % len(ZONES)]
                self.hosts[f'{role}-{number}'] = (role, host, zone)
        ports = _find_ports([each[1] for each in self.hosts.values()], 6)
        self._front, self._ready, self._control, *others = ports
        self._internal, self._behind_link = others[:2], others[2]
        self.links: Links | None = None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def controls(self) -> list[str]:
        """Names of the control members."""
        return [name for name in self.hosts if name.startswith('control')]

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [name for name in self.hosts if name.startswith('entry')]

    def front(self, name: str) -> str:
        """Return the address for clients."""
        return f'{self.hosts[name][1]}:{self._front}'

    def ready(self, name: str) -> str:
        """Return the address of the readiness check."""
        return f'{self.hosts[name][1]}:{self._ready}'

    def control(self, name: str) -> str:
        """Return the address for the operator."""
        return f'{self.hosts[name][1]}:{self._control}'

    def start(self, name: str, *, bootstrap: bool = False) -> None:
        """Start a process."""
        role, host, zone = self.hosts[name]
        settings = self.folder / f'{name}.settings'
        template = (ROOT / self._roles[role]['template']).read_text()
        text = render(template, self._make_fields(name, host, zone, bootstrap))
        if self.links is not None:
            # The project's own setting for nodes behind a forwarder.
            listen = {'listen_address': f'{host}:{self._behind_link}'}
            text = json.dumps({**json.loads(text), **listen})
        settings.write_text(text)
        variables = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in variables if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SHALLOTGATE_NODE_FILE'] = str(settings)
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                self._roles[role]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add('started', node=name, zone=zone)

    async def add_links(self) -> None:
        """Put links that can be cut or silenced before all nodes."""
        self.links = Links(self._record)
        for role, host, _ in self.hosts.values():
            await self.links.add(
                host,
                self._internal[0],
                self._behind_link,
                is_member=role == 'control',
            )

    def start_all(self) -> None:
        """Start all processes for the first time."""
        for name in self.hosts:
            self.start(name, bootstrap=True)

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)
        self._record.add('signal', node=name, signal=number.name)

    def find_leader(self) -> str | None:
        """Return the control member that began to lead last, by its log."""
        newest = ('', None)
        for name in self.controls:
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if 'consensus: Leading.' in line:
                    at = json.loads(line)['time']
                    newest = max(newest, (at, name), key=lambda each: each[0])
        return newest[1]

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(10)
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _make_fields(
        self, name: str, host: str, zone: str, bootstrap: bool
    ) -> dict[str, Any]:
        is_entry = name.startswith('entry')
        addresses = {'Control': f'{host}:{self._control}'}
        if is_entry:
            addresses = {
                'Front': f'{host}:{self._front}',
                'ReadyAddr': f'{host}:{self._ready}',
            }
        data = self.folder / f'{name}.data'
        return {
            'NodeName': name,
            'Zone': zone,
            'Ip': host,
            'InternalPorts': self._internal,
            'Seeds': [self.control(each) for each in self.controls],
            'Bootstrap': bootstrap,
            'BindAddrs': addresses,
            'DataDir': None if is_entry else str(data),
            'Bounds': BOUNDS,
            'CloudApi': {
                'Address': self._listing_address,
                'RatePerS': RATE_PER_S,
            },
        }


def wait_s(seconds: float) -> float:
    """Return a monotonic time that many seconds from now."""
    return time.monotonic() + seconds
