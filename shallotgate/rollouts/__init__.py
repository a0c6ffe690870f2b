"""Move of a service to targets of another version, step by step."""

from shallotgate.rollouts._board import RolloutBoard
from shallotgate.rollouts._exposure import ExposureTracker
from shallotgate.rollouts._granter import ASK_INTERVAL_S
from shallotgate.rollouts._records import (
    ROLLOUT_COMMANDS,
    Rollout,
    RolloutCommand,
    RolloutRecords,
    apply_command,
)
from shallotgate.rollouts._sums import ReplySums
from shallotgate.rollouts._versions import VersionWatch, make_rules

__all__ = (
    'ASK_INTERVAL_S',
    'ROLLOUT_COMMANDS',
    'ExposureTracker',
    'ReplySums',
    'Rollout',
    'RolloutBoard',
    'RolloutCommand',
    'RolloutRecords',
    'VersionWatch',
    'apply_command',
    'make_rules',
)
