import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

from shallotgate.consensus import SYNC_FAILED_EXIT_STATUS, ConsensusOptions
from shallotgate.consensus.tests.cluster import ask_vote, wait_for
from shallotgate.errors import ConsensusError
from shallotgate.generated.messages import (
    FoundGroup,
    MemberIdentity,
    MemberList,
)

SMALL_OPTIONS = ConsensusOptions(
    snapshot_interval_records=50,
    trailing_records=5,
    max_message_bytes=400,
)


def pick_followers(cluster):
    leader = cluster.wait_leader()
    return [name for name in cluster.nodes if name != leader.name]


def propose_many(cluster, count, prefix=b'r'):
    leader = cluster.wait_leader()
    commands = [prefix + b'%d' % number for number in range(count)]
    with ThreadPoolExecutor(32) as pool:
        list(pool.map(lambda member: leader.log.propose(member, 10), commands))
    return commands


def test_wiped_disk_under_an_old_address_gets_no_vote(cluster):
    """Guards against a second vote in a term after a vote was wiped."""
    cluster.propose(b'x')
    cluster.stop()
    cluster.wipe('c')
    cluster.start('b', 'c')
    probe = cluster.open_probe('a')
    try:
        assert not ask_vote(probe, 'c', last=(10**6, 98))
        assert ask_vote(probe, 'b', last=(10**6, 98))
    finally:
        probe.stop()
    assert cluster.nodes['c'].log.status().role == 'learner'


def test_wiped_members_found_no_second_group(cluster):
    """Guards against a second group while a member still holds records."""
    cluster.propose(b'x')
    cluster.stop()
    cluster.wipe('b')
    cluster.start('b', 'c')
    identity = cluster.nodes['b'].log.status().identity
    group = [MemberIdentity(instance='b', identity=identity, voter=True)]
    probe = cluster.open_probe('a')

    def call_found_group(name, founder, members=()):
        request = FoundGroup(
            identity=founder, members=MemberList(members=list(members))
        )
        return probe.call(name, request, 5).empty

    try:
        assert not call_found_group('c', 'one')
        assert call_found_group('b', 'one')
        assert call_found_group('b', 'two')
        # The promise to the second founder replaces the one to the first.
        assert not call_found_group('b', 'one', group)
        assert cluster.nodes['b'].log.status().last_index == 0
        call_found_group('b', 'two', group)
        assert cluster.nodes['b'].log.status().last_index == 1
    finally:
        probe.stop()


def test_disk_lost_and_replaced_then_second_member_lost(cluster):
    """Guards against the loss of committed records with a wiped disk.

    The replaced member must hold all records before the leader is lost, too.
    """
    lagging, wiped = pick_followers(cluster)
    cluster.isolate(lagging)
    commands = propose_many(cluster, 30)
    cluster.stop(wiped)
    cluster.wipe(wiped)
    cluster.heal()
    cluster.start(wiped)
    leader = cluster.wait_leader()
    leader.log.replace_member(wiped, 10)
    commands.append(b'last')
    leader.log.propose(b'last', 5)
    cluster.stop(leader.name)
    cluster.wipe(leader.name)
    second = cluster.wait_leader()
    second.log.read_barrier(5)
    assert sorted(second.machine.items) == sorted(commands)
    voters = [member.voter for member in second.log.status().members]
    assert voters == [True, True, True]


def test_replacement_waits_for_a_member_that_is_reachable_again(
    cluster, monkeypatch
):
    """Guards against a refused repair just after a partition has healed.

    The other follower has not replied within the lease when the replacement
    is requested, but does so a moment later.
    """
    wiped = pick_followers(cluster)[0]
    cluster.stop(wiped)
    cluster.wipe(wiped)
    cluster.start(wiped)
    leader = cluster.wait_leader()
    leadership = leader.log._state.leadership
    list_live = leadership.list_live_voters
    results = iter(((), ()))
    monkeypatch.setattr(
        leadership,
        'list_live_voters',
        lambda *args: next(results, list_live(*args)),
    )
    leader.log.replace_member(wiped, 10)
    identity = cluster.nodes[wiped].log.status().identity
    members = leader.log.status().members
    assert identity in {member.identity for member in members if member.voter}


