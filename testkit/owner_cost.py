"""CPU time of the owner path against a bare loop.

``python -m testkit.owner_cost`` starts one stand-in target and sends the same
attempts over as many connections in three ways, in turn and several times:
a bare loop of urllib3's connection class, the same loop without urllib3's
response wrapper, and the whole owner path from ``submit`` to the reply. It
prints the CPU time of this process for each attempt; that of the stand-in is
not in it. With ``--idle-targets N`` it measures instead what it costs to own
targets that are idle, and targets that each get one attempt in a while.
"""

import contextlib
import math
import queue
import statistics
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from http import client as http_client
from types import MappingProxyType

import defopt
import msgspec
from urllib3.connection import HTTPConnection

from shallotgate.generated.catalogue import Catalogue, Service, Target
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    Done,
    Ownership,
    Versions,
)
from shallotgate.generated.settings import Policy
from shallotgate.membership import TierView, View, list_places
from shallotgate.metrics import Metrics
from shallotgate.targets import HttpTargetConnector, OwnedTargets
from shallotgate.timers import TimerService
from testkit.standin import StandinProcess

_US_PER_S = 1_000_000
_TIMEOUT_S = 10.0
_VERSION = 7
# Time for replies to be no longer recent.
_SETTLE_S = 5.0
_ATTEMPT_PERIODS_S = (math.inf, 1.0, 0.25)
_RUN_PATH = '/v1/run'
_POST = 'POST'

Call = Callable[[HTTPConnection, bytes], bytes]


class _Lease:
    def remaining_s(self) -> float:
        return _TIMEOUT_S


class _Commands:
    def propose(self, command: object, timeout_s: float) -> object:
        """Accept a command; none is expected."""
        return Done(changed=False)


def _make_attempt(number: int, target: str = 't') -> Attempt:
    return Attempt(
        attempt_id=f'attempt-{number}',
        request_id=f'request-{number}',
        target=target,
        epoch=1,
        group='g',
        service='s',
        partition=2,
        index_version=_VERSION,
        class_name='c',
        digest=f'digest-{number}',
        body=b'{"item":"cheque-7"}',
        limit=100,
        time_left_ms=_TIMEOUT_S * 1000,
    )


def _make_body(attempt: Attempt) -> bytes:
    return msgspec.json.encode(
        {
            'attempt_id': attempt.attempt_id,
            'request_id': attempt.request_id,
            'partition': attempt.partition,
            'index_version': attempt.index_version,
            'limit': attempt.limit,
            'deadline_ms': attempt.time_left_ms,
            'once_only': False,
            'query': msgspec.Raw(attempt.body),
        },
    )


def _call_urllib3(connection: HTTPConnection, body: bytes) -> bytes:
    connection.request(_POST, _RUN_PATH, body=body)
    return connection.getresponse().data


def _call_plain(connection: HTTPConnection, body: bytes) -> bytes:
    connection.putrequest(_POST, _RUN_PATH, skip_accept_encoding=True)
    connection.putheader('Content-Length', str(len(body)))
    connection.endheaders(body)
    return http_client.HTTPConnection.getresponse(connection).read()


def _loop_bare(
    port: int,
    attempts: int,
    call: Call,
    ready: threading.Barrier,
) -> None:
    connection = HTTPConnection('127.0.0.1', port, timeout=_TIMEOUT_S)
    connection.connect()
    ready.wait()
    for number in range(attempts):
        attempt = _make_attempt(number)
        msgspec.json.decode(call(connection, _make_body(attempt)))
    connection.close()


def _run_bare(
    port: int,
    connections: int,
    attempts: int,
    call: Call,
) -> float:
    """Return the CPU seconds of a bare loop on each connection."""
    ready = threading.Barrier(connections + 1)
    share = attempts // connections
    threads = [
        threading.Thread(target=_loop_bare, args=(port, share, call, ready))
        for _ in range(connections)
    ]
    for thread in threads:
        thread.start()
    ready.wait()
    started = time.process_time()
    for thread in threads:
        thread.join()
    return time.process_time() - started


def _run_owner(
    owned: OwnedTargets,
    connections: int,
    attempts: int,
) -> float:
    """Return the CPU seconds of the owner path at the same concurrency."""
    replies: queue.SimpleQueue[AttemptReply] = queue.SimpleQueue()
    started = time.process_time()
    for number in range(attempts + connections):
        if number >= connections:
            reply = replies.get(timeout=_TIMEOUT_S)
            if reply.status != 'ok':
                raise RuntimeError(f'{reply.status}: {reply.reason}')
        if number < attempts:
            owned.submit(_make_attempt(number), replies.put)
    return time.process_time() - started


