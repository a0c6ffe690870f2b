"""Shares that an entry holds."""

import random

import pytest

from shallotgate.account_limits import AccountShares
from shallotgate.generated.messages import GrantShares, ShareGrant
from shallotgate.routes import ClientAccount

ACCOUNT = ClientAccount('a', rate_per_s=10, burst=20)


class Entry:
    """Shares of one entry, with answers of a leader."""

    def __init__(self):
        self.shares = AccountShares(random.Random(1))

    def decide(self, now):
        return self.shares.decide(ACCOUNT, now)

    def count_admitted(self, count, now):
        decisions = [self.decide(now) for _ in range(count)]
        return sum(one is not None and one.is_admitted for one in decisions)

    def answer(self, now, waiting=0, delay_s=0.004, **fields):
        """Ask and get an answer; return the request and the decisions."""
        [request] = self.shares.make_requests({'a': waiting}, now)
        fields = {'places': 0, **fields}
        answer = GrantShares(
            number=1, leading=True, grants=[ShareGrant(**fields)]
        )
        decisions = self.shares.apply([request], answer, now, now + delay_s)
        return request, decisions['a']


@pytest.fixture
def entry():
    entry = Entry()
    for number in range(20):
        entry.decide(number / 10)
    return entry


def test_prefetched_places_are_used_at_once_and_expire(entry):
    """Guards against places that are used after others got them."""
    entry.answer(2, places=3)
    assert entry.count_admitted(2, 2.1) == 2
    assert entry.count_admitted(2, 2.5) == 0
    request, _ = entry.answer(2.6)
    assert request.returned == 1


def test_late_answer_admits_nothing(entry):
    """Guards against a frozen entry that uses what it finds on resuming."""
    _, decisions = entry.answer(2, waiting=3, delay_s=0.6, places=5)
    assert decisions == []
    assert entry.count_admitted(5, 2.6) == 0


def test_lease_saves_up_half_a_second_and_ends(entry):
    """Guards against a burst of an entry that has been frozen."""
    entry.answer(2, rate_per_s=10)
    assert entry.count_admitted(50, 7) == 5
    assert entry.count_admitted(50, 11.9) == 5
    assert entry.count_admitted(50, 12.1) == 0


def test_unused_part_of_a_lease_is_given_up_and_returned(entry):
    """Guards against a limit that stays where the callers were."""
    entry.answer(2, rate_per_s=10)
    request, _ = entry.answer(3, rate_per_s=0.5)
    # 9.96 in the time since the answer, of which 5 are saved up.
    assert request.returned == 4
    assert 0 < request.rate_per_s < 5


def test_refusals_are_kept_for_a_moment_only(entry):
    """Guards against a question for each refused request of a surge."""
    _, decisions = entry.answer(
        2, waiting=2, wait_s=0.3, spacing_s=0.1, rate_per_s=0
    )
    assert [round(one.retry_after_s, 2) for one in decisions] == [0.3, 0.4]
    earlier = entry.decide(2.05)
    assert earlier.decided_by == 'earlier_answer'
    assert earlier.retry_after_s == pytest.approx(0.454)
    assert entry.decide(2.2) is None


def test_lower_limit_scales_what_is_held(entry):
    """Guards against a share of the former limit."""
    entry.answer(2, rate_per_s=8, places=4)
    low = ClientAccount('a', rate_per_s=5, burst=1)
    entry.shares.set_limits([low], 2.01)
    request, _ = entry.answer(2.01)
    assert (request.rate_per_s, request.places) == (4, 2)
    entry.shares.set_limits([], 2.1)
    assert entry.decide(2.1) is None


def test_returned_place_is_stated_once_and_only_if_it_is_young(entry):
    """Guards against places that are used twice, or much later."""
    entry.shares.give_back(ACCOUNT, admitted_at=2, now=2.1)
    entry.shares.give_back(ACCOUNT, admitted_at=1, now=2.1)
    assert entry.answer(2.1)[0].returned == 1
    assert entry.answer(2.2)[0].returned == 0


def test_usage_is_published_and_forgotten(entry):
    """Guards against an order of admission by old figures."""
    entry.answer(2, usage=1.5)
    assert entry.shares.get_usage(ACCOUNT, 3) == 1.5
    assert entry.shares.get_usage(ACCOUNT, 20) == 0


def test_flapping_leader_gives_no_place_each_time(entry):
    """Guards against a fallback place for each loss of the leader."""
    admitted = 0
    for number in range(40):
        now = 10 + number / 10
        decision = entry.shares.decide_alone(ACCOUNT, entries=1000, now=now)
        admitted += decision.is_admitted
        assert decision.is_admitted or decision.retry_after_s > 0
        entry.answer(now)
    assert admitted <= 1


def test_shares_that_are_not_used_are_forgotten():
    """Guards against a table that grows with each account that ever was."""
    shares = AccountShares(random.Random(1))
    for number in range(50):
        shares.decide(ClientAccount(f'a{number}', rate_per_s=1), 0)
    shares.make_requests({}, 40)
    assert not shares._shares
    assert not shares.needs_renewal(40)
