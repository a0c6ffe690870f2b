"""Replicated log of the control group."""

from shallotgate.consensus._notifier import LeadershipCallback
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.consensus._replicated_log import ReplicatedLog
from shallotgate.consensus._state_machine import StateMachine
from shallotgate.consensus._status import (
    DamageReport,
    GroupStatus,
    MemberStatus,
    Role,
)
from shallotgate.consensus._worker import SYNC_FAILED_EXIT_STATUS

__all__ = (
    'SYNC_FAILED_EXIT_STATUS',
    'ConsensusOptions',
    'DamageReport',
    'GroupStatus',
    'LeadershipCallback',
    'MemberStatus',
    'ReplicatedLog',
    'Role',
    'StateMachine',
)
