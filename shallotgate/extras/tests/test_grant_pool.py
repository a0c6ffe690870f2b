"""Bound on what leaders lend in any window."""

import pytest

from shallotgate.extras import ExtraAllowance, ExtraPool

WINDOW_S = 10
ALLOWANCE = ExtraAllowance(ratio=0.2, slack=100, window_s=WINDOW_S)
# Part of the slack that is lent.
LENT = 35


@pytest.fixture
def pool():
    pool = ExtraPool(ALLOWANCE)
    pool.begin(-WINDOW_S)
    return pool


def test_no_window_has_more_than_the_lent_part(pool):
    """Guards against a bound that holds for each answer only."""
    lent = [
        (step / 10, pool.lend('s', 3, now=step / 10)) for step in range(400)
    ]
    for start, _ in lent:
        inside = [
            count for at, count in lent if start <= at <= start + WINDOW_S
        ]
        assert sum(inside) <= LENT
    assert sum(count for _, count in lent) >= 3 * LENT


def test_one_service_does_not_use_up_what_others_need(pool):
    """Guards against trouble at one service that costs all others."""
    assert pool.lend('a', 1000, now=0) == LENT
    assert pool.lend('a', 1, now=1) == 0
    assert pool.lend('b', 5, now=1) == 5


def test_new_leader_lends_little_at_first():
    """Guards against a double bound when the leader changes."""
    pool = ExtraPool(ALLOWANCE)
    assert pool.lend('s', 1, now=0) == 0
    pool.begin(0)
    assert pool.lend('s', 100, now=2) == 7
    pool.end()
    assert pool.lend('s', 1, now=9) == 0


def test_idle_services_are_forgotten(pool):
    """Guards against memory that grows with each service there ever was."""
    pool.lend('a', 1, now=0)
    pool.lend('b', 1, now=8)
    pool.forget_idle(now=12)
    assert pool.services == ('b',)
