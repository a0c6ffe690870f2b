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


def reopen(log):
    fresh = RecordLog(log.path)
    try:
        return fresh.load(), fresh.last_index
    finally:
        fresh.close()


def flip(path, offset):
    content = bytearray(path.read_bytes())
    content[offset] ^= 0x10
    path.write_bytes(content)


def test_torn_last_record_is_cut_off(log):
    """Guards against a crash in a write that makes the log unreadable."""
    content = log.path.read_bytes()
    start = content.index(b'third') - 12
    for end in range(start, len(content)):
        log.path.write_bytes(content[:end])
        assert reopen(log) == (RECORDS[:2], 2)
        assert log.path.stat().st_size == start


def test_zeros_behind_the_last_record_are_cut_off(log):
    """Guards against file systems that extend a file before its data."""
    with log.path.open('ab') as stream:
        stream.write(bytes(4096))
    assert reopen(log) == (RECORDS, 3)


def test_damage_in_the_middle_is_reported_with_its_place(log):
    """Guards against damage that is taken for a torn record."""
    content = log.path.read_bytes()
    start = content.index(b'second') - 12
    # The first four bytes are the length: a flip there reaches past the end.
    for offset in range(start, start + 12 + len(b'second')):
        log.path.write_bytes(content)
        flip(log.path, offset)
        with pytest.raises(DamagedFileError) as caught:
            reopen(log)
        assert caught.value.path == str(log.path)
        assert caught.value.offset == start
    flip(log.path, 0)


def test_damaged_last_record_is_no_torn_record(log):
    """Guards against the silent loss of a synced last record."""
    flip(log.path, log.path.stat().st_size - 1)
    with pytest.raises(DamagedFileError):
        reopen(log)


def test_truncated_suffix_stays_removed(log):
    """Guards against overwritten records that come back at a restart."""
    log.truncate_after(1)
    log.append([b'other'])
    log.sync()
    assert reopen(log) == ([b'first', b'other'], 2)


def test_dropped_prefix_keeps_numbers(log):
    """Guards against records that change their index in a compaction."""
    log.rewrite(2, 7, RECORDS[2:])
    log.append([b'fourth'])
    log.sync()
    fresh = RecordLog(log.path)
    assert fresh.load() == [b'third', b'fourth']
    assert (fresh.base_index, fresh.base_term, fresh.last_index) == (2, 7, 4)


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
    again = DataFolder(tmp_path / 'data')
    again.open()
    assert again.identity == folder.identity
    assert again.read_vote() == StoredVote(3, 'someone')
    assert again.read_snapshot() == snapshot
    again.close()


def test_staged_snapshot_counts_once_it_is_adopted(tmp_path):
    """Guards against a half-taken snapshot in place of the present one."""
    folder = DataFolder(tmp_path)
    folder.open()
    present, staged = (Snapshot(each, 1, b'm', b's') for each in (4, 9))
    folder.write_snapshot(present)
    folder.stage_snapshot(staged)
    assert folder.read_snapshot() == present
    folder.adopt_staged_snapshot()
    assert folder.read_snapshot() == staged
    folder.close()


def test_two_processes_cannot_share_a_folder(tmp_path):
    """Guards against two processes with one vote."""
    folder = DataFolder(tmp_path)
    folder.open()
    with pytest.raises(StorageError, match='in use'):
        DataFolder(tmp_path).open()
    folder.close()
    again = DataFolder(tmp_path)
    again.open()
    again.close()


@pytest.mark.parametrize('name', ['vote', 'log', 'identity'])
def test_lost_file_is_damage(tmp_path, name):
    """Guards against a member that goes on without its vote or records."""
    folder = DataFolder(tmp_path)
    folder.open()
    folder.write_vote(StoredVote(1, 'someone'))
    folder.close()
    (tmp_path / name).unlink()
    with pytest.raises(DamagedFileError, match='missing'):
        DataFolder(tmp_path).open()


@pytest.mark.parametrize('name', ['vote', 'identity', 'snapshot'])
def test_damaged_small_file_is_reported(tmp_path, name):
    """Guards against a vote or snapshot that changed on disk."""
    folder = DataFolder(tmp_path)
    folder.open()
    folder.write_snapshot(Snapshot(1, 1, b'm', b's'))
    folder.close()
    flip(tmp_path / name, 13)
    again = DataFolder(tmp_path)
    with pytest.raises(DamagedFileError, match=name):
        again.open()
        again.read_snapshot()
