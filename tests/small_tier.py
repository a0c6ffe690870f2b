"""A small tier under load, shared by the integration tests of targets."""

import json
import random
import secrets
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import urllib3

from shallotgate.cli import ServerUnreachableError, UnknownOutcomeError
from testkit.runner import (
    CallerPlan,
    Deployment,
    InstancePlan,
    ServicePlan,
    TargetPlan,
    Tier,
    wait_until,
)

DOMAINS = ('a', 'b', 'c')
SLOTS = 3
# Room for one owner, a frozen former owner whose connections stay open in
# the system, and the admin calls of the test.
CONNECTIONS = 2 * (SLOTS + 1) + 2
SERVICE_MS = 25
LIMIT_S = 60
# Stated bound of G4 and G8.
BOUND_S = 5
_WORKERS = 12
_ITEMS = 40
_TIMEOUT_S = 30


@dataclass(frozen=True)
class Exchange:
    """One answered query; the times are monotonic."""

    entry: str
    started: float
    ended: float
    answer: Mapping[str, Any]


def make_deployment(cold_ms: float = 0, services: int = 2) -> Deployment:
    """Return three entries and services of one target in each domain."""
    return Deployment(
        region='r',
        owner='platform',
        instances=tuple(
            InstancePlan(f'entry-{domain}', domain, control=True)
            for domain in DOMAINS
        ),
        services=tuple(
            ServicePlan(
                name=f'trace-{number}',
                group='trace',
                owner='platform',
                targets=tuple(
                    TargetPlan(f'trace-{number}-{domain}', domain)
                    for domain in DOMAINS
                ),
                slots=SLOTS,
                connections=CONNECTIONS,
                connect_ms=2,
                service_ms=SERVICE_MS,
                cold_ms=cold_ms,
                partitions=services,
                held=(number,),
            )
            for number in range(services)
        ),
        callers=(CallerPlan('teller', 'platform', 'key', ('find',)),),
        # Without hedges nothing is cancelled, so that no stand-in can be
        # late to notice that a slot is free.
        classes={
            'find': {'mode': 'coverage', 'deadline_ms': 5000, 'hedge': False},
        },
        settings={
            'abort_on_breach': True,
            'max_attempt_ms': 1500,
        },
    )


