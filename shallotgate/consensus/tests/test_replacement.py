import time

import pytest

from shallotgate.consensus import _membership_policy
from shallotgate.consensus.tests.cluster import ask_vote, wait_for
from shallotgate.errors import ConsensusError


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


@pytest.fixture
def no_votes(monkeypatch):
    """Let leaders commit the first record of a replacement only."""
    with monkeypatch.context() as patch:
        patch.setattr(_membership_policy, 'may_promote', lambda *_: False)
        yield patch


def replace_without_vote(leader, wiped):
    """Replace a member up to the record that gives it its vote."""
    with pytest.raises(ConsensusError, match='is not replaced in time'):
        leader.log.replace_member(wiped, 2)
    assert not read_member(leader, wiped).voter


def read_member(node, name):
    """Return a member as listed in the log of a node."""
    return node.log._state.journal.group.find(name)


def is_admitted(cluster, node, name):
    identity = cluster.nodes[name].log.status().identity
    member = read_member(node, name)
    return member.voter and member.identity == identity


def test_new_leader_resumes_a_replacement(cluster, no_votes):
    """Guards against a replaced member that never gets its vote back.

    The leader fails after the record that removes the vote and before the one
    that restores it.
    """
    wiped, leader = wipe_follower(cluster)
    replace_without_vote(leader, wiped)
    cluster.isolate(leader.name)
    no_votes.undo()
    cluster.stop(leader.name)
    second = cluster.wait_leader()
    wait_for(lambda: is_admitted(cluster, second, wiped))
    # With two of five members stopped, its vote is needed for a majority.
    idle = next(
        name for name in cluster.nodes if name not in {wiped, second.name}
    )
    cluster.stop(idle)
    assert cluster.propose(b'after') == 2


def test_leader_resumes_its_own_replacement(cluster, no_votes):
    """Guards against a member without a vote after a call timed out.

    The leader stays in office, so it has to finish the replacement itself.
    """
    wiped, leader = wipe_follower(cluster)
    replace_without_vote(leader, wiped)
    no_votes.undo()
    wait_for(lambda: is_admitted(cluster, cluster.wait_leader(), wiped))


def test_disk_lost_again_is_not_admitted_by_itself(cluster, no_votes):
    """Guards against a vote for an identity that no operator has approved.

    The disk of the member is lost a second time during its replacement.
    """
    wiped, leader = wipe_follower(cluster)
    replace_without_vote(leader, wiped)
    cluster.stop(wiped)
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
    no_votes.undo()
    # Longer than a leader takes between two looks at its members.
    time.sleep(1)
    member = read_member(leader, wiped)
    assert (member.identity, member.voter) == (first, False)
    leader.log.replace_member(wiped, 10)
    assert is_admitted(cluster, leader, wiped)


def test_member_votes_before_it_knows_that_it_has_a_vote(cluster, no_votes):
    """Guards against a group without a leader after a lost disk.

    The record that restores the vote of a replaced member is committed without
    it. If the leader is lost then, its vote may be needed for a majority.
    """
    wiped, leader = wipe_follower(cluster)
    replace_without_vote(leader, wiped)
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
