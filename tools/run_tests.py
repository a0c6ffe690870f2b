"""Run pytest, passing over exactly the tests that KNOWN-RED.txt lists."""

import os
import shutil
import subprocess  # noqa: S404 - runs pytest only
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MOUNTS = Path('/proc/mounts')
# Least free space of a file system in memory that tests may use, in bytes.
MIN_FREE_BYTES = 2 * 1024**3
PREFIX = 'test:'
# Each worker may run a deployment of some twenty processes.
WORKERS = 3


def read_known_red() -> list[str]:
    """Return the pytest node ids of the known failing tests."""
    return [
        line.removeprefix(PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(PREFIX)
    ]


def find_memory_folder() -> str | None:
    """Return a writable file system in memory, None without one."""
    if not MOUNTS.exists():
        return None
    for line in MOUNTS.read_text().splitlines():
        _, folder, kind, *_ = line.split()
        if kind != 'tmpfs' or not os.access(folder, os.W_OK):
            continue
        if shutil.disk_usage(folder).free > MIN_FREE_BYTES:
            return folder
    return None


def make_environment() -> dict[str, str]:
    """Return the environment of the tests.

    Temporary files go to memory where that is possible: on a shared disk a
    sync of one of several test processes was seen to take 50 to 120 ms, so
    that groups of members found no leader in time, on any version.
    """
    environment = dict(os.environ)
    folder = find_memory_folder()
    if folder is not None:
        environment.setdefault('TMPDIR', folder)
    return environment


def main() -> int:
    """Run the tests and print the ones that are passed over."""
    known = read_known_red()
    for node in known:
        sys.stdout.write(f'known red, not run: {node}\n')
    # Tests of one file share their processes, so a file stays on one worker.
    spread = ('-n', str(WORKERS), '--dist', 'loadfile')
    command = [sys.executable, '-m', 'pytest', '-m', 'not slow', *spread]
    command.extend(f'--deselect={path}' for path in known)
    command.extend(sys.argv[1:])
    return subprocess.run(
        command,
        cwd=ROOT,
        env=make_environment(),
        check=False,
    ).returncode


if __name__ == '__main__':
    sys.exit(main())
