import time

import pytest

from shallotgate.consensus.tests.cluster import ask_vote, wait_for
from shallotgate.errors import ConsensusError


class LeaderLostError(ConsensusError):
    """Raised by the test in place of the second record."""


@pytest.fixture
def cluster(make_cluster):
    # Five members keep a majority without the leader and the wiped member.
    cluster = make_cluster('abcde')
    cluster.start()
    return cluster


def wipe_follower(cluster):
    """Wipe a follower and restart it; return its name and the leader."""
    leader = cluster.wait_leader()
    wiped = next(name for name in cluster.nodes if name != leader.name)
    cluster.propose(b'before')
    cluster.stop(wiped)
    cluster.wipe(wiped)
    cluster.start(wiped)
    return wiped, leader


def interrupt_after_first_record(leader, callback):
    """Interrupt a replacement between its two records and call a function."""
    changes = leader.log._changes
    commit = changes._commit_member

    def commit_first(leadership, instance, identity, voter, deadline):
        if voter:
            raise LeaderLostError('interrupted by the test')
        commit(leadership, instance, identity, voter, deadline)
        callback()

    changes._commit_member = commit_first


def read_member(node, name):
    """Return a member as listed in the log of a node."""
    return node.log._state.journal.group.find(name)


def is_admitted(cluster, node, name):
    identity = cluster.nodes[name].log.status().identity
    member = read_member(node, name)
    return member.voter and member.identity == identity


def test_new_leader_resumes_a_replacement(cluster):
    """Guards against a replaced member that never gets its vote back.

    The leader fails after the record that removes the vote and before the one
    that restores it.
    """
    wiped, leader = wipe_follower(cluster)
    interrupt_after_first_record(leader, lambda: cluster.isolate(leader.name))
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    assert not read_member(leader, wiped).voter
    cluster.stop(leader.name)
    second = cluster.wait_leader()
    wait_for(lambda: is_admitted(cluster, second, wiped))
    # With two of five members stopped, its vote is needed for a majority.
    idle = next(
        name for name in cluster.nodes if name not in {wiped, second.name}
    )
    cluster.stop(idle)
    assert cluster.propose(b'after') == 2


def test_leader_resumes_its_own_replacement(cluster):
    """Guards against a member without a vote after a call timed out.

    The leader stays in office, so it has to finish the replacement itself.
    """
    wiped, leader = wipe_follower(cluster)
    changes = leader.log._changes
    commit = changes._commit_member
    interrupt_after_first_record(leader, lambda: None)
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    changes._commit_member = commit
    wait_for(lambda: is_admitted(cluster, cluster.wait_leader(), wiped))


def test_disk_lost_again_is_not_admitted_by_itself(cluster):
    """Guards against a vote for an identity that no operator has approved.

    The disk of the member is lost a second time during its replacement.
    """
    wiped, leader = wipe_follower(cluster)
    interrupt_after_first_record(leader, lambda: cluster.stop(wiped))
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    cluster.wipe(wiped)
    cluster.start(wiped)
    first = read_member(leader, wiped).identity
    second = cluster.nodes[wiped].log.status().identity
    assert second != first
    # The leader knows the new identity, which has caught up.
    wait_for(
        lambda: leader.log._state.leadership.identities.get(wiped) == second
    )
    wait_for(lambda: cluster.nodes[wiped].machine.items == [b'before'])
    changes = leader.log._changes
    del changes._commit_member
    leadership = leader.log._state.leadership
    deadline = time.monotonic() + 5
    changes._try_finish_replacement(
        leadership, changes._find_unfinished_replacement(), deadline
    )
    member = read_member(leader, wiped)
    assert (member.identity, member.voter) == (first, False)
    leader.log.replace_member(wiped, 10)
    assert is_admitted(cluster, leader, wiped)


def test_member_votes_before_it_knows_that_it_has_a_vote(cluster):
    """Guards against a group without a leader after a lost disk.

    The record that restores the vote of a replaced member is committed without
    it. If the leader is lost then, its vote may be needed for a majority.
    """
    wiped, leader = wipe_follower(cluster)
    interrupt_after_first_record(leader, lambda: None)
    with pytest.raises(LeaderLostError):
        leader.log.replace_member(wiped, 10)
    node = cluster.nodes[wiped]
    wait_for(lambda: read_member(node, wiped) is not None)
    assert node.log.status().role == 'learner'
    idle = next(
        name for name in cluster.nodes if name not in {wiped, leader.name}
    )
    cluster.stop(idle)
    probe = cluster.open_probe(idle)
    try:
        assert ask_vote(probe, wiped, last=(10**6, 98))
    finally:
        probe.stop()
