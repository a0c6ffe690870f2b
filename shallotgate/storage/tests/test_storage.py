import os

import pytest

from shallotgate.errors import (
    DamagedFileError,
    StorageError,
    SyncFailedError,
)
from shallotgate.storage import DataFolder, RecordLog, Snapshot, StoredVote

RECORDS = [b'first', b'second', b'third']


@pytest.fixture
def log(tmp_path):
    log = RecordLog(tmp_path / 'log')
    log.create()
    log.append(RECORDS)
    log.sync()
    yield log
    log.close()


def load_again(log):
    reopened = RecordLog(log.path)
    try:
        return reopened.load(), reopened.last_index
    finally:
        reopened.close()


def flip_bit(path, offset):
    content = bytearray(path.read_bytes())
    content[offset] ^= 0x10
    path.write_bytes(content)


def test_torn_last_record_is_cut_off(log):
    """Guards against a log that can't be read after a crash in a write."""
    content = log.path.read_bytes()
    start = content.index(b'third') - 12
    for end in range(start, len(content)):
        log.path.write_bytes(content[:end])
        assert load_again(log) == (RECORDS[:2], 2)
        assert log.path.stat().st_size == start


def test_zeros_behind_the_last_record_are_cut_off(log):
    """Guards against damage reported for zeros after the last record.

    Some file systems extend a file before they write its data.
    """
    with log.path.open('ab') as stream:
        stream.write(bytes(4096))
    assert load_again(log) == (RECORDS, 3)


def test_damage_in_the_middle_is_reported_with_its_place(log):
    """Guards against damage that is mistaken for a torn record."""
    content = log.path.read_bytes()
    start = content.index(b'second') - 12
    # The first four bytes are the length: with a flipped bit, the record may
    # seem to end after the end of the file.
    for offset in range(start, start + 12 + len(b'second')):
        log.path.write_bytes(content)
        flip_bit(log.path, offset)
        with pytest.raises(DamagedFileError) as caught:
            load_again(log)
        assert caught.value.path == str(log.path)
        assert caught.value.offset == start
    flip_bit(log.path, 0)


def test_damaged_last_record_is_no_torn_record(log):
    """Guards against the silent loss of a synced last record."""
    flip_bit(log.path, log.path.stat().st_size - 1)
    with pytest.raises(DamagedFileError):
        load_again(log)


def test_truncated_suffix_stays_removed(log):
    """Guards against truncated records that reappear after a restart."""
    log.truncate_after(1)
    log.append([b'other'])
    log.sync()
    assert load_again(log) == ([b'first', b'other'], 2)


def test_dropped_prefix_keeps_numbers(log):
    """Guards against records whose index changes in a compaction."""
    log.rewrite(2, 7, RECORDS[2:])
    log.append([b'fourth'])
    log.sync()
    reopened = RecordLog(log.path)
    assert reopened.load() == [b'third', b'fourth']
    assert (reopened.base_index, reopened.base_term, reopened.last_index) == (
        2,
        7,
        4,
    )


def test_failed_sync_is_raised(log, monkeypatch):
    """Guards against records that count as durable after a failed sync."""

    def fail(descriptor):
        raise OSError(5, 'Input/output error')

    monkeypatch.setattr(os, 'fdatasync', fail)
    monkeypatch.setattr(os, 'fsync', fail)
    log.append([b'fourth'])
    with pytest.raises(SyncFailedError):
        log.sync()
    with pytest.raises(SyncFailedError):
        log.rewrite(1, 1, [])


def test_folder_keeps_vote_identity_and_snapshot(tmp_path):
    """Guards against a second vote in one term after a restart."""
    snapshot = Snapshot(index=4, term=2, members=b'm', state=b's')
    folder = DataFolder(tmp_path / 'data')
    assert folder.open() == []
    folder.write_vote(StoredVote(3, 'someone'))
    folder.write_snapshot(snapshot)
    folder.close()
    reopened = DataFolder(tmp_path / 'data')
    reopened.open()
    assert reopened.identity == folder.identity
    assert reopened.read_vote() == StoredVote(3, 'someone')
    assert reopened.read_snapshot() == snapshot
    reopened.close()


def test_staged_snapshot_counts_once_it_is_adopted(tmp_path):
    """Guards against a staged snapshot that replaces the current one early."""
    folder = DataFolder(tmp_path)
    folder.open()
    present, staged = (Snapshot(index, 1, b'm', b's') for index in (4, 9))
    folder.write_snapshot(present)
    folder.stage_snapshot(staged)
    assert folder.read_snapshot() == present
    folder.adopt_staged_snapshot()
    assert folder.read_snapshot() == staged
    folder.close()


def test_two_processes_cannot_share_a_folder(tmp_path):
    """Guards against two processes that vote with the same identity."""
    folder = DataFolder(tmp_path)
    folder.open()
    with pytest.raises(StorageError, match='in use'):
        DataFolder(tmp_path).open()
    folder.close()
    reopened = DataFolder(tmp_path)
    reopened.open()
    reopened.close()


@pytest.mark.parametrize('name', ['vote', 'log', 'identity'])
def test_lost_file_is_damage(tmp_path, name):
    """Guards against a member that continues without its vote or records."""
    folder = DataFolder(tmp_path)
    folder.open()
    folder.write_vote(StoredVote(1, 'someone'))
    folder.close()
    (tmp_path / name).unlink()
    with pytest.raises(DamagedFileError, match='missing'):
        DataFolder(tmp_path).open()


@pytest.mark.parametrize('name', ['vote', 'identity', 'snapshot'])
def test_damaged_small_file_is_reported(tmp_path, name):
    """Guards against an undetected change of a small file on disk."""
    folder = DataFolder(tmp_path)
    folder.open()
    folder.write_snapshot(Snapshot(1, 1, b'm', b's'))
    folder.close()
    flip_bit(tmp_path / name, 13)
    reopened = DataFolder(tmp_path)
    with pytest.raises(DamagedFileError, match=name):
        reopened.open()
        reopened.read_snapshot()
