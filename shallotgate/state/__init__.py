"""Replicated state machine: catalogue, once-only keys, owners, quarantine."""

from shallotgate.state._machine import AppliedState, StateChanges, TierState
from shallotgate.state._once import ANSWER_LIMIT_BYTES
from shallotgate.state._recent import RecentChanges

__all__ = (
    'ANSWER_LIMIT_BYTES',
    'AppliedState',
    'RecentChanges',
    'StateChanges',
    'TierState',
)
