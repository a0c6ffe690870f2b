"""Tests of the decisions on voters."""

from types import SimpleNamespace

import pytest

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus._group import Group, decode_group, encode_group
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._membership_policy import (
    GroupView,
    may_promote,
    plan_change,
)
from shallotgate.consensus.tests.membership_model import explore
from shallotgate.generated.messages import MemberIdentity

OPTIONS = ConsensusOptions(automatic_membership=True)


def make_group(voters, learners=''):
    members = [
        MemberIdentity(instance=name, identity=name, voter=name in voters)
        for name in voters + learners
    ]
    return Group(tuple(members))


def make_view(group, silent, *, has_newcomer=True):
    """Return the view of leader a; members of ``silent`` do not respond."""
    names = {member.identity for member in group.members}
    live = frozenset(names - set(silent))
    return GroupView(
        group=group,
        leader='a',
        ack_ages_s={name: 9.0 if name in silent else 0.0 for name in names},
        admission_ages_s=dict.fromkeys(names, 1.0),
        identities={
            member.instance: member.identity for member in group.members
        },
        live=live,
        responsive=live,
        caught_up=frozenset(),
        newcomers={'new': 'new'} if has_newcomer else {},
        requested={},
    )


def find_removed(group, silent, *, has_newcomer=True):
    view = make_view(group, silent, has_newcomer=has_newcomer)
    change = plan_change(view, OPTIONS).change
    return change.instance if change and change.action == 'remove' else None


@pytest.mark.parametrize('size', [3, 5, 7])
def test_group_of_odd_size_keeps_silent_voters(size):
    """Guards against a group that tolerates fewer lost disks than before.

    A newcomer asks to join and has no vote yet.
    """
    group = make_group('abcdefg'[:size])
    assert find_removed(group, group.members[-1].identity) is None


@pytest.mark.parametrize('has_newcomer', [True, False])
def test_group_of_even_size_removes_one_silent_voter(has_newcomer):
    """Guards against a majority that takes more members than it has to."""
    group = make_group('abcdef')
    assert find_removed(group, 'f', has_newcomer=has_newcomer) == 'f'
    rest = group.without('f')
    assert find_removed(rest, 'e', has_newcomer=has_newcomer) is None


def test_silent_voter_stays_while_another_disk_is_replaced():
    """Guards against a voter that is removed beside a replaced one.

    The group is of even size while the replaced member has no vote.
    """
    group = make_group('abcde').with_member('d', 'new', voter=False)
    assert len(group.voters) == 4
    assert find_removed(group, 'e') is None


def test_silent_learner_is_removed_from_a_group_that_keeps_its_voters():
    """Guards against a lost learner that no other one can take over from."""
    group = make_group('abc', learners='d')
    assert find_removed(group, 'cd') == 'd'


def test_former_size_is_kept_in_the_records():
    """Guards against a new leader that takes a smaller group for the whole."""
    group = make_group('abcde').with_member('d', 'new', voter=False)
    stored = decode_group(encode_group(group.without('e')))
    assert (stored.tolerance, stored.min_voters) == (2, 5)


def test_second_successor_waits_until_a_lost_voter_is_removed():
    """Guards against a lost voter that raises the tolerance for good.

    Two members are lost. With the votes of both successors, seven would count
    as the size of the group, so that the lost ones could not be removed.
    """
    group = make_group('abcdef', learners='g')
    learner = group.find('g')
    assert not may_promote(make_view(group, 'e'), learner)
    assert may_promote(make_view(group.without('e'), ''), learner)
    assert may_promote(make_view(group, ''), learner)


@pytest.mark.parametrize(
    ('voters', 'depth'), [(3, 8), (4, 7), (5, 6), (6, 6), (7, 5)]
)
def test_no_order_of_losses_and_changes_loses_what_was_committed(voters, depth):
    """Guards against members that can't elect a leader with all records.

    Members go down, come back, lose their disks or are replaced in any order,
    between the steps of the leader and before any of its records has arrived.
    At each point, further disks up to the tolerated number are lost. It guards
    against changes that never end, too: at each point, nothing else happens.
    """
    events, states = explore(voters, depth)
    assert events is None
    assert states > 1000


def test_time_in_which_a_group_has_to_stay_as_it_is_begins_anew(monkeypatch):
    """Guards against commands that a group accepts while it still grows."""
    clock = SimpleNamespace(now=0.0)
    module = 'shallotgate.consensus._leadership.read_lease_clock'
    monkeypatch.setattr(module, lambda: clock.now)
    leadership = Leadership(term=2, identity='a', lease_s=0.3)
    ages_s = []
    for now, voters in ((4.0, 'abc'), (6.0, 'abcd'), (9.0, 'abcd')):
        clock.now = now
        ages_s.append(leadership.read_group_age_s(make_group(voters)))
    assert ages_s == [4, 0, 3]