def test_wiped_member_catches_up_by_snapshot_parts(make_cluster):
    """Guards against a new member that lacks compacted records."""
    cluster = make_cluster(options=SMALL_OPTIONS)
    cluster.start()
    wiped = pick_followers(cluster)[0]
    propose_many(cluster, 120)
    cluster.stop(wiped)
    cluster.wipe(wiped)
    cluster.start(wiped, bootstrap=False)
    leader = cluster.wait_leader()
    leader.log.replace_member(wiped, 10)
    node = cluster.nodes[wiped]
    wait_for(lambda: node.machine.items == leader.machine.items)
    assert node.log.status().snapshot_index >= 50
    wait_for(lambda: node.log.status().role == 'follower')


def test_replace_refuses_what_would_stop_the_group(cluster):
    """Guards against a membership change that can't be committed."""
    first, second = pick_followers(cluster)
    leader = cluster.wait_leader()
    identity = cluster.nodes[first].log.status().identity
    leader.log.replace_member(first, 5)
    assert cluster.nodes[first].log.status().identity == identity
    with pytest.raises(ConsensusError):
        leader.log.replace_member(leader.name, 1)
    cluster.stop(second)
    with pytest.raises(ConsensusError):
        leader.log.replace_member(second, 0.2)


def test_damaged_member_stays_out_and_reports(cluster):
    """Guards against votes and records from a damaged disk."""
    damaged = pick_followers(cluster)[0]
    propose_many(cluster, 20)
    cluster.stop(damaged)
    path = cluster.folder / damaged / 'log'
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 1
    path.write_bytes(content)
    cluster.start(damaged)
    status = cluster.nodes[damaged].log.status()
    assert status.role == 'damaged'
    assert status.damage.path == str(path)
    assert 0 < status.damage.offset <= len(content) // 2
    assert cluster.propose(b'more') == 21
    cluster.stop(damaged)
    cluster.wipe(damaged)
    cluster.start(damaged)
    cluster.wait_leader().log.replace_member(damaged, 10)
    wait_for(lambda: len(cluster.nodes[damaged].machine.items) == 21)


def test_restart_after_thousands_of_records(make_cluster):
    """Guards against a restart that replays or loses all records."""
    cluster = make_cluster('a')
    cluster.start()
    commands = propose_many(cluster, 2500)
    node = cluster.nodes['a']
    wait_for(lambda: node.log.status().snapshot_index >= 2000)
    cluster.stop()
    cluster.start()
    node = cluster.wait_leader(5)
    assert sorted(node.machine.items) == sorted(commands)
    assert (cluster.folder / 'a' / 'log').stat().st_size < 200_000


def test_concurrent_proposals_share_syncs(make_cluster):
    """Guards against a disk sync per record."""
    cluster = make_cluster('a')
    cluster.start()
    leader = cluster.wait_leader()
    before = leader.log.status().log_syncs
    propose_many(cluster, 640)
    assert leader.log.status().log_syncs - before < 640 / 2


SYNC_FAILURE_SCRIPT = """
import os, pathlib, sys
from shallotgate.consensus.tests.cluster import Cluster
cluster = Cluster(pathlib.Path(sys.argv[1]), 'a')
cluster.start()
leader = cluster.wait_leader()
def fail(descriptor):
    raise OSError(5, 'Input/output error')
os.fdatasync = fail
leader.log.propose(b'x', 10)
print('acknowledged')
"""


def test_failed_sync_ends_the_process(tmp_path):
    """Guards against an acknowledgement after a failed sync."""
    done = subprocess.run(
        [sys.executable, '-c', SYNC_FAILURE_SCRIPT, str(tmp_path)],
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == SYNC_FAILED_EXIT_STATUS, done.stderr
    assert b'acknowledged' not in done.stdout
