"""Data folder of a control member."""

import fcntl
import os
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec

from shallotgate.errors import (
    DamagedFileError,
    StorageError,
    SyncFailedError,
)
from shallotgate.storage._files import (
    frame,
    replace_file,
    sync_folder,
    unframe,
)
from shallotgate.storage._records import RecordLog

_IDENTITY_BYTES = 16
# More than a log record or a vote takes on the disk.
_PROBE_BYTES = 64 * 1024
_T = TypeVar('_T')


@dataclass(frozen=True)
class StoredVote:
    """Current term and the vote cast in it."""

    term: int
    # Identity of the candidate voted for; empty if none.
    voted: str


@dataclass(frozen=True)
class Snapshot:
    """State of the state machine as of a log index."""

    # Index of the last record that is included in the state.
    index: int
    # Term of that record.
    term: int
    # Encoded group as of that index.
    members: bytes
    # Encoded state of the state machine.
    state: bytes


class DataFolder:
    """Files of a member: log, vote, identity and snapshot.

    Only one process at a time may open a folder. A new folder gets a random
    identity, so that a member with a wiped or replaced disk counts as a new
    member.
    """

    def __init__(self, path: Path | str) -> None:
        self.path = Path(path)
        self.identity = ''
        self.log = RecordLog(self.path / 'log')
        self._vote_path = self.path / 'vote'
        self._identity_path = self.path / 'identity'
        self._snapshot_path = self.path / 'snapshot'
        self._staged_snapshot_path = self.path / 'snapshot.staged'
        self._probe_path = self.path / 'probe'
        self._lock_descriptor = -1

    def open(self) -> list[bytes]:
        """Lock the folder and return the records of its log.

        Raises ``StorageError`` if another process has locked the folder, and
        ``DamagedFileError`` if a file is missing or damaged. In the latter
        case the lock is kept.
        """
        if not self.path.is_dir():
            self.path.mkdir(parents=True)
            sync_folder(self.path.parent)
        self._acquire_lock()
        if not self._identity_path.exists():
            self._initialise()
        self.identity = self._read(self._identity_path, str)
        # Verifies that the file exists and its checksum matches: without its
        # vote, the member must not take part.
        self.read_vote()
        return self.log.load()

    def close(self) -> None:
        """Close all files and release the lock."""
        self.log.close()
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def read_vote(self) -> StoredVote:
        """Return the stored term and vote."""
        return self._read(self._vote_path, StoredVote)

    def write_vote(self, vote: StoredVote) -> None:
        """Store term and vote durably."""
        self._write(self._vote_path, vote)

    def read_snapshot(self) -> Snapshot | None:
        """Return the current snapshot; None if there is none."""
        if not self._snapshot_path.exists():
            return None
        return self._read(self._snapshot_path, Snapshot)

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Durably replace the current snapshot."""
        self._write(self._snapshot_path, snapshot)

    def stage_snapshot(self, snapshot: Snapshot) -> None:
        """Durably write a snapshot without replacing the current one.

        May be called on another thread than the other methods, because the
        write may take long.
        """
        self._write(self._staged_snapshot_path, snapshot)

    def adopt_staged_snapshot(self) -> None:
        """Replace the current snapshot with the staged one."""
        try:
            self._staged_snapshot_path.replace(self._snapshot_path)
        except OSError as error:
            raise SyncFailedError(
                f'{self._staged_snapshot_path}: {error}'
            ) from error
        sync_folder(self.path)

    def probe(self) -> None:
        """Write a file and remove it; raises ``SyncFailedError``."""
        replace_file(self._probe_path, bytes(_PROBE_BYTES))
        try:
            self._probe_path.unlink()
        except OSError as error:
            raise SyncFailedError(f'{self._probe_path}: {error}') from error

    def _acquire_lock(self) -> None:
        descriptor = os.open(self.path / 'lock', os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StorageError(
                f'{self.path}: in use by another process',
            ) from error
        self._lock_descriptor = descriptor

    def _initialise(self) -> None:
        """Create the files of a new member.

        The identity is written last: if it exists, the other files must exist
        as well.
        """
        if self._contains_data():
            raise DamagedFileError(
                str(self._identity_path),
                0,
                'the file is missing but the folder contains data',
            )
        self.log.create()
        self.write_vote(StoredVote(0, ''))
        self._write(self._identity_path, secrets.token_hex(_IDENTITY_BYTES))

    def _contains_data(self) -> bool:
        if self._snapshot_path.exists():
            return True
        if self._vote_path.exists() and self.read_vote().term:
            return True
        return self.log.path.exists() and bool(self.log.load())

    def _read(self, path: Path, expected_type: type[_T]) -> _T:
        try:
            content = path.read_bytes()
        except FileNotFoundError as error:
            raise DamagedFileError(
                str(path),
                0,
                'the file is missing',
            ) from error
        payload = unframe(str(path), content)
        try:
            return msgspec.msgpack.decode(payload, type=expected_type)
        except msgspec.MsgspecError as error:
            raise DamagedFileError(str(path), 0, str(error)) from error

    def _write(self, path: Path, content: object) -> None:
        replace_file(path, frame(msgspec.msgpack.encode(content)))
