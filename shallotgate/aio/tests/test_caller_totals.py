"""Choice of the callers to shed, without a network."""

import pytest

from shallotgate.aio import TotalLimits
from shallotgate.aio._caller_totals import CallerTotals

LIMITS = TotalLimits(max_connections=3, max_incomplete=2, max_bytes=100_000)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def totals(clock):
    totals = CallerTotals(LIMITS, clock)
    for key in 'abc':
        totals.add(key)
        clock.now += 1
    return totals


def serve(totals, *keys):
    for key in keys:
        assert totals.admit_request(key, 100)
        totals.finish_request(key, 100)


def test_longest_stalled_caller_makes_room_for_a_connection(totals):
    """Guards against a crowd of silent connections that keeps others out."""
    serve(totals, 'a')
    totals.add('d')
    assert totals.find_excess() == ('b', 'connections')
    totals.remove('b')
    assert totals.find_excess() is None


def test_idle_callers_make_room_only_if_none_is_stalled(totals, clock):
    """Guards against a crowd that sends one request each and stays."""
    for key in 'cab':
        serve(totals, key)
        clock.now += 1
    totals.add('d')
    assert totals.find_excess() == ('c', 'connections')


def test_connection_is_refused_while_all_others_are_served(totals):
    """Guards against cutting requests that may be running."""
    for key in 'abc':
        totals.admit_request(key, 100)
    totals.add('d')
    assert totals.find_excess() == ('d', 'connections')


def test_oldest_incomplete_request_is_shed_first(totals):
    """Guards against headers that never end."""
    for begun_at, key in enumerate('bca'):
        totals.set_incomplete(key, 10, begun_at)
    assert totals.find_excess() == ('b', 'incomplete')


def test_largest_sender_is_shed_first(totals, clock):
    """Guards against many bodies that stop just short of their end."""
    totals.set_incomplete('a', 60_000, clock.now)
    totals.set_incomplete('b', 60_001, clock.now)
    assert totals.find_excess() == ('b', 'bytes')
    totals.remove('b')
    assert totals.find_excess() is None
    assert totals.held_bytes == 60_000


def test_single_large_sender_is_kept(totals, clock):
    """Guards against a legal body that no limit would ever let through."""
    totals.set_incomplete('a', 200_000, clock.now)
    assert totals.find_excess() is None
    totals.set_incomplete('a', 0)
    assert totals.admit_request('a', 200_000)


def test_small_requests_pass_beside_large_ones(totals):
    """Guards against large requests under way that keep out ordinary ones."""
    assert totals.admit_request('a', 74_000)
    assert not totals.admit_request('b', 40_000)
    assert totals.admit_request('b', 1000)
    totals.finish_request('a', 74_000)
    assert totals.admit_request('c', 40_000)


def test_caller_that_does_not_read_is_shed_before_a_new_answer(totals, clock):
    """Guards against shedding the answer that was just written."""
    totals.set_unsent('a', 50_000)
    clock.now += 1
    totals.set_unsent('b', 80_000)
    assert totals.find_excess() == ('a', 'bytes')
    assert totals.list_unread(0.5) == ['a']
    totals.set_unsent('a', 40_000)
    assert not totals.list_unread(0.5)
