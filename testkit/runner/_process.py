"""Processes that a test starts and ends."""

import itertools
import json
import os
import signal
import socket
import subprocess  # noqa: S404 - runs the interpreter only
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

_ANY_HOST = '127.0.0.1'
# Below the range from which the system takes ports of outgoing connections:
# one of those could hold the port of a process that is being restarted.
_PORTS = range(20000, 32000)
_KILL_LIMIT_S = 10
_PORT_STRIDE = 97
# Test processes that run at the same time start at different ports.
_first_port = os.getpid() * _PORT_STRIDE % len(_PORTS)
_next_port = itertools.cycle(
    (*_PORTS[_first_port:], *_PORTS[:_first_port]),
)


class ManagedProcess:
    """One process, its log file and how it ended each time."""

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log_path: Path,
    ) -> None:
        self.name = name
        # Exit status of each run that ended; negative for a signal.
        self.exits: list[int] = []
        self._arguments = arguments
        self._log_path = log_path
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        if self._process is None:
            raise ProcessLookupError(f'{self.name} does not run')
        return self._process.pid

    def start(self) -> None:
        """Start the process; it appends to its log file."""
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # A crash in native code leaves the stacks of all threads.
                env=os.environ | {'PYTHONFAULTHANDLER': '1'},
            )

    def is_running(self) -> bool:
        """Return whether it runs; a frozen process does."""
        if self._process is None:
            return False
        status = self._process.poll()
        if status is None:
            return True
        self._end(status)
        return False

    def stop(self, limit_s: float = 30) -> int:
        """Ask it to end and return the exit status."""
        self.terminate()
        return self.wait(limit_s)

    def terminate(self) -> None:
        """Ask it to end, without waiting."""
        self._signal(signal.SIGTERM)

    def wait(self, limit_s: float) -> int:
        """Wait for its end and return the exit status."""
        if self._process is not None:
            self._end(self._process.wait(limit_s))
        return self.exits[-1]

    def kill(self) -> None:
        """End it without notice."""
        if self.is_running():
            self._signal(signal.SIGKILL)
            self.wait(_KILL_LIMIT_S)

    def freeze(self) -> None:
        """Stop it from running, as a long pause of the host does."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process run on."""
        self._signal(signal.SIGCONT)

    def read_log(self) -> str:
        """Return the log of all runs."""
        if not self._log_path.exists():
            return ''
        return self._log_path.read_text(encoding='utf-8', errors='replace')

    def list_log_records(self) -> Iterator[dict[str, Any]]:
        """Yield the JSON lines of the log."""
        for line in self.read_log().splitlines():
            if line.startswith('{') and line.endswith('}'):
                yield json.loads(line)

    def _signal(self, number: int) -> None:
        if self._process is None:
            raise ProcessLookupError(f'{self.name} does not run')
        self._process.send_signal(number)

    def _end(self, status: int) -> None:
        self.exits.append(status)
        self._process = None


def choose_address() -> str:
    """Return a free loopback address."""
    for port in itertools.islice(_next_port, len(_PORTS)):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_ANY_HOST, port))
            except OSError:
                continue
        return f'{_ANY_HOST}:{port}'
    raise OSError('no free port')
