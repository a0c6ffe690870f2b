"""Owner's side: everything that one target bears is decided in one place."""

from shallotgate.targets._connector import (
    TargetConnection,
    TargetConnector,
    TargetReply,
    TargetReport,
)
from shallotgate.targets._http import MAX_REPLY_BYTES, HttpTargetConnector
from shallotgate.targets._owned import OwnedTargets
from shallotgate.targets._platform import PlatformListPoller
from shallotgate.targets._pools import list_assignments
from shallotgate.targets._server import OwnerServer
from shallotgate.targets._work import OnReply

__all__ = (
    'MAX_REPLY_BYTES',
    'HttpTargetConnector',
    'OnReply',
    'OwnedTargets',
    'OwnerServer',
    'PlatformListPoller',
    'TargetConnection',
    'TargetConnector',
    'TargetReply',
    'TargetReport',
    'list_assignments',
)
