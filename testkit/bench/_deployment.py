"""Deployment that the bench runs: the clearing search, reduced."""

from collections.abc import Mapping
from typing import Any

from testkit.bench._scenario import Scenario
from testkit.runner import (
    CallerPlan,
    Deployment,
    InstancePlan,
    ServicePlan,
    TargetPlan,
)

GROUP = 'tracedesk'
CALLER = 'tellers'
_DOMAINS = ('bc-lower-a', 'bc-lower-b', 'bc-lower-c')
_CONTROL_MEMBERS = 3
_SLOTS = 3
_CONNECTIONS = 30
_CONNECT_MS = 6
_DEADLINE_MS = 2000
_SOFT_LIMIT_MS = 250
_MS_PER_S = 1000


def make_deployment(
    scenario: Scenario,
    settings: Mapping[str, Any],
) -> Deployment:
    """Return the deployment of a scenario."""
    policy = {'deadline_ms': _DEADLINE_MS, 'soft_limit_ms': _SOFT_LIMIT_MS}
    return Deployment(
        region='bc-lower',
        owner='admin',
        instances=_list_instances(scenario),
        services=tuple(
            _make_service(number, scenario)
            for number in range(scenario.services)
        ),
        callers=(
            CallerPlan(
                name=CALLER,
                owner='admin',
                key='bench-key',
                classes=('teller', 'scanner'),
                rate_per_s=10_000,
                concurrent=512,
            ),
        ),
        classes={
            'teller': policy | {'mode': 'coverage', 'priority': 7},
            'scanner': policy | {'mode': 'latency', 'priority': 7},
        },
        settings=settings,
    )


def _list_instances(scenario: Scenario) -> tuple[InstancePlan, ...]:
    is_shared = not scenario.separate_control
    entries = tuple(
        InstancePlan(
            name=f'entry-{number + 1}',
            domain=_DOMAINS[number % len(_DOMAINS)],
            control=is_shared and number < _CONTROL_MEMBERS,
        )
        for number in range(scenario.entries)
    )
    if is_shared:
        return entries
    members = tuple(
        InstancePlan(
            name=f'control-{number + 1}',
            domain=_DOMAINS[number],
            entry=False,
            control=True,
        )
        for number in range(_CONTROL_MEMBERS)
    )
    return entries + members


def read_capacity(scenario: Scenario) -> float:
    """Return the queries per second at which all slots are busy.

    >>> read_capacity(Scenario('x', 'y', 1, 1, service_ms=60))
    150.0
    """
    slots = _SLOTS * len(_DOMAINS)
    return slots * _MS_PER_S / scenario.service_ms


def _make_service(number: int, scenario: Scenario) -> ServicePlan:
    name = f'{GROUP}-{number + 1:02d}'
    return ServicePlan(
        name=name,
        group=GROUP,
        owner='admin',
        targets=tuple(
            TargetPlan(name=f'{name}-{domain[-1]}', domain=domain)
            for domain in _DOMAINS
        ),
        slots=_SLOTS,
        connections=_CONNECTIONS,
        connect_ms=_CONNECT_MS,
        service_ms=scenario.service_ms,
        partitions=scenario.services,
        held=(number,),
    )
