"""Tests of automatic membership changes."""

import time
from dataclasses import replace

import pytest

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus.tests.cluster import wait_for
from shallotgate.errors import NotLeaderError

OPTIONS = ConsensusOptions(
    automatic_membership=True, snapshot_interval_records=20
)


@pytest.fixture
def cluster(make_cluster):
    """Members a to c bootstrap the group; d and e may join it later."""
    cluster = make_cluster('abcde', OPTIONS)
    cluster.founders = 'abc'
    cluster.start(*'abc')
    return cluster


def list_voters(cluster):
    leader = cluster.find_leader()
    if leader is None:
        return ''
    members = leader.log.status().members
    return ''.join(
        sorted(member.instance for member in members if member.voter)
    )


def wait_voters(cluster, expected):
    wait_for(lambda: list_voters(cluster) == expected, 20)


def test_instance_that_asks_to_join_gets_a_vote(cluster):
    """Guards against a group that is limited to its initial members."""
    cluster.wait_leader()
    cluster.propose(b'before')
    cluster.start('d', bootstrap=False)
    wait_voters(cluster, 'abcd')
    cluster.propose(b'after')
    node = cluster.nodes['d']
    wait_for(lambda: node.machine.items[-1:] == [b'after'])


def test_newcomer_takes_the_place_of_a_lost_member(cluster):
    """Guards against loss of the majority by a second failure.

    A failed member has to be replaced by a new one within 4 s, because the
    next member may fail then.
    """
    cluster.wait_leader()
    cluster.propose(b'0')
    cluster.stop('a')
    cluster.start('d', bootstrap=False)
    wait_for(lambda: list_voters(cluster) == 'bcd', 4)
    cluster.propose(b'1')
    cluster.stop('b')
    cluster.start('e', bootstrap=False)
    wait_for(lambda: list_voters(cluster) == 'cde', 4)
    cluster.propose(b'last')
    node = cluster.nodes['c']
    wait_for(lambda: node.machine.items == [b'0', b'1', b'last'])


def test_newcomer_is_admitted_before_one_of_three_is_removed(cluster):
    """Guards against a group of two, in which one lost disk is the end.

    The member that was removed and still has its disk could not help then.
    """
    leader = cluster.wait_leader()
    name = next(member for member in 'abc' if member != leader.name)
    cluster.stop(name)
    time.sleep(OPTIONS.replace_unresponsive_s + 0.3)
    cluster.start('d', bootstrap=False)
    rest = 'abcd'.replace(name, '')
    seen = set()

    def is_replaced():
        seen.add(list_voters(cluster))
        return list_voters(cluster) == rest

    wait_for(is_replaced, 10)
    assert min(len(voters) for voters in seen if voters) == 3


def test_change_waits_until_the_former_one_is_committed(cluster):
    """Guards against two open changes, whose majorities need not overlap."""
    leader = cluster.wait_leader()
    state = leader.log._state
    cluster.propose(b'settled')
    # Neither follower answers, so nothing is committed.
    for name in set('abc') - {leader.name}:
        cluster.isolate(name)
    cluster.start(*'de', bootstrap=False)
    wait_for(lambda: len(state.journal.group.members) == 4)
    index = state.journal.groups.latest_index
    wait_for(lambda: state.leadership is None)
    assert state.journal.groups.latest_index == index


def test_member_with_a_lost_disk_is_replaced_without_an_operator(cluster):
    """Guards against a wiped member that never becomes a voter again."""
    leader = cluster.wait_leader()
    for number in range(30):
        cluster.propose(b'%d' % number)
    name = next(member for member in 'abc' if member != leader.name)
    cluster.stop(name)
    cluster.wipe(name)
    cluster.start(name, bootstrap=False)
    node = cluster.nodes[name]
    wait_for(lambda: len(node.machine.items) == 30, 20)
    wait_for(lambda: node.log.status().role == 'follower', 20)


