"""Append-only log of checksummed records in one file."""

import os
import struct
from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

from shallotgate.errors import (
    DamagedFileError,
    StorageError,
    SyncFailedError,
)
from shallotgate.logs import get_logger
from shallotgate.storage._files import (
    HEADER_BYTES,
    frame,
    read_frame,
    replace_file,
)

_LOGGER = get_logger('storage')
# Index and term of the record before the first one of the file.
_BASE = struct.Struct('<QQ')


class RecordLog:
    """Numbered records in one file; used by one thread.

    A torn last record, as a crash during a write leaves it, is cut off by
    ``load``. Any other damage raises ``DamagedFileError``. A write or sync
    that fails raises ``SyncFailedError``; nothing may be written afterwards.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.base_index = 0
        self.base_term = 0
        # Syncs of appended records since the start.
        self.syncs = 0
        # Offset behind the base and behind each record.
        self._ends: list[int] = []
        self._stream: BinaryIO | None = None

    @property
    def last_index(self) -> int:
        """Index of the last record, or the base if there is none."""
        return self.base_index + max(len(self._ends) - 1, 0)

    def create(self) -> None:
        """Create an empty file and open it."""
        self.rewrite(0, 0, ())

    def load(self) -> list[bytes]:
        """Open the file and return its records."""
        try:
            content = self.path.read_bytes()
        except FileNotFoundError as error:
            raise DamagedFileError(
                str(self.path),
                0,
                'the file is missing',
            ) from error
        payloads = self._parse(content)
        self._open()
        if self._ends[-1] < len(content):
            _LOGGER.warning(
                'Torn last record cut off.',
                extra={'path': str(self.path), 'offset': self._ends[-1]},
            )
            self._cut(self._ends[-1])
            self.sync()
        return payloads

    def append(self, payloads: Sequence[bytes]) -> None:
        """Write records behind the last one; durable after ``sync``."""
        frames = [frame(payload) for payload in payloads]
        stream = self._require_stream()
        try:
            stream.write(b''.join(frames))
            stream.flush()
        except OSError as error:
            raise SyncFailedError(f'{self.path}: {error}') from error
        for framed in frames:
            self._ends.append(self._ends[-1] + len(framed))

    def sync(self) -> None:
        """Make all appended records durable."""
        stream = self._require_stream()
        try:
            os.fdatasync(stream.fileno())
        except OSError as error:
            raise SyncFailedError(f'{self.path}: {error}') from error
        self.syncs += 1

    def truncate_after(self, index: int) -> None:
        """Remove the records behind an index, durably.

        Without a sync before the next write, a crash could leave old and new
        records mixed, which would look like damage.
        """
        kept = index - self.base_index + 1
        if not 1 <= kept <= len(self._ends):
            raise StorageError(f'{self.path}: no record {index}')
        del self._ends[kept:]
        self._cut(self._ends[-1])
        self.sync()

    def rewrite(
        self,
        base_index: int,
        base_term: int,
        payloads: Sequence[bytes],
    ) -> None:
        """Replace the whole file, durably; drops a prefix or everything."""
        frames = [frame(_BASE.pack(base_index, base_term))]
        frames.extend(frame(payload) for payload in payloads)
        replace_file(self.path, b''.join(frames))
        self.base_index = base_index
        self.base_term = base_term
        self._ends = []
        end = 0
        for framed in frames:
            end += len(framed)
            self._ends.append(end)
        self._open()

    def close(self) -> None:
        """Close the file."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _parse(self, content: bytes) -> list[bytes]:
        path = str(self.path)
        base = read_frame(path, content, 0)
        if base is None or len(base) != _BASE.size:
            # The file is created by a rename, so its start is never torn.
            raise DamagedFileError(path, 0, 'the base is missing')
        base_index, base_term = _BASE.unpack(base)
        self.base_index = base_index
        self.base_term = base_term
        self._ends = [HEADER_BYTES + len(base)]
        payloads: list[bytes] = []
        while self._ends[-1] < len(content):
            payload = read_frame(path, content, self._ends[-1])
            if payload is None:
                break
            payloads.append(payload)
            self._ends.append(self._ends[-1] + HEADER_BYTES + len(payload))
        return payloads

    def _open(self) -> None:
        self.close()
        stream = self.path.open('r+b')
        stream.seek(self._ends[-1])
        self._stream = stream

    def _cut(self, size: int) -> None:
        stream = self._require_stream()
        try:
            os.ftruncate(stream.fileno(), size)
        except OSError as error:
            raise SyncFailedError(f'{self.path}: {error}') from error
        stream.seek(size)

    def _require_stream(self) -> BinaryIO:
        if self._stream is None:
            raise StorageError(f'{self.path}: not open')
        return self._stream
