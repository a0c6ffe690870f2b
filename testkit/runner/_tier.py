"""Lifecycle of all processes of a deployment."""

import dataclasses
import shutil
import tempfile
from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Any, Self

from shallotgate.invariants import BREACH_EXIT_STATUS
from testkit.proxy import Fault, FaultProxy
from testkit.runner._clients import Clients
from testkit.runner._layout import Layout
from testkit.runner._plan import Deployment, make_catalogue_edits
from testkit.runner._process import ManagedProcess
from testkit.runner._waiting import wait_until

_START_TIMEOUT_S = 60
_STOP_TIMEOUT_S = 30
_NO_SETTINGS: Mapping[str, Any] = MappingProxyType({})
_BREACH_MESSAGE = 'Invariant broken.'


class Tier:
    """Runs the instances and stand-in targets of a deployment.

    Only processes started here are ever killed. As a context manager it
    removes its files on exit unless an exception was raised.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        proxied: bool = False,
        settings: Mapping[str, Any] = _NO_SETTINGS,
    ) -> None:
        """Write the settings files; ``settings`` apply to all instances."""
        shared = {**deployment.settings, **settings}
        deployment = dataclasses.replace(deployment, settings=shared)
        self.deployment = deployment
        self.folder = Path(tempfile.mkdtemp(prefix='shallotgate-'))
        self.proxy = FaultProxy()
        self.proxy.start()
        self.layout = Layout(
            deployment,
            self.folder,
            self.proxy,
            proxied=proxied,
        )
        self.clients = Clients(deployment, self.layout.addresses)
        self.instances = self.layout.make_instances()
        self.targets = self.layout.make_targets()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close(keep_files=error is not None)

    def start(self) -> None:
        """Start all processes, wait for readiness, install the catalogue."""
        for process in self.list_processes():
            process.start()
        self.wait_ready(*self.instances)
        edits = make_catalogue_edits(self.deployment, self.layout.target_routes)
        self.change(edits, 'install the deployment')

    def close(self, *, keep_files: bool = False) -> None:
        """Kill all processes and remove the files."""
        for process in self.list_processes():
            process.kill()
        self.proxy.close()
        if not keep_files:
            shutil.rmtree(self.folder, ignore_errors=True)

    def list_processes(self) -> tuple[ManagedProcess, ...]:
        """Return all processes, targets first."""
        return (*self.targets.values(), *self.instances.values())

    def list_running(self) -> list[str]:
        """Return the names of the running instances."""
        return [
            name
            for name, process in self.instances.items()
            if process.is_running()
        ]

    def wait_ready(
        self, *names: str, timeout_s: float = _START_TIMEOUT_S
    ) -> None:
        """Wait until the named instances are ready."""
        wait_until(
            lambda: all(map(self.clients.is_ready, names)),
            timeout_s,
            f'{", ".join(names)} ready',
        )

    def change(self, edits: list[dict[str, Any]], reason: str) -> int:
        """Submit a catalogue change and wait until it is active everywhere."""
        running = self.list_running()
        version = self.clients.change(running[0], edits, reason)
        self.clients.wait_for_version(version, running)
        return version

    def restart(self, name: str) -> None:
        """Start a stopped instance and wait until it is ready."""
        self.instances[name].start()
        self.wait_ready(name)

    def wipe(self, name: str) -> None:
        """Remove the data folder of a stopped instance."""
        if self.instances[name].is_running():
            raise AssertionError(
                f'data folder of {name} is in use: the process is running'
            )
        shutil.rmtree(self.folder / 'data' / name)

    def cut(self, source: str, sink: str) -> None:
        """Silently drop the traffic from one instance to another."""
        fault = Fault(drop_forward=True, drop_backward=True)
        self.proxy.set_fault(f'{source}>{sink}', fault)

    def isolate(self, name: str) -> None:
        """Partition an instance from all others in both directions."""
        for other in self.instances:
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def stop_all(self) -> dict[str, int]:
        """Stop all instances gracefully and return the exit statuses."""
        return {
            name: self.instances[name].stop(_STOP_TIMEOUT_S)
            for name in self.list_running()
        }

    def list_breaches(self) -> list[str]:
        """Return the invariant breaches found in exit statuses and logs."""
        return [
            f'{process.name}: {breach}'
            for process in self.list_processes()
            for breach in _list_breaches(process)
        ]


def _list_breaches(process: ManagedProcess) -> Iterator[str]:
    process.is_running()
    for status in process.exits:
        if status == BREACH_EXIT_STATUS:
            yield f'exit status {status}'
    for line in process.read_log().splitlines():
        if _BREACH_MESSAGE in line:
            yield line
