"""Example deployment of a packhouse."""

import itertools

from testkit.deployments._parts import list_instances, list_shards
from testkit.runner import CallerPlan, Deployment

_DOMAINS = ('kalimati', 'bhaktapur', 'lalitpur', 'kirtipur')
_OWNER = 'platform'

PACKHOUSE = Deployment(
    region='bagmati',
    owner=_OWNER,
    instances=tuple(list_instances(_DOMAINS, count=7, control=3)),
    services=tuple(
        itertools.chain(
            list_shards(
                'trace-desk',
                10,
                _DOMAINS,
                replicas=3,
                slots=2,
                connections=25,
                connect_ms=6,
            ),
            list_shards(
                'grower-ledger',
                15,
                _DOMAINS,
                replicas=3,
                slots=2,
                connections=25,
                connect_ms=6,
            ),
            list_shards(
                'print-station',
                1,
                _DOMAINS,
                replicas=4,
                slots=6,
                connections=50,
                connect_ms=1,
            ),
            list_shards(
                'dispatch-board',
                1,
                _DOMAINS,
                replicas=4,
                slots=6,
                connections=50,
                connect_ms=1,
            ),
        )
    ),
    callers=(
        CallerPlan(
            'floor',
            _OWNER,
            'example-key-floor',
            ('floor-scan', 'print-label'),
        ),
        CallerPlan(
            'quality',
            _OWNER,
            'example-key-quality',
            ('recall-sweep',),
            rate_per_s=50,
            concurrent=8,
        ),
        CallerPlan(
            'dispatchers',
            _OWNER,
            'example-key-dispatchers',
            ('dispatch',),
            rate_per_s=200,
        ),
    ),
    classes={
        'floor-scan': {
            'mode': 'latency',
            'deadline_ms': 300,
            'soft_limit_ms': 80,
            'priority': 8,
        },
        # A recall sweep must cover every crate.
        'recall-sweep': {
            'mode': 'coverage',
            'deadline_ms': 10_000,
            'priority': 2,
        },
        # Printing a label twice would put it on two crates.
        'print-label': {
            'mode': 'coverage',
            'deadline_ms': 2000,
            'priority': 9,
            'hedge': False,
            'once_only': True,
        },
        'dispatch': {
            'mode': 'coverage',
            'deadline_ms': 1000,
            'priority': 7,
        },
    },
    cross_domain_latency_ms=0.5,
    caller_latency_ms=1,
)