class Load:
    """Queries through all entries in rotation until stopped."""

    def __init__(self, tier: Tier, seed: int) -> None:
        self.seed = seed
        self.exchanges: list[Exchange] = []
        self.errors: list[str] = []
        self.entries = list(tier.instances)
        self._tier = tier
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._repeat,
                args=(random.Random(f'{seed}-{number}'),),
                daemon=True,
            )
            for number in range(_WORKERS)
        ]

    def start(self) -> None:
        """Start all workers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and wait for the queries under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join(_TIMEOUT_S)

    def send(self, entry: str, item: int) -> str:
        """Send a query and return its outcome; empty if not answered."""
        request = {
            'group': 'trace',
            'class_name': 'find',
            'query': {'item': item},
            'limit': 1000,
        }
        started = time.monotonic()
        client = self._tier.clients.caller(entry, 'teller')
        try:
            reply = client.call('POST', '/v1/query', request, _TIMEOUT_S)
        except (ServerUnreachableError, UnknownOutcomeError):
            return ''
        answer = reply.content
        self.exchanges.append(
            Exchange(entry, started, time.monotonic(), answer)
        )
        return str(answer.get('outcome'))

    def count(self, since: float) -> Counter[str]:
        """Return the outcomes of queries sent since a time."""
        return Counter(
            exchange.answer.get('outcome')
            for exchange in self.exchanges
            if exchange.started >= since
        )

    def wait_more(self, complete: int) -> None:
        """Wait for this many further complete answers."""
        since = time.monotonic()
        wait_until(
            lambda: self.count(since)['complete'] >= complete,
            LIMIT_S,
            f'{complete} further complete answers',
        )

    def _repeat(self, generator: random.Random) -> None:
        while not self._stop.wait(generator.uniform(0, 0.005)):
            entry = generator.choice(self.entries)
            try:
                self.send(entry, generator.randrange(_ITEMS))
            except Exception as error:
                self.errors.append(repr(error))


@contextmanager
def run_loaded(
    deployment: Deployment,
    **options: Any,
) -> Iterator[tuple[Tier, Load]]:
    """Run a tier whose entries all answer completely, and load on it."""
    seed = secrets.randbelow(10**6)
    print(f'seed {seed}')
    settings = {'seed': seed, **options.pop('settings', {})}
    with Tier(deployment, settings=settings, **options) as tier:
        tier.start()
        load = Load(tier, seed)
        for entry in tier.instances:
            wait_until(
                lambda entry=entry: load.send(entry, -1) == 'complete',
                LIMIT_S,
                f'complete answer of {entry}',
            )
        load.start()
        try:
            load.wait_more(200)
            yield tier, load
        finally:
            load.stop()
        assert not load.errors
        assert not tier.list_breaches()


def change_target(tier: Tier, name: str, **edits: Any) -> Counter[str]:
    """Change a stand-in and return its counters."""
    reply = urllib3.request(
        'POST',
        f'http://{tier.layout.listen_addresses[name]}/v1/admin',
        body=json.dumps(edits).encode(),
        headers={'Connection': 'close'},
        timeout=10,
        retries=False,
    )
    assert reply.status == 200, reply.data
    return Counter(reply.json()['counters'])


def restart_target(tier: Tier, name: str) -> None:
    """End a stand-in without notice and start it again."""
    tier.targets[name].kill()
    tier.targets[name].start()
    wait_until(lambda: is_listening(tier, name), LIMIT_S, f'{name} listens')


def is_listening(tier: Tier, name: str) -> bool:
    """Return whether a stand-in answers."""
    try:
        change_target(tier, name)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def check_limits(tier: Tier) -> None:
    """Check the counters of all stand-ins against the catalogue."""
    for name in tier.targets:
        seen = change_target(tier, name)
        # A stand-in sheds what exceeds its slots.
        assert seen['shed'] == 0, (name, seen)
        assert seen['most_busy'] <= SLOTS, (name, seen)
        assert seen['connections_refused'] == 0, (name, seen)
        assert seen['most_connections'] <= CONNECTIONS, (name, seen)
        assert seen['collapses'] == 0, (name, seen)


def read_owner(tier: Tier, reader: str, target: str) -> tuple[str, str]:
    """Return owner and ownership state of a target, as one entry sees it."""
    page = tier.clients.read(reader, '/v1/targets') or {'targets': ()}
    for row in page['targets']:
        ownership = row['ownership']
        if row['target'] == target and ownership:
            return ownership['instance'], ownership['state']
    return '', ''


def is_owned_by_others(tier: Tier, reader: str, former: str) -> bool:
    """Return whether all targets are held by entries other than one."""
    owners = [read_owner(tier, reader, name) for name in tier.targets]
    return all(state == 'held' and owner != former for owner, state in owners)


def wait_still(
    tier: Tier,
    names: list[str],
    since: float,
    disturb: Callable[[], None],
) -> None:
    """Check that stand-ins get no attempt once the stated bound has passed.

    ``disturb`` runs between the two readings of their counters.
    """
    time.sleep(max(since + BOUND_S - time.monotonic(), 0))
    first = _count_attempts(tier, names)
    disturb()
    assert _count_attempts(tier, names) == first


def _count_attempts(tier: Tier, names: list[str]) -> dict[str, list[int]]:
    """Return how many attempts each stand-in ran and refused as draining."""
    counters = {name: change_target(tier, name) for name in names}
    return {
        name: [seen['ran'], seen['draining']] for name, seen in counters.items()
    }
