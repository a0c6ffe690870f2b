"""Measures restart time, commit latency and syncs per commit.

Run it as ``python -m testkit.restart_bench``. All members run in this process
on loopback ports, so the figures hold for one machine only.
"""

import contextlib
import random
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import repeat
from pathlib import Path

import defopt

from shallotgate.consensus import ReplicatedLog
from shallotgate.generated.settings import Member
from shallotgate.timers import TimerService
from shallotgate.transport import Mailbox

_COMMAND_BYTES = 300
_CHANGES = (1000, 10_000)
_PROPOSERS = (1, 32)
_PROPOSALS = 2000
_LOADERS = 32
_TIMEOUT_S = 10.0
_POLL_S = 0.001
_MS_PER_S = 1000
_MEMBERS = ('a', 'b', 'c')


class _ListMachine:
    """Keeps all commands, so that a snapshot holds them all."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> object:
        self.commands.append(command)
        return index

    def snapshot(self) -> bytes:
        return b''.join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        self.commands = [
            snapshot[start : start + _COMMAND_BYTES]
            for start in range(0, len(snapshot), _COMMAND_BYTES)
        ]


@dataclass(frozen=True)
class _Node:
    """One started member."""

    mailbox: Mailbox
    machine: _ListMachine
    log: ReplicatedLog

    def stop(self) -> None:
        """Stop member and mailbox."""
        self.log.stop()
        self.mailbox.stop()


@dataclass(frozen=True)
class _Load:
    """Outcome of a run of proposals."""

    latencies_ms: Sequence[float]
    syncs: int

    def read_quantile_ms(self, percent: int) -> float:
        """Return a quantile of the commit latency."""
        return statistics.quantiles(self.latencies_ms, n=100)[percent - 1]


def _find_free_address() -> str:
    # Below the range of outgoing connections, which may take a port meanwhile.
    chooser = random.SystemRandom()
    while True:
        port = chooser.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'


def _start(
    timers: TimerService,
    folder: Path,
    members: Sequence[Member],
    member: Member,
) -> _Node:
    mailbox = Mailbox(
        member.instance,
        str(time.monotonic_ns()),
        member.address,
    )
    machine = _ListMachine()
    log = ReplicatedLog(
        mailbox,
        timers,
        machine,
        folder / member.instance,
        member.instance,
        members,
        bootstrap=True,
    )
    node = _Node(mailbox, machine, log)
    mailbox.start()
    log.start()
    return node


@contextlib.contextmanager
def _run_group(folder: Path, names: Sequence[str]) -> Iterator[list[_Node]]:
    timers = TimerService()
    timers.start()
    members = [
        Member(instance=name, address=_find_free_address()) for name in names
    ]
    nodes = [_start(timers, folder, members, each) for each in members]
    try:
        yield nodes
    finally:
        for node in nodes:
            node.stop()
        timers.stop()


def _await_leader(nodes: Sequence[_Node]) -> _Node:
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        for node in nodes:
            if node.log.is_leading():
                return node
        time.sleep(_POLL_S)
    raise TimeoutError('no leader was elected')


def _measure_one(log: ReplicatedLog, command: bytes) -> float:
    started = time.perf_counter()
    log.propose(command, _TIMEOUT_S)
    return (time.perf_counter() - started) * _MS_PER_S


def _measure_load(log: ReplicatedLog, proposers: int, count: int) -> _Load:
    commands = repeat(bytes(_COMMAND_BYTES), count)
    syncs_before = log.status().log_syncs
    with ThreadPoolExecutor(proposers) as pool:
        latencies_ms = list(pool.map(partial(_measure_one, log), commands))
    return _Load(latencies_ms, log.status().log_syncs - syncs_before)


def _report_restart(changes: int) -> str:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with _run_group(folder, _MEMBERS[:1]) as filled:
            _measure_load(_await_leader(filled).log, _LOADERS, changes)
        started = time.perf_counter()
        with _run_group(folder, _MEMBERS[:1]) as restarted:
            loaded_ms = (time.perf_counter() - started) * _MS_PER_S
            leader = _await_leader(restarted)
            serving_ms = (time.perf_counter() - started) * _MS_PER_S
            held = len(leader.machine.commands)
    if held != changes:
        raise RuntimeError(f'{held} of {changes} changes after the restart')
    return (
        f'restart after {changes} changes: loaded in {loaded_ms:.1f} ms,'
        f' leading in {serving_ms:.1f} ms (one member)'
    )


def _report_latency(proposers: int, count: int) -> str:
    with (
        tempfile.TemporaryDirectory() as name,
        _run_group(Path(name), _MEMBERS) as nodes,
    ):
        load = _measure_load(_await_leader(nodes).log, proposers, count)
    median_ms = load.read_quantile_ms(50)
    high_ms = load.read_quantile_ms(99)
    return (
        f'{proposers} proposers, {count} commits: p50 {median_ms:.2f} ms,'
        f' p99 {high_ms:.2f} ms, {load.syncs / count:.3f} leader syncs per'
        ' commit (three members)'
    )


def main(*, proposals: int = _PROPOSALS) -> None:
    """Print the figures.

    :param proposals: Number of commits for each latency figure.
    """
    for changes in _CHANGES:
        sys.stdout.write(f'{_report_restart(changes)}\n')
    for proposers in _PROPOSERS:
        sys.stdout.write(f'{_report_latency(proposers, proposals)}\n')


if __name__ == '__main__':
    defopt.run(main)