def _make_view(address: str, slots: int, names: Sequence[str]) -> View:
    targets = [
        Target(
            name=name,
            address=address,
            domain='d',
            slots=slots,
            connections=slots + 2,
        )
        for name in names
    ]
    service = Service(owner='o', group='g', targets=targets)
    catalogue = Catalogue(version=1, services={'s': service})
    ownership = {
        name: Ownership(
            target=name,
            instance='i',
            start_id='i-1',
            epoch=1,
            state='held',
        )
        for name in names
    }
    return View(
        catalogue=catalogue,
        ownership=MappingProxyType(ownership),
        quarantine=MappingProxyType({}),
        instances=MappingProxyType({}),
        versions=Versions(),
        places=list_places(catalogue),
    )


def _open_owner(view: TierView, timers: TimerService) -> OwnedTargets:
    owned = OwnedTargets(
        view,
        _Lease(),
        HttpTargetConnector(),
        _Commands(),
        timers,
        Metrics(),
        Policy(cold_start=False),
        'i',
        'i-1',
        on_release=lambda release: None,
    )
    owned.start()
    return owned


def _print_costs(costs: Mapping[str, list[float]]) -> None:
    base_us = statistics.median(costs['bare urllib3'])
    for name, samples in costs.items():
        median_us = statistics.median(samples)
        sys.stdout.write(
            f'{name}: {median_us:.0f} us CPU for each attempt '
            f'(median of {len(samples)}; {min(samples):.0f} to '
            f'{max(samples):.0f}), {median_us / base_us:.2f} of bare urllib3\n',
        )


def main(
    *,
    slots: int = 3,
    attempts: int = 3000,
    rounds: int = 5,
    service_ms: float = 1,
    idle_targets: int = 0,
    seconds: float = 20,
) -> None:
    """Measure and print the costs.

    :param slots: Connections in use at once.
    :param attempts: Attempts in each round.
    :param rounds: Rounds of each way, taken in turn.
    :param service_ms: Service time of the stand-in in milliseconds.
    :param idle_targets: Measure the cost of this many owned targets instead.
    :param seconds: Time of that measurement for each rate of attempts.
    """
    names = [f't-{number}' for number in range(idle_targets)] or ['t']
    standin = StandinProcess(
        't',
        [
            f'--slots={slots}',
            f'--service-ms={service_ms}',
            f'--connections={len(names) * (slots + 2)}',
            '--versions',
            f'{_VERSION}:4:0,2',
        ],
    )
    standin.start()
    timers = TimerService()
    timers.start()
    view = TierView()
    view.replace(_make_view(standin.address, slots, names))
    owned = _open_owner(view, timers)
    with contextlib.ExitStack() as stack:
        for stop in (standin.stop, timers.stop, owned.stop):
            stack.callback(stop)
        if idle_targets:
            _print_idle_costs(owned, names, seconds)
        else:
            samples = _measure(standin.port, owned, slots, attempts, rounds)
            _print_costs(samples)


def _print_idle_costs(
    owned: OwnedTargets,
    names: Sequence[str],
    seconds: float,
) -> None:
    for every_s in _ATTEMPT_PERIODS_S:
        spent_s, sent = _run_spread(owned, names, seconds, every_s)
        work = f'{sent} attempts' if sent else 'idle'
        sys.stdout.write(
            f'{len(names)} targets for {seconds:.0f} s, {work}: '
            f'{spent_s / seconds:.2%} of a core\n',
        )


def _run_spread(
    owned: OwnedTargets,
    names: Sequence[str],
    seconds: float,
    every_s: float,
) -> tuple[float, int]:
    """Return CPU seconds and attempts; each target has one in ``every_s``."""
    replies: queue.SimpleQueue[AttemptReply] = queue.SimpleQueue()
    # Connections are opened before the measurement.
    for number, name in enumerate(names):
        owned.submit(_make_attempt(number, name), replies.put)
        replies.get(timeout=_TIMEOUT_S)
    time.sleep(_SETTLE_S)
    sent = 0
    started = time.process_time()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if every_s == math.inf:
            time.sleep(seconds)
            break
        owned.submit(_make_attempt(sent, names[sent % len(names)]), replies.put)
        sent += 1
        time.sleep(every_s / len(names))
    return time.process_time() - started, sent


def _measure(
    port: int,
    owned: OwnedTargets,
    slots: int,
    attempts: int,
    rounds: int,
) -> Mapping[str, list[float]]:
    """Return the samples of each way in microseconds."""
    costs: dict[str, list[float]] = {
        'bare urllib3': [],
        'bare http.client': [],
        'owner path': [],
    }
    scale = _US_PER_S / attempts
    ways = (('bare urllib3', _call_urllib3), ('bare http.client', _call_plain))
    for _ in range(rounds):
        for name, call in ways:
            spent_s = _run_bare(port, slots, attempts, call)
            costs[name].append(spent_s * scale)
        spent_s = _run_owner(owned, slots, attempts)
        costs['owner path'].append(spent_s * scale)
    return costs


if __name__ == '__main__':
    defopt.run(main)
