"""Members whose disks take no writes for a while."""

import queue
import subprocess
import sys
import time

import pytest

from shallotgate.consensus import SYNC_FAILED_EXIT_STATUS, ConsensusOptions
from shallotgate.consensus.tests.cluster import ask_vote, wait_for
from shallotgate.errors import ConsensusError, SyncFailedError


def refuse_writes(node):
    """Let each further write of a member fail."""

    def fail(*_):
        raise SyncFailedError('disk full')

    folder = node.log._folder
    folder.log.append = fail
    folder.log.truncate_after = fail
    folder.write_vote = fail
    folder.stage_snapshot = fail
    folder.probe = fail


def get_role(node):
    return node.log.status().role


def pick_follower(cluster):
    leader = cluster.wait_leader()
    return next(
        node for node in cluster.nodes.values() if node.name != leader.name
    )


def test_leader_whose_disk_refuses_writes_is_replaced(cluster):
    """Guards against a leader that ends again and again on a full disk.

    It steps down, votes for nobody and stays until its disk recovers.
    """
    leader = cluster.wait_leader()
    cluster.propose(b'before')
    refuse_writes(leader)
    with pytest.raises(ConsensusError):
        leader.log.propose(b'refused', 1)
    wait_for(lambda: get_role(leader) == 'suspended')
    assert not leader.log.is_leading()
    others = [one for one in cluster.nodes.values() if one is not leader]
    second = wait_for(
        lambda: next((one for one in others if one.log.is_leading()), None)
    )
    second.log.propose(b'after', 5)
    assert second.machine.items[-1] == b'after'
    assert b'after' not in leader.machine.items


def test_follower_whose_disk_refuses_writes_acknowledges_nothing(cluster):
    """Guards against a majority that counts what is on no disk."""
    follower = pick_follower(cluster)
    cluster.propose(b'before')
    refuse_writes(follower)
    leader = cluster.wait_leader()
    leader.log.propose(b'after', 5)
    wait_for(lambda: get_role(follower) == 'suspended')
    third = next(
        node
        for node in cluster.nodes.values()
        if node.name not in {leader.name, follower.name}
    )
    cluster.stop(third.name)
    with pytest.raises(ConsensusError):
        leader.log.propose(b'alone', 1)
    probe = cluster.open_probe(third.name)
    try:
        # It answers nothing at all.
        with pytest.raises(queue.Empty):
            ask_vote(probe, follower.name, last=(10**6, 98))
    finally:
        probe.stop()


def test_snapshot_that_can_not_be_written_suspends_the_member(make_cluster):
    """Guards against a member that retries a snapshot on a full disk."""
    cluster = make_cluster(
        'a', options=ConsensusOptions(snapshot_interval_records=20)
    )
    cluster.start()
    leader = cluster.wait_leader()

    def fail(*_):
        raise SyncFailedError('disk full')

    leader.log._folder.stage_snapshot = fail
    leader.log._folder.probe = fail
    with pytest.raises(ConsensusError):
        for number in range(200):
            leader.log.propose(b'%d' % number, 1)
    assert get_role(leader) == 'suspended'


SCRIPT = """
import errno, os, pathlib, sys, time
from shallotgate.consensus.tests.cluster import Cluster

folder, refused_s, when = sys.argv[1:]
until = time.monotonic() + float(refused_s)
real_fsync, real_fdatasync = os.fsync, os.fdatasync
def refuse(sync):
    def call(descriptor):
        if time.monotonic() < until:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return sync(descriptor)
    return call
def fill():
    global until
    until = time.monotonic() + float(refused_s)
    os.fsync, os.fdatasync = refuse(real_fsync), refuse(real_fdatasync)
cluster = Cluster(pathlib.Path(folder), 'a')
if when == 'at the start':
    fill()
cluster.start(bootstrap=when == 'later')
leader = cluster.wait_leader()
if when == 'later':
    leader.log.propose(b'before', 10)
    fill()
    try:
        leader.log.propose(b'after', 1)
    except Exception as error:
        print(type(error).__name__, flush=True)
    time.sleep(30)
print(leader.machine.items, flush=True)
"""


def run_script(folder, refused_s, when):
    started_at = time.monotonic()
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT, str(folder), str(refused_s), when],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done, time.monotonic() - started_at


def test_process_ends_once_and_only_when_the_disk_takes_writes(tmp_path):
    """Guards against a process that restarts in a loop on a full disk."""
    done, duration_s = run_script(tmp_path, 3, 'later')
    assert done.returncode == SYNC_FAILED_EXIT_STATUS, done.stderr
    assert 'Error' in done.stdout
    assert duration_s > 3
    again, _ = run_script(tmp_path, 0, 'never')
    assert "b'before'" in again.stdout, again.stderr


def test_start_on_a_full_disk_waits_for_it(tmp_path):
    """Guards against a start that fails until the disk has room."""
    done, duration_s = run_script(tmp_path, 2, 'at the start')
    assert done.returncode == SYNC_FAILED_EXIT_STATUS, done.stderr
    assert duration_s > 2
