"""A stand-in target as a child process."""

import subprocess  # noqa: S404 - starts this package only
import sys
from collections.abc import Sequence
from typing import Any

import msgspec
import urllib3

_STOP_TIMEOUT_S = 10
_HOST = '127.0.0.1'


class StandinProcess:
    """Starts a stand-in, changes its behaviour and stops it."""

    def __init__(self, name: str, options: Sequence[str] = ()) -> None:
        self.name = name
        self._options = tuple(options)
        self.port = 0
        self._process: subprocess.Popen[str] | None = None

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'{_HOST}:{self.port}'

    def start(self) -> None:
        """Start, on the former port if there was one, and wait."""
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'testkit.standin',
                f'--name={self.name}',
                f'--port={self.port}',
                *self._options,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None  # noqa: S101 - for mypy
        self.port = int(self._process.stdout.readline())

    def stop(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(_STOP_TIMEOUT_S)
            if self._process.stdout is not None:
                self._process.stdout.close()
            self._process = None

    def has_exited(self) -> bool:
        """Return whether the process has ended by itself."""
        return self._process is None or self._process.poll() is not None

    def change(self, **edits: Any) -> dict[str, Any]:
        """Change the behaviour and return the counters."""
        response = urllib3.request(
            'POST',
            f'http://{self.address}/v1/admin',
            body=msgspec.json.encode(edits),
            retries=False,
            timeout=_STOP_TIMEOUT_S,
            headers={'Connection': 'close'},
        )
        if response.status != 200:
            raise ValueError(response.data.decode())
        content: dict[str, Any] = msgspec.json.decode(response.data)
        return content
