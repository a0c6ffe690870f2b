"""Routing tables: map requests to services."""

from shallotgate.routes._check import check_table
from shallotgate.routes._index import RouteIndex
from shallotgate.routes._split import SplitChooser
from shallotgate.routes._table import (
    CallerLimits,
    ClientAccount,
    Route,
    RoutingTable,
    Service,
    TableCodec,
    WeightedService,
)

__all__ = (
    'CallerLimits',
    'ClientAccount',
    'Route',
    'RouteIndex',
    'RoutingTable',
    'Service',
    'SplitChooser',
    'TableCodec',
    'WeightedService',
    'check_table',
)
