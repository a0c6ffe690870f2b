"""An instance's side of the shared state: view, lease, heartbeat, commands."""

from shallotgate.membership._client import CommandPort
from shallotgate.membership._view import (
    EMPTY_VIEW,
    Lease,
    TargetPlace,
    TierView,
    View,
    list_places,
)

__all__ = (
    'EMPTY_VIEW',
    'CommandPort',
    'Lease',
    'TargetPlace',
    'TierView',
    'View',
    'list_places',
)
