"""Example deployment of a clearing association."""

import itertools
from dataclasses import replace

from testkit.deployments._parts import list_instances, list_shards
from testkit.runner import CallerPlan, Deployment, ServicePlan

_DOMAINS = ('bc-lower-a', 'bc-lower-b', 'bc-lower-c')
_OWNER = 'platform'

CLEARING = Deployment(
    region='bc-lower',
    owner=_OWNER,
    instances=tuple(list_instances(_DOMAINS, count=7, control=3)),
    services=tuple(
        itertools.chain(
            list_shards(
                'tracedesk',
                10,
                _DOMAINS,
                replicas=3,
                slots=3,
                connections=30,
                connect_ms=6,
            ),
            list_shards(
                'stopline',
                15,
                _DOMAINS,
                replicas=3,
                slots=3,
                connections=30,
                connect_ms=6,
            ),
            list_shards(
                'auditvault',
                1,
                _DOMAINS,
                replicas=5,
                slots=6,
                connections=110,
                connect_ms=1,
            ),
            list_shards(
                'reconbook',
                1,
                _DOMAINS,
                replicas=3,
                slots=6,
                connections=110,
                connect_ms=1,
            ),
        )
    ),
    callers=(
        CallerPlan('tellers', _OWNER, 'example-key-tellers', ('teller',)),
        CallerPlan(
            'fraud-screening',
            _OWNER,
            'example-key-fraud-screening',
            ('fraud-screening',),
            rate_per_s=2000,
        ),
        CallerPlan(
            'reconciling',
            _OWNER,
            'example-key-reconciling',
            ('reconciling',),
            rate_per_s=200,
        ),
        CallerPlan(
            'stop-desk',
            _OWNER,
            'example-key-stop-desk',
            ('stop-payment', 'stop-search'),
            rate_per_s=200,
        ),
        CallerPlan(
            'auditors',
            _OWNER,
            'example-key-auditors',
            ('audit-pull',),
            rate_per_s=20,
            concurrent=8,
        ),
    ),
    classes={
        'teller': {
            'mode': 'coverage',
            'deadline_ms': 1500,
            'priority': 7,
        },
        'fraud-screening': {
            'mode': 'coverage',
            'deadline_ms': 400,
            'priority': 8,
        },
        'reconciling': {
            'mode': 'coverage',
            'deadline_ms': 5000,
            'priority': 3,
        },
        'stop-search': {
            'mode': 'coverage',
            'deadline_ms': 1500,
            'priority': 8,
        },
        # Logging a stop-payment twice is an error, so it is never retried
        # here; a caller that needs the outcome resends with the same key.
        'stop-payment': {
            'mode': 'coverage',
            'deadline_ms': 2000,
            'priority': 9,
            'hedge': False,
            'once_only': True,
        },
        'audit-pull': {
            'mode': 'coverage',
            'deadline_ms': 20_000,
            'priority': 1,
            'queue_limit': 16,
        },
    },
    cross_domain_latency_ms=1.5,
    caller_latency_ms=3,
)


def make_small_clearing(
    *,
    entries: int = 4,
    tracedesk: int = 3,
    stopline: int = 1,
) -> Deployment:
    """Return the clearing deployment reduced in services and instances."""
    counts = {'tracedesk': tracedesk, 'stopline': stopline}
    services: list[ServicePlan] = []
    for group, count in counts.items():
        kept = [entry for entry in CLEARING.services if entry.group == group]
        services.extend(
            replace(service, partitions=count) for service in kept[:count]
        )
    return replace(
        CLEARING,
        instances=CLEARING.instances[:entries],
        services=tuple(services),
    )
