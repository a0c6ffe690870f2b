import time

import pytest

from shallotgate.consensus.tests.cluster import wait_for
from shallotgate.errors import CommitUnknownError, NotLeaderError


def test_proposals_survive_a_restart_of_all(cluster):
    """Guards against loss of committed records if all members restart."""
    for number in range(20):
        assert cluster.propose(b'%d' % number) == number + 1
    cluster.stop()
    cluster.start()
    cluster.wait_leader()
    expected = [b'%d' % number for number in range(20)]
    for node in cluster.nodes.values():
        wait_for(lambda node=node: node.machine.items == expected)


def test_election_within_two_seconds_of_a_lost_leader(cluster):
    """Guards against elections that outlast the leases of entry instances."""
    lost = cluster.wait_leader()
    cluster.propose(b'before')
    cluster.isolate(lost.name)
    started = time.monotonic()
    wait_for(lambda: not lost.log.is_leading())
    wait_for(lambda: cluster.find_leader() not in (None, lost))
    assert time.monotonic() - started < 2
    assert cluster.propose(b'after') == 2


def test_new_leader_knows_when_its_predecessor_began(cluster):
    """Guards against a new leader that overlooks a recent leadership.

    What two leaders may do once in a span of time must not be done by each of
    several that follow each other.
    """
    started_at = time.monotonic()
    first = cluster.wait_leader()
    assert first.log.previous_leadership_at <= time.monotonic()
    cluster.propose(b'before')
    began_by = time.monotonic()
    cluster.isolate(first.name)
    second = wait_for(
        lambda: (
            cluster.find_leader() not in (None, first) and cluster.find_leader()
        )
    )
    assert second.log.previous_leadership_at <= began_by + 0.5
    changed_at = time.monotonic()
    cluster.heal()
    wait_for(lambda: len(first.machine.items) == 1)
    second.log.transfer_leadership()
    third = wait_for(
        lambda: (
            cluster.find_leader() not in (None, second)
            and cluster.find_leader()
        )
    )
    previous_at = third.log.previous_leadership_at
    assert previous_at > began_by
    assert started_at < previous_at < changed_at + 10


def test_cut_off_leader_serves_no_read_and_steps_down(cluster):
    """Guards against stale reads from a leader without a majority."""
    leader = cluster.wait_leader()
    cluster.propose(b'x')
    cluster.isolate(leader.name)
    wait_for(lambda: not leader.log.is_leading(), timeout_s=1)
    with pytest.raises(NotLeaderError):
        leader.log.read_barrier(0.1)
    wait_for(lambda: leader.log.status().role != 'leader', timeout_s=2)
    with pytest.raises(NotLeaderError):
        leader.log.propose(b'y', 0.1)


def test_proposal_of_a_cut_off_leader_is_in_doubt(cluster):
    """Guards against a reported result that no majority has stored."""
    leader = cluster.wait_leader()
    cluster.isolate(leader.name)
    with pytest.raises(CommitUnknownError):
        leader.log.propose(b'lost', 0.2)
    wait_for(lambda: cluster.find_leader() not in (None, leader))
    cluster.propose(b'kept')
    cluster.heal()
    wait_for(lambda: leader.machine.items == [b'kept'])


def test_returning_member_does_not_disturb(cluster):
    """Guards against a partitioned member that deposes the leader.

    Without pre-vote it would return with a higher term.
    """
    leader = cluster.wait_leader()
    other = next(node for node in cluster.nodes.values() if node != leader)
    term = leader.log.status().term
    cluster.isolate(other.name)
    wait_for(lambda: other.log.status().role == 'candidate')
    for number in range(20):
        cluster.propose(b'%d' % number)
    assert other.log.status().term == term
    cluster.heal()
    wait_for(lambda: len(other.machine.items) == 20)
    assert leader.log.is_leading()
    assert leader.log.status().term == term


def test_transfer_hands_over_before_a_stop(cluster):
    """Guards against a graceful stop that waits for an election."""
    leader = cluster.wait_leader()
    cluster.propose(b'x')
    events = []
    leader.log.on_leadership(events.append)
    started = time.monotonic()
    assert leader.log.transfer_leadership()
    assert time.monotonic() - started < cluster.options.election_timeout_min_s
    assert not leader.log.is_leading()
    assert cluster.wait_leader() is not leader
    # The callback may still be notified of the start of this leadership.
    wait_for(lambda: events in ([False], [True, False]))
