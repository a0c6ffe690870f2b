"""Move of a service to targets of another version, step by step."""

from shallotgate.rollouts._records import (
    ROLLOUT_COMMANDS,
    Rollout,
    RolloutCommand,
    RolloutRecords,
    apply_command,
)

__all__ = (
    'ROLLOUT_COMMANDS',
    'Rollout',
    'RolloutCommand',
    'RolloutRecords',
    'apply_command',
)
