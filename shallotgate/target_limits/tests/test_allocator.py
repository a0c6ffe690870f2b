"""Grants of the leader for targets with a limit."""

import random

import pytest

from shallotgate.generated.messages import PermitRequest
from shallotgate.target_limits import DENIED, PermitAllocator

LIMITS = {'a': 10, 'b': 10, 'c': 10}


def ask(*choices, needed=None, priority=1, scope='s'):
    return PermitRequest(
        scope=scope,
        priority=priority,
        needed=len(choices) if needed is None else needed,
        choices=[list(choice) for choice in choices],
    )


def count_granted(allocator, request, seconds, per_s, start=0.0):
    """Return how often a request is granted at least one target."""
    granted = 0
    for number in range(int(seconds * per_s)):
        positions = allocator.grant(request, LIMITS, start + number / per_s)
        granted += any(position != DENIED for position in positions)
    return granted


@pytest.fixture
def allocator():
    allocator = PermitAllocator()
    allocator.activate(now=0)
    return allocator


def test_limit_is_granted_and_no_more(allocator):
    """Guards against a rate above the limit, or far below it."""
    assert 95 <= count_granted(allocator, ask('a'), 10, 100) <= 105


def test_burst_after_a_pause_is_bounded(allocator):
    """Guards against saving up the requests of a quiet time."""
    assert count_granted(allocator, ask('a'), 0.1, 1000, start=20) <= 7


def test_new_leader_grants_nothing_at_once(allocator):
    """Guards against granting a burst again after each change of leader."""
    assert count_granted(allocator, ask('a'), 1, 100) > 0
    allocator.deactivate()
    assert allocator.grant(ask('a'), LIMITS, 1) == [DENIED]
    allocator.activate(now=1)
    assert allocator.grant(ask('a'), LIMITS, 1) == [DENIED]
    assert allocator.grant(ask('a'), LIMITS, 1.2) == [0]


def test_next_target_is_granted_when_the_first_is_used_up(allocator):
    """Guards against refusals while another replica has room."""
    positions = {
        allocator.grant(ask('ab'), LIMITS, 0.11 + number / 1000)[0]
        for number in range(3)
    }
    assert positions == {0, 1, DENIED}


def test_request_that_cannot_be_answered_uses_nothing_up(allocator):
    """Guards against permits for some shards of a request that is refused."""
    allocator.grant(ask('a'), LIMITS, 0.11)
    both = ask('a', 'b')
    assert allocator.grant(both, LIMITS, 0.15) == [DENIED, DENIED]
    assert allocator.grant(ask('b'), LIMITS, 0.15) == [0]


def test_shards_beyond_the_needed_are_left_to_others(allocator):
    """Guards against complete answers for some and none for the others."""
    scarce = allocator.grant(ask('a', 'b', 'c', needed=2), LIMITS, 0.15)
    assert scarce.count(DENIED) == 1
    plenty = allocator.grant(ask('a', 'b', 'c', needed=2), LIMITS, 2)
    assert DENIED not in plenty


def test_repeated_attempt_leaves_the_reserve(allocator):
    """Guards against hedges that take the place of first attempts."""
    extra = ask('a', needed=0)
    assert allocator.grant(extra, LIMITS, 0.2) == [DENIED]
    assert allocator.grant(extra, LIMITS, 0.4) == [0]


@pytest.mark.parametrize('needed_by_urgent', [1, 2])
def test_no_priority_is_preferred_to_a_more_urgent_one(
    allocator, needed_by_urgent
):
    """Guards against serving the less urgent because they need fewer shards."""
    generator = random.Random(3)
    granted = {1: 0, 2: 0}
    asked = {1: 0, 2: 0}
    for number in range(3000):
        priority = generator.choice([1, 1, 1, 2])
        needed = needed_by_urgent if priority == 1 else 1
        request = ask('a', 'b', 'c', needed=needed, priority=priority)
        asked[priority] += 1
        positions = allocator.grant(request, LIMITS, number / 60)
        granted[priority] += positions.count(DENIED) < 3
    ratios = {each: granted[each] / asked[each] for each in asked}
    assert ratios[2] <= ratios[1] + 0.05
    assert ratios[2] > ratios[1] / 4


def test_scopes_do_not_hold_each_other_back(allocator):
    """Guards against refusals because other services are short."""
    short = PermitRequest(scope='other', priority=0, needed=1, choices=[['a']])
    for number in range(100):
        allocator.grant(short, {'a': 0.25}, number / 50)
    assert allocator.grant(ask('b'), LIMITS, 2) == [0]


def test_buckets_of_targets_that_are_gone_are_evicted(allocator):
    """Guards against a table that grows with each target that ever was."""
    for number in range(100):
        allocator.grant(ask([f't{number}']), {f't{number}': 1}, 1)
    allocator.grant(ask('a'), LIMITS, 40)
    assert list(allocator._buckets) == ['a']
