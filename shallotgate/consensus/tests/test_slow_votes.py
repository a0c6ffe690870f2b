"""Elections on disks that take long to store a vote."""

import time

import pytest

from shallotgate.consensus.tests.cluster import wait_for

# Several times the waits for votes that follow each other until one is long
# enough, and their random parts.
_ELECTED_S = 12


def slow_down(node, write_s):
    """Let a member's disk take a time for each write of its vote."""
    folder = node.log._folder
    write_vote = folder.write_vote
    written = []

    def write_slowly(vote):
        time.sleep(write_s)
        written.append(vote)
        write_vote(vote)

    folder.write_vote = write_slowly
    return written


@pytest.mark.parametrize('write_s', [0.15, 0.4])
def test_leader_is_elected_although_votes_take_long(cluster, write_s):
    """Guards against elections that never end.

    A candidate gave up the votes that it waited for and began the next
    election before a slow disk could store one.
    """
    leader = cluster.wait_leader()
    others = [node for node in cluster.nodes.values() if node is not leader]
    for node in others:
        slow_down(node, write_s)
    cluster.stop(leader.name)
    wait_for(lambda: any(node.log.is_leading() for node in others), _ELECTED_S)


def test_vote_takes_one_write(cluster):
    """Guards against a vote that waits for the disk twice."""
    leader = cluster.wait_leader()
    others = [node for node in cluster.nodes.values() if node is not leader]
    written = [slow_down(node, 0) for node in others]
    cluster.stop(leader.name)
    wait_for(lambda: any(node.log.is_leading() for node in others))
    for votes in written:
        terms = [vote.term for vote in votes]
        assert len(terms) == len(set(terms))
