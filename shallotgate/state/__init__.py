"""Replicated state machine: catalogue, once-only keys, owners, quarantine."""

from shallotgate.state._machine import AppliedState, TierState

__all__ = ('AppliedState', 'TierState')