def test_silent_member_of_an_even_group_leaves_and_may_come_back(cluster):
    """Guards against four members, which tolerate only one failure."""
    cluster.wait_leader()
    cluster.start('d', bootstrap=False)
    wait_voters(cluster, 'abcd')
    leader = cluster.find_leader()
    name = next(member for member in 'abcd' if member != leader.name)
    cluster.stop(name)
    rest = 'abcd'.replace(name, '')
    wait_voters(cluster, rest)
    cluster.start(name, bootstrap=False)
    wait_voters(cluster, 'abcd')


def test_silent_member_of_three_stays(cluster):
    """Guards against a group of two, which tolerates no failure."""
    leader = cluster.wait_leader()
    name = next(member for member in 'abc' if member != leader.name)
    cluster.stop(name)
    time.sleep(OPTIONS.remove_unresponsive_s + 1)
    assert list_voters(cluster) == 'abc'


def test_lease_does_not_outlive_a_suspension(cluster, monkeypatch):
    """Guards against a leader that uses its lease after a suspension.

    CLOCK_MONOTONIC does not advance during a system suspend.
    """
    leader = cluster.wait_leader()
    assert leader.log.is_leading()
    module = 'shallotgate.consensus._leadership.read_lease_clock'
    slept_until = time.clock_gettime(time.CLOCK_BOOTTIME) + 5
    monkeypatch.setattr(module, lambda: slept_until)
    assert not leader.log.is_leading()


def test_members_lost_in_turn_and_back_leave_the_group_its_tolerance(
    make_cluster,
):
    """Guards against a group of six that shrinks and loses to two disks.

    One member is down, two others fail before it is back. What is acknowledged
    then has to be readable after the loss of two disks, with all others back.
    """
    cluster = make_cluster('abcdef', OPTIONS)
    cluster.founders = 'abc'
    cluster.start(*'abc')
    cluster.wait_leader()
    cluster.start(*'def', bootstrap=False)
    wait_voters(cluster, 'abcdef')
    leader = cluster.wait_leader()
    first, second, third, fourth, fifth = sorted(set('abcdef') - {leader.name})
    cluster.stop(first)
    wait_voters(cluster, ''.join(sorted(set('abcdef') - {first})))
    cluster.stop(second, third)
    cluster.start(first, bootstrap=False)
    # Longer than it takes to admit the first and to remove one that is down.
    time.sleep(OPTIONS.remove_unresponsive_s + 4)
    cluster.propose(b'acknowledged')
    leader = cluster.wait_leader()
    lost = (leader.name, fourth if fourth != leader.name else fifth)
    cluster.stop(*cluster.nodes)
    for name in lost:
        cluster.wipe(name)
    cluster.start(bootstrap=False)
    second_leader = cluster.wait_leader(20)
    second_leader.log.read_barrier(5)
    assert second_leader.machine.items == [b'acknowledged']


def test_nothing_is_accepted_before_the_group_tolerates_the_stated_losses(
    make_cluster,
):
    """Guards against a first table that two lost disks of five take along.

    The group begins with its three seeds.
    """
    options = replace(OPTIONS, tolerated_losses=2, growth_timeout_s=30)
    cluster = make_cluster('abcde', options)
    cluster.founders = 'abc'
    cluster.start(*'abc')
    cluster.wait_leader()
    with pytest.raises(NotLeaderError):
        cluster.propose(b'early', 1)
    cluster.start(*'de', bootstrap=False)
    assert cluster.propose(b'later', 20) == 1
    assert list_voters(cluster) == 'abcde'


def test_group_that_does_not_grow_accepts_commands_later(make_cluster):
    """Guards against a deployment with too few members that never serves."""
    options = replace(OPTIONS, tolerated_losses=2, growth_timeout_s=1)
    cluster = make_cluster('abc', options)
    cluster.start()
    assert cluster.propose(b'only', 5) == 1
