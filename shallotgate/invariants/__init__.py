"""Invariant checks at run time."""

from shallotgate.invariants._monitor import (
    BREACH_EXIT_STATUS,
    InvariantMonitor,
    check,
    configure_invariants,
    read_breaches,
)

__all__ = (
    'BREACH_EXIT_STATUS',
    'InvariantMonitor',
    'check',
    'configure_invariants',
    'read_breaches',
)
