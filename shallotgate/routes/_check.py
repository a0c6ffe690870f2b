"""Validation of routing tables."""

import math
from collections.abc import Iterator

from shallotgate.errors import Finding, FindingsError
from shallotgate.routes._account_check import iter_account_faults
from shallotgate.routes._index import normalize_host
from shallotgate.routes._table import Route, RoutingTable

# Versions are stored as signed integers of 64 bits.
_MAX_VERSION = 2**63 - 1


def check_table(table: RoutingTable) -> None:
    """Raise ``FindingsError`` with all faults of a table.

    >>> route = Route('r', 'a.example', '/x/', True, timeout_ms=0,
    ...               objective_ms=10)
    >>> check_table(RoutingTable(1, (route,)))
    Traceback (most recent call last):
    shallotgate.errors._tree.FindingsError: table: r: the timeout must be \
positive
    table: r: names no service
    """
    findings = [
        Finding('table', path, reason) for path, reason in _iter_faults(table)
    ]
    if findings:
        raise FindingsError(findings)


def _iter_faults(table: RoutingTable) -> Iterator[tuple[str, str]]:
    if not 0 <= table.version <= _MAX_VERSION:
        yield 'version', f'must be from 0 to {_MAX_VERSION}'
    known = {service.name for service in table.services}
    if len(known) < len(table.services):
        yield 'services', 'two services have the same name'
    seen: dict[tuple[str, str], Route] = {}
    for route in table.routes:
        place = (normalize_host(route.host), route.prefix)
        existing = seen.setdefault(place, route)
        if existing is not route:
            reason = f'has the same host and prefix as {existing.name}'
            yield route.name, reason
        yield from _iter_route_faults(route, known)
    yield from iter_account_faults(table.accounts)


def _iter_route_faults(
    route: Route,
    known: set[str],
) -> Iterator[tuple[str, str]]:
    if route.timeout_ms <= 0:
        yield route.name, 'the timeout must be positive'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        yield route.name, 'the prefix must begin and end with a slash'
    for service in route.services:
        if service not in known:
            yield route.name, f'names the unknown service {service}'
    if not route.services:
        yield route.name, 'names no service'
    if len(set(route.shards)) < len(route.shards):
        yield route.name, 'names a shard twice'
    yield from _iter_weight_faults(route)


def _iter_weight_faults(route: Route) -> Iterator[tuple[str, str]]:
    weights = [choice.weight for choice in route.choices]
    if any(weight < 0 for weight in weights):
        yield route.name, 'a weight is negative'
    elif weights and not sum(weights):
        yield route.name, 'the weights add up to 0'
    elif not math.isfinite(sum(weights)):
        yield route.name, 'the sum of the weights is too large'
