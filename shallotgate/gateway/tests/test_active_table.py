"""Choice of the service of a request in the active table."""

import random

from shallotgate.gateway._active_table import ActiveTable
from shallotgate.routes import Route, RoutingTable, Service, WeightedService


def make_route(prefix, *services):
    return Route(
        'same name',
        'a.example',
        prefix,
        True,
        timeout_ms=100,
        objective_ms=10,
        choices=tuple(WeightedService(service) for service in services),
    )


def test_routes_with_one_name_keep_their_own_splits():
    """Guards against requests at a service that their route doesn't name."""
    routes = (make_route('/x/', 'a', 'b'), make_route('/y/', 'c', 'd'))
    services = tuple(Service(name) for name in 'abcd')
    table = RoutingTable(1, routes, services)
    active = ActiveTable.create(table, random.Random(1))
    for route in routes:
        chosen = {active.choose_service(route) for _ in range(8)}
        assert chosen == set(route.services)
