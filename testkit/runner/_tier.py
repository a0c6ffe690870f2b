"""All processes of a deployment."""

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

_START_LIMIT_S = 60
_STOP_LIMIT_S = 30
_NO_SETTINGS: Mapping[str, Any] = MappingProxyType({})
_BREACH_MESSAGE = 'Invariant broken.'


class Tier:
    """Runs the instances and stand-in targets of a deployment.

    Ends only processes that it started. Files are removed at the end unless
    the run failed.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        proxied: bool = False,
        settings: Mapping[str, Any] = _NO_SETTINGS,
    ) -> None:
        """Write all files; ``settings`` go to all instances."""
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
        """Start everything, wait until ready and install the catalogue."""
        for process in self.list_processes():
            process.start()
        self.wait_ready(*self.instances)
        edits = make_catalogue_edits(self.deployment, self.layout.target_routes)
        self.change(edits, 'install the deployment')

    def close(self, *, keep_files: bool = False) -> None:
        """End all processes and remove the files."""
        for process in self.list_processes():
            process.kill()
        self.proxy.close()
        if not keep_files:
            shutil.rmtree(self.folder, ignore_errors=True)

    def list_processes(self) -> tuple[ManagedProcess, ...]:
        """Return all processes, targets first."""
        return (*self.targets.values(), *self.instances.values())

    def list_running(self) -> list[str]:
        """Return the instances that run."""
        return [
            name
            for name, process in self.instances.items()
            if process.is_running()
        ]

    def wait_ready(self, *names: str, limit_s: float = _START_LIMIT_S) -> None:
        """Wait until the named instances are ready."""
        wait_until(
            lambda: all(map(self.clients.is_ready, names)),
            limit_s,
            f'{", ".join(names)} ready',
        )

    def change(self, edits: list[dict[str, Any]], reason: str) -> int:
        """Make a catalogue change, wait until in force, return its version."""
        running = self.list_running()
        version = self.clients.change(running[0], edits, reason)
        self.clients.wait_for_version(version, running)
        return version

    def restart(self, name: str) -> None:
        """Start an instance that ended and wait until it is ready."""
        self.instances[name].start()
        self.wait_ready(name)

    def wipe(self, name: str) -> None:
        """Remove the data folder of an instance that does not run."""
        if self.instances[name].is_running():
            raise AssertionError(f'{name} runs')
        shutil.rmtree(self.folder / 'data' / name)

    def cut(self, source: str, sink: str) -> None:
        """Drop silently what an instance sends to another."""
        fault = Fault(drop_forward=True, drop_backward=True)
        self.proxy.set_fault(f'{source}>{sink}', fault)

    def isolate(self, name: str) -> None:
        """Cut an instance off from all others in both directions."""
        for other in self.instances:
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def stop_all(self) -> dict[str, int]:
        """Stop all instances gracefully and return their exit status."""
        return {
            name: self.instances[name].stop(_STOP_LIMIT_S)
            for name in self.list_running()
        }

    def list_breaches(self) -> list[str]:
        """Return each invariant breach of any process."""
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
