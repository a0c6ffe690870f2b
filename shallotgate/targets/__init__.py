"""Owner side of targets: queueing, limits and dispatch of attempts.

Each target has one owner, which makes all decisions about its load.
"""

from shallotgate.targets._connector import (
    TargetConnection,
    TargetConnector,
    TargetReply,
    TargetReport,
)
from shallotgate.targets._http import MAX_REPLY_BYTES, HttpTargetConnector
from shallotgate.targets._owned import OwnedTargets
from shallotgate.targets._platform import PlatformListPoller
from shallotgate.targets._pool_registry import list_assignments
from shallotgate.targets._server import OwnerServer
from shallotgate.targets._task import OnReply

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
