"""Small tier under load for the integration tests of targets."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from testkit.runner import (
    CallerPlan,
    Deployment,
    InstancePlan,
    ServicePlan,
    TargetPlan,
    Tier,
    wait_until,
)
from tests.support._load import QueryLoad
from tests.support._queries import wait_answered
from tests.support._seeds import choose_seed
from tests.support._timeouts import WAIT_TIMEOUT_S

DOMAINS = ('a', 'b', 'c')
SLOTS = 3
# Allows for the owner, a frozen previous owner whose connections the kernel
# keeps open, and the administrative calls of the test.
_MAX_CONNECTIONS = 2 * (SLOTS + 1) + 2
_SERVICE_MS = 25
_WORKER_COUNT = 12
_ITEMS = 40


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
                connections=_MAX_CONNECTIONS,
                connect_ms=2,
                service_ms=_SERVICE_MS,
                cold_ms=cold_ms,
                partitions=services,
                held=(number,),
            )
            for number in range(services)
        ),
        callers=(CallerPlan('teller', 'platform', 'key', ('find',)),),
        # Hedging is off because a stand-in may free the slot of a cancelled
        # attempt late, which would count as an exceeded limit.
        classes={
            'find': {'mode': 'coverage', 'deadline_ms': 5000, 'hedge': False},
        },
        settings={
            'abort_on_breach': True,
            'max_attempt_ms': 1500,
        },
    )


class TraceLoad(QueryLoad):
    """Sends queries for a few items to all entries."""

    def __init__(self, tier: Tier, seed: int) -> None:
        super().__init__(tier, seed, _WORKER_COUNT, _draw_request, (0, 0.005))

    def wait_further(self, count: int) -> None:
        """Wait for complete answers to queries sent after the call."""
        since = time.monotonic()
        wait_until(
            lambda: self.count(since)['complete'] >= count,
            WAIT_TIMEOUT_S,
            f'{count} further complete answers',
        )


def _draw_request(generator: random.Random) -> dict[str, Any]:
    return _make_request(generator.randrange(_ITEMS))


def _make_request(item: int) -> dict[str, Any]:
    return {
        'group': 'trace',
        'class_name': 'find',
        'query': {'item': item},
        'limit': 1000,
    }


@contextmanager
def run_loaded(
    deployment: Deployment,
    **options: Any,
) -> Iterator[tuple[Tier, TraceLoad]]:
    """Run a tier under load after all entries answer completely."""
    seed = choose_seed()
    settings = {'seed': seed, **options.pop('settings', {})}
    with Tier(deployment, settings=settings, **options) as tier:
        tier.start()
        wait_answered(tier, tier.instances, _make_request(-1))
        load = TraceLoad(tier, seed)
        load.start()
        try:
            load.wait_further(200)
            yield tier, load
        finally:
            load.stop()
        load.check()
        assert not tier.list_breaches()
