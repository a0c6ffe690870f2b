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
# First frame of the file: index and term of the record before the first one.
_BASE_RECORD = struct.Struct('<QQ')


class RecordLog:
    """Consecutively numbered records in one file; not thread-safe.

    A torn last record, which a crash during a write leaves behind, is
    truncated by ``load``. Any other damage raises ``DamagedFileError``. A
    failed write or sync raises ``SyncFailedError``; nothing may be written
    afterwards.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.base_index = 0
        self.base_term = 0
        # Number of syncs of the file since the log was constructed.
        self.sync_count = 0
        # End offset of the base frame and of each record.
        self._end_offsets: list[int] = []
        self._stream: BinaryIO | None = None

    @property
    def last_index(self) -> int:
        """Index of the last record, or the base index if there is none."""
        return self.base_index + max(len(self._end_offsets) - 1, 0)

    def create(self) -> None:
        """Create an empty file and open it."""
        self.rewrite(0, 0, ())

    def load(self) -> list[bytes]:
        """Open the file, verify it and return its records."""
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
        if self._end_offsets[-1] < len(content):
            _LOGGER.warning(
                'Torn last record truncated.',
                extra={'path': str(self.path), 'offset': self._end_offsets[-1]},
            )
            self._truncate_file(self._end_offsets[-1])
            self.sync()
        return payloads

    def append(self, payloads: Sequence[bytes]) -> None:
        """Write records after the last one; durable after ``sync``."""
        frames = [frame(payload) for payload in payloads]
        stream = self._require_stream()
        try:
            stream.write(b''.join(frames))
            stream.flush()
        except OSError as error:
            raise SyncFailedError(f'{self.path}: {error}') from error
        for record_frame in frames:
            self._end_offsets.append(self._end_offsets[-1] + len(record_frame))

    def sync(self) -> None:
        """Make all appended records durable."""
        stream = self._require_stream()
        try:
            os.fdatasync(stream.fileno())
        except OSError as error:
            raise SyncFailedError(f'{self.path}: {error}') from error
        self.sync_count += 1

    def truncate_after(self, index: int) -> None:
        """Durably remove the records after an index.

        Without a sync before the next write, a crash could leave a mix of old
        and new records, which would be reported as damage.
        """
        kept_ends = index - self.base_index + 1
        if not 1 <= kept_ends <= len(self._end_offsets):
            raise StorageError(f'{self.path}: record {index} does not exist')
        del self._end_offsets[kept_ends:]
        self._truncate_file(self._end_offsets[-1])
        self.sync()

    def rewrite(
        self,
        base_index: int,
        base_term: int,
        payloads: Sequence[bytes],
    ) -> None:
        """Durably replace the file, to remove a prefix or all records."""
        frames = [frame(_BASE_RECORD.pack(base_index, base_term))]
        frames.extend(frame(payload) for payload in payloads)
        replace_file(self.path, b''.join(frames))
        self.base_index = base_index
        self.base_term = base_term
        self._end_offsets = []
        end = 0
        for record_frame in frames:
            end += len(record_frame)
            self._end_offsets.append(end)
        self._open()

    def close(self) -> None:
        """Close the file."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _parse(self, content: bytes) -> list[bytes]:
        path = str(self.path)
        base = read_frame(path, content, 0)
        if base is None or len(base) != _BASE_RECORD.size:
            # The file is created by a rename, so its first frame can't be torn.
            raise DamagedFileError(path, 0, 'the base frame is missing')
        base_index, base_term = _BASE_RECORD.unpack(base)
        self.base_index = base_index
        self.base_term = base_term
        self._end_offsets = [HEADER_BYTES + len(base)]
        payloads: list[bytes] = []
        while self._end_offsets[-1] < len(content):
            payload = read_frame(path, content, self._end_offsets[-1])
            if payload is None:
                break
            payloads.append(payload)
            self._end_offsets.append(
                self._end_offsets[-1] + HEADER_BYTES + len(payload)
            )
        return payloads

    def _open(self) -> None:
        self.close()
        stream = self.path.open('r+b')
        stream.seek(self._end_offsets[-1])
        self._stream = stream

    def _truncate_file(self, size: int) -> None:
        stream = self._require_stream()
        try:
            os.ftruncate(stream.fileno(), size)
        except OSError as error:
            raise SyncFailedError(f'{self.path}: {error}') from error
        stream.seek(size)

    def _require_stream(self) -> BinaryIO:
        if self._stream is None:
            raise StorageError(f'{self.path}: file is not open')
        return self._stream
