"""Exception tree of the project."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One fault and its place.

    >>> str(Finding('a.yaml:3', 'roles', 'must not be empty'))
    'a.yaml:3: roles: must not be empty'
    """

    # File and line, or the name of the input.
    location: str
    # Path of the faulty value within the input.
    path: str
    # What is wrong.
    reason: str

    def __str__(self) -> str:
        return f'{self.location}: {self.path}: {self.reason}'


class ShallotgateError(Exception):
    """Base of all errors that the project raises."""


class FindingsError(ShallotgateError):
    """Input has one or more faults; all of them are listed."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsError(FindingsError):
    """A settings file is faulty."""


class TransportError(ShallotgateError):
    """A message could not be handed to another instance."""


class PeerUnreachableError(TransportError):
    """No route to the peer, or its send queue is full."""


class CallTimeoutError(TransportError):
    """No reply within the time allowed; whether it was handled is unknown."""


class StorageError(ShallotgateError):
    """Durable state can't be read or written."""


class DamagedFileError(StorageError):
    """A file is damaged other than by a torn last record."""

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f'{path}: offset {offset}: {reason}')
        self.path = path
        self.offset = offset


class SyncFailedError(StorageError):
    """A sync to disk failed; what the disk holds is unknown."""


class ConsensusError(ShallotgateError):
    """A command could not be committed."""


class NotLeaderError(ConsensusError):
    """This member does not lead; the command was not taken."""

    def __init__(self, leader: str | None) -> None:
        known = leader or 'none'
        super().__init__(f'not the leader; known leader: {known}')
        self.leader = leader


class CommitUnknownError(ConsensusError):
    """Whether the command was or will be committed is unknown."""


class NoLeaderError(ConsensusError):
    """No leader was reached in time; the command was not taken."""


class TargetError(ShallotgateError):
    """An exchange with a target failed."""


class TargetConnectError(TargetError):
    """No connection could be opened, so nothing was sent."""


class TargetLostError(TargetError):
    """The connection broke after the attempt was sent."""


class TargetTimeoutError(TargetError):
    """The target did not answer within the time allowed."""


class TargetProtocolError(TargetError):
    """The target answered something that is not a valid reply."""


class BaseVersionMismatchError(ShallotgateError):
    """A difference begins at another version than the one in force."""


class InvariantError(ShallotgateError):
    """An invariant of the program does not hold."""
