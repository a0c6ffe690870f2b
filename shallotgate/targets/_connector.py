"""What varies with the wire format of targets."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt, TargetVersion


@dataclass(frozen=True)
class TargetReport:
    """What a target says of itself, in a reply or in a report."""

    # Drawn by the target at each start.
    start_id: str
    # Milliseconds since its start.
    uptime_ms: float
    # Whether it asks for no new work.
    draining: bool
    # Attempts running, as it says; may lag.
    busy: int
    versions: Sequence[TargetVersion]


@dataclass(frozen=True)
class TargetReply:
    """A valid reply of a target to one attempt."""

    # Id that the target names; checked against the attempt.
    attempt_id: str
    # One of ok, shed, draining, wrong_version, late and failed. With shed,
    # draining, wrong_version and late the target has not run the attempt.
    status: str
    index_version: int
    partition: int
    # JSON array.
    matches: bytes
    truncated: bool
    covered: bool
    report: TargetReport


class TargetConnection(Protocol):
    """One open connection; used by one thread at a time."""

    @property
    def report(self) -> TargetReport:
        """What the target reported when the connection was opened."""

    def run(self, attempt: Attempt, timeout_s: float) -> TargetReply:
        """Send an attempt and wait for the reply.

        The target is told ``timeout_s`` as the attempt's time. Raises
        ``TargetConnectError`` only if nothing was sent, else
        ``TargetLostError``, ``TargetTimeoutError`` or
        ``TargetProtocolError``; after any of them it must be closed.
        """

    def read_report(self, timeout_s: float) -> TargetReport:
        """Read the report on this connection; raises ``TargetError``."""

    def close(self) -> None:
        """Close, also from another thread, which ends a ``run``."""


class TargetConnector(Protocol):
    """Opens connections to targets."""

    def connect(self, target: Target, timeout_s: float) -> TargetConnection:
        """Open a connection and read the report on it.

        Raises ``TargetError`` if there is no connection or no valid report.
        """
