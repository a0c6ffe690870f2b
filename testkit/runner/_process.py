"""Child processes that are started, signalled and stopped by a test."""

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

_LOOPBACK_HOST = '127.0.0.1'
# Below the ephemeral port range: an outgoing connection could otherwise occupy
# the port of a process that is being restarted.
_PORTS = range(20000, 32000)
_KILL_TIMEOUT_S = 10
_PORT_STRIDE = 97
# Derived from the process id, so that parallel test workers start at
# different ports.
_first_port = os.getpid() * _PORT_STRIDE % len(_PORTS)
_next_port = itertools.cycle(
    (*_PORTS[_first_port:], *_PORTS[:_first_port]),
)


class ManagedProcess:
    """A child process with its log file and the exit status of each run."""

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
        """Return the process id; raise if the process is not running."""
        if self._process is None:
            raise ProcessLookupError(f'{self.name} is not running')
        return self._process.pid

    def start(self) -> None:
        """Start the process with its output appended to the log file."""
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Dumps the stacks of all threads on a crash in native code.
                env=os.environ | {'PYTHONFAULTHANDLER': '1'},
            )

    def is_running(self) -> bool:
        """Return whether the process is running, even if frozen."""
        if self._process is None:
            return False
        status = self._process.poll()
        if status is None:
            return True
        self._record_exit(status)
        return False

    def stop(self, timeout_s: float = 30) -> int:
        """Send SIGTERM, wait for the exit and return the exit status."""
        self.terminate()
        return self.wait(timeout_s)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the exit."""
        self._send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its exit status."""
        if self._process is not None:
            self._record_exit(self._process.wait(timeout_s))
        return self.exits[-1]

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        if self.is_running():
            self._send_signal(signal.SIGKILL)
            self.wait(_KILL_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, as a long host pause would."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self._send_signal(signal.SIGCONT)

    def read_log(self) -> str:
        """Return the log of all runs, empty if there is none."""
        if not self._log_path.exists():
            return ''
        return self._log_path.read_text(encoding='utf-8', errors='replace')

    def list_log_records(self) -> Iterator[dict[str, Any]]:
        """Yield the parsed JSON records of the log."""
        for line in self.read_log().splitlines():
            if line.startswith('{') and line.endswith('}'):
                yield json.loads(line)

    def _send_signal(self, number: int) -> None:
        if self._process is None:
            raise ProcessLookupError(f'{self.name} is not running')
        self._process.send_signal(number)

    def _record_exit(self, status: int) -> None:
        self.exits.append(status)
        self._process = None


def choose_address() -> str:
    """Return a loopback address whose port can be bound."""
    for port in itertools.islice(_next_port, len(_PORTS)):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_LOOPBACK_HOST, port))
            except OSError:
                continue
        return f'{_LOOPBACK_HOST}:{port}'
    raise OSError('no free port on the loopback interface')
