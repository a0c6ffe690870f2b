"""Instance side of the shared state: view, lease, heartbeats, commands."""

from shallotgate.membership._client import (
    CommandPort,
    ControlClient,
    LeaderCallError,
    Operation,
)
from shallotgate.membership._lease import LeaseHolder
from shallotgate.membership._link import ControlLink, DirectLink
from shallotgate.membership._session import Readiness, Session
from shallotgate.membership._updates import update_view
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
    'ControlClient',
    'ControlLink',
    'DirectLink',
    'LeaderCallError',
    'Lease',
    'LeaseHolder',
    'Operation',
    'Readiness',
    'Session',
    'TargetPlace',
    'TierView',
    'View',
    'list_places',
    'update_view',
)
