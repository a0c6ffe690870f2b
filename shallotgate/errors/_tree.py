"""Exception hierarchy of the project."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """A validation error and its location.

    >>> str(Finding('a.yaml:3', 'roles', 'must not be empty'))
    'a.yaml:3: roles: must not be empty'
    """

    # File and line, or the name of the input.
    location: str
    # Path of the invalid value within the input.
    path: str
    # What is wrong.
    reason: str

    def __str__(self) -> str:
        return f'{self.location}: {self.path}: {self.reason}'


class ShallotgateError(Exception):
    """Base class of all errors raised by the project."""


class FindingsError(ShallotgateError):
    """The input is invalid; ``findings`` lists every error."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsError(FindingsError):
    """A settings or operator keys file is invalid."""


class TransportError(ShallotgateError):
    """A message could not be delivered to another instance."""


class PeerUnreachableError(TransportError):
    """No route to the peer, or its send queue is full."""


class CallTimeoutError(TransportError):
    """No reply before the timeout; the call may have been handled."""


class StorageError(ShallotgateError):
    """Durable state can't be read or written."""


class DamagedFileError(StorageError):
    """A file is corrupt beyond a torn last record."""

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f'{path}: offset {offset}: {reason}')
        self.path = path
        self.offset = offset


class SyncFailedError(StorageError):
    """An fsync failed; which data is durable is unknown."""


class ConsensusError(ShallotgateError):
    """A command could not be committed."""


class NotLeaderError(ConsensusError):
    """This member is not the leader; the command was not accepted."""

    def __init__(self, leader: str | None) -> None:
        known = leader or 'none'
        super().__init__(f'not the leader; known leader: {known}')
        self.leader = leader


class CommitUnknownError(ConsensusError):
    """The command may or may not be committed."""


class NoLeaderError(ConsensusError):
    """No leader was reached in time; the command was not accepted."""


class TargetError(ShallotgateError):
    """An exchange with a target failed."""


class TargetConnectError(TargetError):
    """No connection could be opened, so nothing was sent."""


class TargetLostError(TargetError):
    """The connection broke after the attempt was sent."""


class TargetTimeoutError(TargetError):
    """The target did not answer before the timeout."""


class TargetProtocolError(TargetError):
    """The target sent an invalid reply."""


class ReplyLimitError(TargetProtocolError):
    """A reply exceeds a limit on its size or on its number of parts."""


class BaseVersionMismatchError(ShallotgateError):
    """The base version of a difference is not the current version."""


class InvariantError(ShallotgateError):
    """An internal invariant is violated."""
