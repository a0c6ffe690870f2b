"""Owner's side: everything that one target bears is decided in one place."""

from shallotgate.targets._edge import (
    TargetConnection,
    TargetEdge,
    TargetReply,
    TargetReport,
)
from shallotgate.targets._http import MAX_REPLY_BYTES, HttpTargetEdge
from shallotgate.targets._owned import OwnedTargets
from shallotgate.targets._platform import PlatformList
from shallotgate.targets._pools import list_wanted
from shallotgate.targets._server import OwnerServer
from shallotgate.targets._work import OnReply

__all__ = (
    'MAX_REPLY_BYTES',
    'HttpTargetEdge',
    'OnReply',
    'OwnedTargets',
    'OwnerServer',
    'PlatformList',
    'TargetConnection',
    'TargetEdge',
    'TargetReply',
    'TargetReport',
    'list_wanted',
)
