"""Invariants that parts assert while they run."""

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
