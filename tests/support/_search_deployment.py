"""Deployment with a searched group and a group for once-only requests."""

from collections.abc import Sequence

from testkit.runner import (
    CallerPlan,
    Deployment,
    InstancePlan,
    ServicePlan,
    TargetPlan,
)

SEARCH_GROUP = 'find'
LABEL_GROUP = 'labels'
PARTITIONS = 3
SERVICE_MS = 5
_DEADLINE_MS = 3000
_DOMAINS = ('north', 'south', 'west')


def _make_service(
    name: str,
    group: str,
    partitions: int,
    held: Sequence[int],
) -> ServicePlan:
    return ServicePlan(
        name=name,
        group=group,
        owner='admin',
        targets=tuple(
            TargetPlan(f'{name}-{domain}', domain) for domain in _DOMAINS
        ),
        slots=3,
        connections=30,
        connect_ms=1,
        service_ms=SERVICE_MS,
        partitions=partitions,
        held=tuple(held),
    )


def make_search_deployment(once_services: int = 0) -> Deployment:
    """Return a deployment of three entries, all of them control members."""
    coverage = {'mode': 'coverage', 'deadline_ms': _DEADLINE_MS}
    classes = {
        'screened': coverage,
        'plain': coverage | {'screen': False},
        'once': coverage | {'once_only': True, 'hedge': False},
    }
    services = [
        _make_service(f'find-{number}', SEARCH_GROUP, PARTITIONS, (number,))
        for number in range(PARTITIONS)
    ]
    services.extend(
        _make_service(f'labels-{number}', LABEL_GROUP, 0, ())
        for number in range(once_services)
    )
    return Deployment(
        region='test',
        owner='admin',
        instances=tuple(
            InstancePlan(f'entry-{domain}', domain, control=True)
            for domain in _DOMAINS
        ),
        services=tuple(services),
        callers=(CallerPlan('desk', 'admin', 'key-of-desk', tuple(classes)),),
        classes=classes,
    )
