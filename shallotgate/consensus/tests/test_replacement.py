import time

import pytest

from shallotgate.consensus.tests.cluster import wait_for
from shallotgate.errors import ConsensusError


class LeaderLostError(ConsensusError):
    """The test took the leader away."""


@pytest.fixture
def cluster(make_cluster):
    # The group needs a majority without the leader and the wiped member.
    cluster = make_cluster('abcde')
    cluster.start()
    return cluster


def wipe_follower(cluster):
    """Replace the disk of a follower; return its name and the leader."""
    leader = cluster.wait_leader()
    wiped = next(name for name in cluster.nodes if name != leader.name)
    cluster.propose(b'before')
    cluster.stop(wiped)
    cluster.wipe(wiped)
    cluster.start(wiped)
    return wiped, leader


def interrupt_after_first_record(leader, act):
    """Act as soon as the first of the two records is committed."""
    changes = leader.log._changes
    commit = changes._commit

    def commit_first(leadership, instance, identity, voter, deadline):
        if voter:
            raise LeaderLostError('the leader is lost')
        commit(leadership, instance, identity, voter, deadline)
        act()

    changes._commit = commit_first


def read_member(node, name):
    """Return a member as the group of a node's log has it."""
    return node.log._core.journal.group.find(name)


def is_admitted(cluster, node, name):
    identity = cluster.nodes[name].log.status().identity
    member = read_member(node, name)
    return member.voter and member.identity == identity


def test_new_leader_resumes_a_replacement(cluster):
    """Guards against a member without a vote after its leader was lost."""
    wiped, leader = wipe_follower(cluster)
    interrupt_after_first_record(leader, lambda: cluster.cut_off(leader.name))
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    assert not read_member(leader, wiped).voter
    cluster.stop(leader.name)
    second = cluster.wait_leader()
    wait_for(lambda: is_admitted(cluster, second, wiped))
    # It counts: with two of five lost, its vote is needed.
    idle = next(
        name for name in cluster.nodes if name not in {wiped, second.name}
    )
    cluster.stop(idle)
    assert cluster.propose(b'after') == 2


def test_leader_resumes_its_own_replacement(cluster):
    """Guards against a member without a vote after a call timed out."""
    wiped, leader = wipe_follower(cluster)
    changes = leader.log._changes
    commit = changes._commit
    interrupt_after_first_record(leader, lambda: None)
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    changes._commit = commit
    wait_for(lambda: is_admitted(cluster, cluster.wait_leader(), wiped))


def test_disk_lost_again_is_not_admitted_by_itself(cluster):
    """Guards against a vote for a disk that no operator has named."""
    wiped, leader = wipe_follower(cluster)
    interrupt_after_first_record(leader, lambda: cluster.stop(wiped))
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    cluster.wipe(wiped)
    cluster.start(wiped)
    first = read_member(leader, wiped).identity
    second = cluster.nodes[wiped].log.status().identity
    assert second != first
    # The new disk is known to the leader and holds everything.
    wait_for(
        lambda: leader.log._core.leadership.identities.get(wiped) == second
    )
    wait_for(lambda: cluster.nodes[wiped].machine.items == [b'before'])
    changes = leader.log._changes
    del changes._commit
    leadership = leader.log._core.leadership
    deadline = time.monotonic() + 5
    changes._try_finish(leadership, changes._find_unfinished(), deadline)
    member = read_member(leader, wiped)
    assert (member.identity, member.voter) == (first, False)
    leader.log.replace_member(wiped, 10)
    assert is_admitted(cluster, leader, wiped)
