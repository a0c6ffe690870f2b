"""Replicated state machine: catalogue, once-only keys, owners, quarantine."""

from shallotgate.state._machine import AppliedState, StateChanges, TierState
from shallotgate.state._once import ANSWER_LIMIT_BYTES
from shallotgate.state._recent import RecentChanges
from shallotgate.state._schema import ENTRY_KINDS
from shallotgate.state._versions import covers

__all__ = (
    'ANSWER_LIMIT_BYTES',
    'ENTRY_KINDS',
    'AppliedState',
    'RecentChanges',
    'StateChanges',
    'TierState',
    'covers',
)
