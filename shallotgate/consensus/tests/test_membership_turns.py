"""Tests of membership changes in the order and on the clock of the test."""

import threading
import time

import pytest

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus.tests.cluster import wait_for
from shallotgate.consensus.tests.virtual_leader import VirtualLeader
from shallotgate.errors import ConsensusError, NotLeaderError

OPTIONS = ConsensusOptions(automatic_membership=True)
# Time within which a successor has to count, because the next member may be
# lost then.
SYNC_S = 4


@pytest.fixture
def make_leader(tmp_path, monkeypatch):
    leaders = []

    def make(voters, options=OPTIONS):
        leader = VirtualLeader(tmp_path, monkeypatch, voters, options)
        leaders.append(leader)
        return leader

    yield make
    for leader in leaders:
        leader.close()


@pytest.mark.parametrize('size', [4, 6])
@pytest.mark.parametrize('moment_s', [0.05, 0.2, 0.5, 1, 2, 4, 6])
def test_learner_lost_before_its_vote_keeps_out_no_other_change(
    make_leader, size, moment_s
):
    """Guards against a lost learner that no member is removed or admitted for.

    A member is removed, comes back without a vote and is lost for good. The
    leader waited for it with the lock of changes held, again and again.
    """
    leader = make_leader('abcdef'[:size])
    lost = 'abcdef'[size - 1]
    rest = leader.voters.replace(lost, '')
    del leader.replying[lost]
    leader.find_time(lambda: leader.voters == rest, SYNC_S)
    leader.joining[lost] = lost
    leader.replying[lost] = lost
    leader.lagging.add(lost)
    leader.run(moment_s)
    assert leader.learners == lost
    leader.joining.clear()
    del leader.replying[lost]
    leader.run(0.5)
    leader.joining['x'] = 'x'
    leader.replying['x'] = 'x'
    leader.find_time(lambda: leader.voters == f'{rest}x', SYNC_S)
    leader.find_time(lambda: leader.learners == '', SYNC_S)


def test_learner_that_caught_up_overtakes_a_lost_one(make_leader):
    """Guards against a lost member that stands first in the group."""
    leader = make_leader('abc')
    leader.joining = {'d': 'd', 'e': 'e'}
    leader.replying |= leader.joining
    leader.lagging.update('de')
    leader.find_time(lambda: leader.learners == 'de')
    del leader.replying['d']
    leader.lagging.clear()
    assert leader.find_time(lambda: leader.voters == 'abce') < 1


@pytest.mark.parametrize('size', [4, 6])
def test_successor_that_comes_at_once_does_not_raise_the_tolerance(
    make_leader, size
):
    """Guards against a lost voter that counts for good.

    Its successor joins before the loss is noticed. With both votes the group
    has to tolerate one loss more, so that the lost voter may not go.
    """
    leader = make_leader('abcdef'[:size])
    tolerance = leader.group.tolerance
    lost = 'abcdef'[size - 1]
    rest = leader.voters.replace(lost, '')
    del leader.replying[lost]
    leader.run(0.3)
    leader.joining['x'] = leader.replying['x'] = 'x'
    leader.find_time(lambda: leader.voters == f'{rest}x', SYNC_S)
    assert leader.group.tolerance == tolerance


def test_wiped_member_that_is_silent_again_keeps_out_no_removal(make_leader):
    """Guards against a second loss during the replacement of a disk.

    The wiped member replies, has not caught up and is silent then. Another
    member is lost for good, and its successor asks to join.
    """
    leader = make_leader('abcdef')
    leader.replying['f'] = 'empty'
    leader.lagging.add('f')
    leader.run(0.5)
    assert ('replace', 'f') in leader.waits
    del leader.replying['f'], leader.replying['e']
    leader.joining['x'] = leader.replying['x'] = 'x'
    leader.find_time(lambda: leader.voters == 'abcdx', SYNC_S)


def test_wiped_member_lost_before_its_vote_is_removed(make_leader):
    """Guards against a member without a vote that stays after its loss.

    Its disk was lost and its former identity replaced before that.
    """
    leader = make_leader('abcde')
    leader.replying['e'] = 'empty'
    leader.find_time(lambda: leader.learners == 'e')
    del leader.replying['e']
    leader.lagging.add('e')
    leader.find_time(lambda: leader.group.find('e') is None, SYNC_S)


def test_newcomer_is_not_removed_before_its_first_reply(make_leader):
    """Guards against a member that is added and removed by turns.

    The leader has been in office for longer than a member may be silent.
    """
    leader = make_leader('abc')
    leader.run(10)
    leader.joining['d'] = 'd'
    leader.find_time(lambda: leader.learners == 'd')
    index = leader.state.journal.last_index
    leader.run(1)
    assert leader.state.journal.last_index == index
    leader.replying['d'] = 'd'
    assert leader.find_time(lambda: leader.voters == 'abcd') < 0.5


def test_next_change_waits_for_the_commit_of_the_former_one(make_leader):
    """Guards against two open changes, whose majorities need not overlap."""
    leader = make_leader('abc')
    leader.lagging.update('bc')
    leader.joining = {'d': 'd', 'e': 'e'}
    leader.run(2)
    assert leader.learners == 'd'
    (wait,) = leader.manager.list_waits()
    assert (wait.action, wait.instance) == ('add', 'd')
    assert wait.waiting_s > 1
    leader.lagging.clear()
    assert leader.find_time(lambda: leader.learners == 'de') < 0.5


def test_silent_voters_that_may_not_go_are_reported(make_leader):
    """Guards against a removal that is refused without a trace."""
    leader = make_leader('abc')
    del leader.replying['c']
    leader.run(3)
    (wait,) = leader.manager.list_waits()
    assert (wait.action, wait.instance) == ('remove', 'c')
    assert 'successor' in wait.reason
    leader.replying['c'] = 'c'
    leader.run(1)
    assert leader.waits == set()


def test_request_of_an_operator_for_a_lost_member_keeps_out_no_change(
    make_leader,
):
    """Guards against a call that holds up the group for as long as it takes.

    The member to be replaced is gone; another one fails, its successor joins.
    """
    leader = make_leader('abcde')
    del leader.replying['e']
    leader.run(0.05)
    errors = []
    thread = threading.Thread(target=call_replace, args=(leader, 'e', errors))
    thread.start()
    try:
        wait_for(lambda: leader.state.leadership.replacements)
        del leader.replying['d']
        leader.joining['x'] = leader.replying['x'] = 'x'
        leader.find_time(
            lambda: len(leader.voters) == 5 and 'x' in leader.voters, SYNC_S
        )
        leader.state.leadership.is_closed = True
    finally:
        leader.run(0.1)
        thread.join(5)
    assert isinstance(errors[0], ConsensusError | NotLeaderError)
    assert leader.state.leadership.replacements == []


def call_replace(leader, instance, errors):
    try:
        leader.manager.replace_member(instance, 30)
    except ConsensusError as error:
        errors.append(error)


def test_request_of_an_operator_tells_why_it_was_not_served(make_leader):
    """Guards against an error that names no cause."""
    leader = make_leader('abc', ConsensusOptions())
    leader.run(1)
    thread_errors = []
    thread = threading.Thread(
        target=call_replace_briefly, args=(leader, 'c', thread_errors)
    )
    del leader.replying['c']
    leader.run(0.05)
    thread.start()
    while thread.is_alive():
        leader.run(0.05)
        time.sleep(0.01)
    assert 'has not replied since the request' in str(thread_errors[0])


def call_replace_briefly(leader, instance, errors):
    try:
        leader.manager.replace_member(instance, 0.3)
    except ConsensusError as error:
        errors.append(error)
