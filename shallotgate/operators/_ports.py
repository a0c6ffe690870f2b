"""What the operator's adapter needs from other parts."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.generated.messages import TargetState
from shallotgate.membership import CommandPort, Operation, TierView
from shallotgate.metrics import Metrics
from shallotgate.settings import OperatorKey


class LeaderPort(Protocol):
    """Asks the control leader."""

    def call_leader(
        self,
        operation: Operation,
        argument: object,
        timeout_s: float,
    ) -> object:
        """Return the leader's answer: a JSON value, or bytes of JSON.

        The argument is a JSON value.
        Raises ``NoLeaderError`` if no leader took the call,
        ``CallTimeoutError`` or ``CommitUnknownError`` if one may have, and
        ``LeaderCallError`` if the leader could not do it.
        """


@dataclass(frozen=True)
class OperatorPorts:
    """The parts that the operator's adapter reads and calls."""

    keys: Sequence[OperatorKey]
    view: TierView
    commands: CommandPort
    leader: LeaderPort
    metrics: Metrics
    # What this instance knows of the targets, as their owners reported.
    targets: Callable[[], Sequence[TargetState]]
    # Index versions with their coverage, as content for JSON.
    snapshots: Callable[[], object]
    # Why the instance is not ready; empty if it is.
    readiness: Callable[[], str]
