"""Checksummed frames and durable file replacement."""

import os
import struct
from pathlib import Path

from crc32c import crc32c

from shallotgate.errors import DamagedFileError, SyncFailedError

# Payload length, CRC-32C of the payload, CRC-32C of these two fields. The
# header has its own checksum because a damaged length would otherwise look like
# a torn last record, and all records after it would be truncated.
_HEADER = struct.Struct('<III')
_HEADER_FIELDS = struct.Struct('<II')
HEADER_BYTES = _HEADER.size


def frame(payload: bytes) -> bytes:
    """Prefix a payload with a header that holds its length and checksums.

    >>> unframe('demo', frame(b'abc'))
    b'abc'
    """
    fields = (len(payload), crc32c(payload))
    header_checksum = crc32c(_HEADER_FIELDS.pack(*fields))
    return _HEADER.pack(*fields, header_checksum) + payload


def read_frame(path: str, content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset.

    Returns None if the content ends within the frame. Raises
    ``DamagedFileError`` if a checksum does not match.
    """
    start = offset + HEADER_BYTES
    if start > len(content):
        return None
    length, payload_checksum, header_checksum = _HEADER.unpack_from(
        content, offset
    )
    if crc32c(_HEADER_FIELDS.pack(length, payload_checksum)) != header_checksum:
        if not any(content[offset:]):
            # Some file systems extend a file before they write its data, which
            # leaves zeros at the end after a crash.
            return None
        raise DamagedFileError(path, offset, 'checksum mismatch in a header')
    payload = content[start : start + length]
    if len(payload) < length:
        return None
    if crc32c(payload) != payload_checksum:
        raise DamagedFileError(path, offset, 'checksum mismatch in a payload')
    return payload


def unframe(path: str, content: bytes) -> bytes:
    """Return the payload of a file that consists of one frame."""
    payload = read_frame(path, content, 0)
    if payload is None:
        raise DamagedFileError(path, len(content), 'the file is truncated')
    if len(content) != HEADER_BYTES + len(payload):
        raise DamagedFileError(
            path,
            HEADER_BYTES + len(payload),
            'the file has extra bytes after its frame',
        )
    return payload


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder.

    Raises ``SyncFailedError``.
    """
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    except OSError as error:
        raise SyncFailedError(f'{folder}: {error}') from error
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise SyncFailedError(f'{folder}: {error}') from error
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically and durably.

    Writes and syncs a temporary file, renames it and syncs the folder. Raises
    ``SyncFailedError``.
    """
    temporary_path = path.with_name(f'{path.name}.new')
    try:
        _write_synced(temporary_path, content)
    except OSError as error:
        raise SyncFailedError(f'{temporary_path}: {error}') from error
    try:
        temporary_path.replace(path)
    except OSError as error:
        raise SyncFailedError(f'{path}: {error}') from error
    sync_folder(path.parent)


def _write_synced(path: Path, content: bytes) -> None:
    with path.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
