"""Interface between the owner and the wire protocol of targets."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt, TargetVersion


@dataclass(frozen=True)
class TargetReport:
    """State that a target reports about itself.

    It comes with each reply and in status reports.
    """

    # Chosen by the target at each start.
    start_id: str
    # Milliseconds since the target started.
    uptime_ms: float
    # Whether the target requests no new attempts.
    draining: bool
    # Number of running attempts; may be out of date.
    busy: int
    versions: Sequence[TargetVersion]


@dataclass(frozen=True)
class TargetReply:
    """A validated reply of a target to one attempt."""

    # Attempt id in the reply; verified against the attempt.
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
        """Report that was read when the connection was opened."""

    def run(self, attempt: Attempt, timeout_s: float) -> TargetReply:
        """Send an attempt and wait for the reply.

        ``timeout_s`` is sent to the target as the time limit of the attempt.
        Raises ``TargetConnectError`` only if nothing was sent, else
        ``TargetLostError``, ``TargetTimeoutError`` or ``TargetProtocolError``.
        The connection must be closed after any of these errors.
        """

    def read_report(self, timeout_s: float) -> TargetReport:
        """Read a report on this connection; raises ``TargetError``."""

    def close(self) -> None:
        """Close the connection.

        May be called from another thread; a ``run`` in progress then fails.
        """


class TargetConnector(Protocol):
    """Opens connections to targets."""

    def connect(self, target: Target, timeout_s: float) -> TargetConnection:
        """Open a connection and read the report on it.

        Raises ``TargetError`` if the connection can't be opened or the report
        is invalid.
        """
