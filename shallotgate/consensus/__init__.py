"""Raft-style replicated log of the control group."""

from shallotgate.consensus._disk_guard import SYNC_FAILED_EXIT_STATUS
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
