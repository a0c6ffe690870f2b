"""Synced writes and checksummed content."""

import os
import struct
from pathlib import Path

from crc32c import crc32c

from shallotgate.errors import DamagedFileError, SyncFailedError

# Payload length, CRC-32C of the payload, CRC-32C of these two. The header has
# its own checksum because a damaged length would otherwise look like a torn
# last record and cut off all records after it.
_HEADER = struct.Struct('<III')
_HEADER_FIELDS = struct.Struct('<II')
HEADER_BYTES = _HEADER.size


def frame(payload: bytes) -> bytes:
    """Put a header with length and checksums before a payload.

    >>> unframe('demo', frame(b'abc'))
    b'abc'
    """
    fields = (len(payload), crc32c(payload))
    check = crc32c(_HEADER_FIELDS.pack(*fields))
    return _HEADER.pack(*fields, check) + payload


def read_frame(path: str, content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset.

    Returns None if the content ends within the frame and raises
    ``DamagedFileError`` if a checksum differs.
    """
    start = offset + HEADER_BYTES
    if start > len(content):
        return None
    length, check, header_check = _HEADER.unpack_from(content, offset)
    if crc32c(_HEADER_FIELDS.pack(length, check)) != header_check:
        if not any(content[offset:]):
            # Some file systems extend a file before they write its data.
            return None
        raise DamagedFileError(path, offset, 'checksum of a header differs')
    payload = content[start : start + length]
    if len(payload) < length:
        return None
    if crc32c(payload) != check:
        raise DamagedFileError(path, offset, 'checksum of a payload differs')
    return payload


def unframe(path: str, content: bytes) -> bytes:
    """Return the payload of a file that is one frame."""
    payload = read_frame(path, content, 0)
    if payload is None:
        raise DamagedFileError(path, len(content), 'the file is cut short')
    if len(content) != HEADER_BYTES + len(payload):
        raise DamagedFileError(
            path,
            HEADER_BYTES + len(payload),
            'the file has excess bytes',
        )
    return payload


def sync_folder(folder: Path) -> None:
    """Sync the entries of a folder; raises ``SyncFailedError``."""
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
    """Replace a file as a whole: write, sync, rename, sync folder.

    Raises ``SyncFailedError``.
    """
    fresh = path.with_name(f'{path.name}.new')
    try:
        _write_synced(fresh, content)
    except OSError as error:
        raise SyncFailedError(f'{fresh}: {error}') from error
    try:
        fresh.replace(path)
    except OSError as error:
        raise SyncFailedError(f'{path}: {error}') from error
    sync_folder(path.parent)


def _write_synced(path: Path, content: bytes) -> None:
    with path.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
