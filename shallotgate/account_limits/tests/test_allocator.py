"""Shares that the leader grants."""

import pytest

from shallotgate.account_limits import ShareAllocator
from shallotgate.generated.messages import ShareRequest
from shallotgate.routes import ClientAccount

ACCOUNT = ClientAccount('a', rate_per_s=10, burst=20)
ACCOUNTS = {'a': ACCOUNT}


class Leader:
    """Allocator that has led since time 0."""

    def __init__(self):
        self.allocator = ShareAllocator()
        self.allocator.activate(0)

    def ask(self, now, entry='e', silent=0.0, accounts=ACCOUNTS, **fields):
        request = ShareRequest(account='a', **fields)
        return self.allocator.grant(entry, request, accounts, silent, now)


@pytest.fixture
def leader():
    return Leader()


def test_burst_and_rate_are_granted_and_no_more(leader):
    """Guards against a rate above the limit, or far below it."""
    places = sum(
        leader.ask(100 + tick / 50, waiting=10).places for tick in range(250)
    )
    assert 26 + 48 <= places <= 26 + 50


def test_new_leader_grants_few_places_and_leaves_the_rest_to_entries(leader):
    """Guards against granting a burst again after each change of leader."""
    grant = leader.ask(0.1, waiting=20, silent=1.0)
    assert grant.places == 3
    assert not grant.decided
    assert leader.ask(2, waiting=40).decided


def test_member_that_does_not_lead_decides_nothing(leader):
    """Guards against two members that grant one limit."""
    leader.allocator.deactivate()
    grant = leader.ask(10, waiting=1)
    assert (grant.places, grant.decided) == (0, False)


def test_unknown_account_is_not_refused_by_the_leader(leader):
    """Guards against refusals by a leader with an older table."""
    grant = leader.ask(10, accounts={}, waiting=1)
    assert not grant.decided


def test_lease_and_bucket_add_up_to_the_limit(leader):
    """Guards against a rate that is counted twice."""
    leased = leader.ask(10, demand_per_s=50).rate_per_s
    assert leased == 7
    leader.ask(10, waiting=100)
    places = sum(
        leader.ask(
            10 + tick / 10, rate_per_s=7, demand_per_s=50, waiting=9
        ).places
        for tick in range(1, 51)
    )
    assert 14 <= places <= 15


def test_lease_is_kept_reserved_until_the_entry_states_less(leader):
    """Guards against a rate that two entries hold as an answer was lost."""
    assert leader.ask(10, 'first', demand_per_s=50).rate_per_s == 7
    assert leader.ask(11, 'second', demand_per_s=50).rate_per_s == 0
    # The answer that halves the rate is lost, then it arrives.
    first = leader.ask(12, 'first', demand_per_s=50, rate_per_s=7, lease_s=9)
    assert first.rate_per_s == 3.5
    assert leader.ask(12.1, 'second', demand_per_s=50).rate_per_s == 0
    leader.ask(12.2, 'first', demand_per_s=50, rate_per_s=3.5, lease_s=9)
    assert leader.ask(12.3, 'second', demand_per_s=50).rate_per_s == 3.5


def test_lease_of_an_entry_that_is_gone_ends(leader):
    """Guards against a limit that a lost entry holds for ever."""
    leader.ask(10, 'gone', demand_per_s=50)
    assert leader.ask(20.9, 'e', demand_per_s=50).rate_per_s == 0
    assert leader.ask(21.1, 'e', demand_per_s=50).rate_per_s > 3


def test_new_leader_reserves_what_entries_state(leader):
    """Guards against granting what the former leader granted already."""
    leader.ask(3, 'e', rate_per_s=7, lease_s=8, demand_per_s=50)
    assert leader.ask(3.1, 'f', demand_per_s=50).rate_per_s == 0


def test_part_of_silent_entries_is_reserved(leader):
    """Guards against granting what cut off entries use on their own."""
    leader.ask(100, waiting=100)
    places = sum(
        leader.ask(100 + tick / 10, waiting=9, silent=0.4).places
        for tick in range(1, 101)
    )
    assert 59 <= places <= 60


def test_returned_places_are_granted_again_up_to_the_burst(leader):
    """Guards against a quota that requests without a run use up."""
    leader.ask(100, waiting=100)
    assert leader.ask(100, returned=5, waiting=9).places == 5
    assert leader.ask(100, returned=500, waiting=500).places == 26


def test_waiting_requests_come_before_those_that_may_come(leader):
    """Guards against a prefetch that uses up the limit at many entries."""
    assert leader.ask(100, prefetch=100).places == 13
    assert leader.ask(100, prefetch=100).places == 0
    assert leader.ask(100, waiting=100).places == 13


def test_refused_requests_get_different_times(leader):
    """Guards against callers that come back at the same moment."""
    leader.ask(100, waiting=26)
    waits = [leader.ask(100, waiting=1).wait_s for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5])


def test_lower_limit_applies_at_once(leader):
    """Guards against a bucket that keeps the burst of a former limit."""
    leader.ask(100)
    low = {'a': ClientAccount('a', rate_per_s=1, burst=0)}
    assert leader.ask(100.1, accounts=low, waiting=50).places == 6


def test_usage_and_busy_accounts_follow_the_demand(leader):
    """Guards against free use of a large account without a leader."""
    assert leader.allocator.list_accounts(2) is None
    leader.ask(100, received=70)
    assert leader.ask(101, received=70).usage == 2
    assert leader.allocator.list_accounts(101).busy == ['a']
    assert leader.allocator.list_accounts(101).exceeding == ['a']
    assert leader.ask(110).usage == 0


def test_state_of_idle_accounts_is_evicted(leader):
    """Guards against a table that grows with each account that ever was."""
    leader.ask(100)
    leader.allocator.grant(
        'e',
        ShareRequest(account='b'),
        {'b': ClientAccount('b', rate_per_s=1)},
        0,
        200,
    )
    assert list(leader.allocator.get_usage(200)) == ['b']
