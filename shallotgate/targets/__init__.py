"""Owner's side: everything that one target bears is decided in one place."""

from shallotgate.targets._edge import (
    TargetConnection,
    TargetEdge,
    TargetReply,
    TargetReport,
)

__all__ = ('TargetConnection', 'TargetEdge', 'TargetReply', 'TargetReport')
