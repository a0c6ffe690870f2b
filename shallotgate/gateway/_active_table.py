"""The active routing table and what is derived from it."""

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import TypeVar

from shallotgate.routes import (
    Route,
    RouteIndex,
    RoutingTable,
    Service,
    SplitChooser,
)

_T = TypeVar('_T')


@dataclass(frozen=True)
class ActiveTable:
    """The active routing table and the objects derived from it."""

    table: RoutingTable
    index: RouteIndex
    services: dict[str, Service]
    # By host and prefix of the route, because names may repeat.
    splits: dict[tuple[str, str], SplitChooser]

    def choose_service(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        split = self.splits.get((route.host, route.prefix))
        return split.choose() if split else route.choices[0].service

    @classmethod
    def create(
        cls,
        table: RoutingTable,
        generator: random.Random,
    ) -> 'ActiveTable':
        """Return the objects derived from a table."""
        splits = {
            (route.host, route.prefix): SplitChooser(route, generator.random())
            for route in table.routes
            if len(route.choices) > 1
        }
        services = {service.name: service for service in table.services}
        return cls(table, RouteIndex(table), services, splits)


def retain_known(
    current: dict[str, _T],
    known: Collection[str],
) -> dict[str, _T]:
    """Return the entries whose route or service still exists."""
    return {name: item for name, item in current.items() if name in known}
