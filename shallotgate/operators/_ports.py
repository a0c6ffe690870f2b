"""Interfaces that the operator API requires from other components."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.generated.messages import TargetState
from shallotgate.membership import CommandPort, Operation, TierView
from shallotgate.metrics import Metrics
from shallotgate.settings import OperatorKey


class LeaderPort(Protocol):
    """Calls operations on the control leader."""

    def call_leader(
        self,
        operation: Operation,
        argument: object,
        timeout_s: float,
    ) -> object:
        """Return the leader's answer: a JSON value or encoded JSON.

        The argument is a JSON value.
        Raises ``NoLeaderError`` if no leader accepted the call,
        ``CallTimeoutError`` or ``CommitUnknownError`` if a leader may have
        executed it, and ``LeaderCallError`` if the leader failed to.
        """


@dataclass(frozen=True)
class OperatorPorts:
    """Components that the operator API reads and calls."""

    keys: Sequence[OperatorKey]
    view: TierView
    commands: CommandPort
    leader: LeaderPort
    metrics: Metrics
    # Returns the last state of each target, as reported by its owner.
    targets: Callable[[], Sequence[TargetState]]
    # Returns index versions with their coverage, JSON-serializable.
    snapshots: Callable[[], object]
    # Returns why the instance is not ready, or an empty string if it is.
    readiness: Callable[[], str]
