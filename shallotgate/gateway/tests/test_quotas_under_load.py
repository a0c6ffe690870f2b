"""Load patterns and failures of many entries that share the limits of accounts.

Each pattern checks that no window has more requests than are allowed. Accounts
send 1/1.6 of their limit usually and six times that in a surge. No network is
used.
"""

import asyncio

import pytest

from shallotgate.account_limits import get_allowance
from shallotgate.routes import ClientAccount
from testkit.gateway import QuotaTier, count_peak
from testkit.virtual import run_virtual

LARGE = ClientAccount('a', rate_per_s=24, burst=24)
MIDDLE = ClientAccount('a', rate_per_s=5, burst=5)
SMALL = ClientAccount('a', rate_per_s=1, burst=2)
# Requests of other accounts, by which entries hear from the leader.
OTHERS = ClientAccount('others', rate_per_s=1000, burst=1000)
SURGE_AT = 8
SURGE_S = 5

all_accounts = pytest.mark.parametrize(
    'account', [SMALL, MIDDLE, LARGE], ids=['small', 'middle', 'large']
)


def play(account, script=None, size=78, surge=6, entries=slice(None)):
    """Return the tier after a surge, during which a script runs.

    The script begins with the usual load; the surge begins 8 s later.
    """
    usual_per_s = account.rate_per_s / 1.6

    async def load(tier):
        some = tier.entries[entries]
        await tier.send('a', usual_per_s, SURGE_AT, some, seed=1)
        await tier.send('a', usual_per_s * surge, SURGE_S, some, seed=2)
        await tier.send('a', usual_per_s, 7, some, seed=3)

    async def run():
        tier = QuotaTier({'a': account, 'others': OTHERS}, size)
        tasks = [
            asyncio.ensure_future(tier.follow()),
            asyncio.ensure_future(tier.send('others', size / 2, 99, seed=4)),
        ]
        tier.begin_leadership()
        # Longer than the leader needs to know what is usual.
        await asyncio.sleep(6)
        loading = asyncio.ensure_future(load(tier))
        if script is not None:
            await script(tier)
        await loading
        for task in tasks:
            task.cancel()
        return tier

    return run_virtual(run())


def assert_bound(tier, account):
    peak = count_peak(tier.list_admitted('a'))
    assert peak <= get_allowance(account)


def assert_limit_is_used(tier, account):
    """Check that a surge gets no less than its limit."""
    peak = count_peak(tier.list_admitted('a'))
    assert peak >= account.rate_per_s * 5 * 0.9


async def lose_leader(tier, after_s=SURGE_AT + 1, lost_s=5.0):
    await asyncio.sleep(after_s)
    tier.end_leadership()
    await asyncio.sleep(lost_s)
    tier.begin_leadership()


@all_accounts
@pytest.mark.parametrize('entries', [slice(None), slice(1), slice(3)])
def test_surge_gets_its_limit_and_no_more(account, entries):
    """Guards against a limit that each entry enforces for itself."""
    tier = play(account, entries=entries)
    assert_bound(tier, account)
    assert_limit_is_used(tier, account)


@all_accounts
@pytest.mark.parametrize('entries', [slice(None), slice(1), slice(3)])
def test_usual_load_is_neither_refused_nor_delayed(account, entries):
    """Guards against refusals within the limit, and against long waits."""
    tier = play(account, surge=1, entries=entries)
    assert tier.count_refused('a') == 0
    waits = sorted(one.decided_at - one.sent_at for one in tier.outcomes)
    assert waits[len(waits) // 2] < 0.005
    assert waits[-1] < 0.025


def test_requests_at_one_entry_do_not_wait_for_the_leader():
    """Guards against a round trip for each request of a large account."""
    tier = play(LARGE, surge=1, entries=slice(1))
    own = [one for one in tier.outcomes if one.account == 'a']
    waited = sum(one.decided_at > one.sent_at for one in own)
    assert waited < len(own) / 20


def test_questions_are_few():
    """Guards against a message for each request, or many without any."""
    surge = play(LARGE, size=1)
    assert surge.leader.questions < 26 * 12
    usual = play(LARGE, surge=1, size=1)
    assert usual.leader.questions < 26 * 4

    async def send_once():
        tier = QuotaTier({'a': LARGE}, 1)
        tier.begin_leadership()
        await asyncio.sleep(6)
        tier.entries[0].request(LARGE)
        await asyncio.sleep(20)
        return tier.leader.questions

    assert run_virtual(send_once()) <= 4


@all_accounts
def test_callers_that_move_between_entries_get_the_limit(account):
    """Guards against shares that stay where the load was."""

    async def move():
        tier = QuotaTier({'a': account}, 20)
        follow = asyncio.ensure_future(tier.follow())
        tier.begin_leadership()
        await asyncio.sleep(6)
        for number in range(14):
            # Usual load at first, then a surge that moves each second.
            per_s = account.rate_per_s * (0.6 if number < 8 else 3.7)
            await tier.send('a', per_s, 1, tier.entries[number:][:1], number)
        follow.cancel()
        return tier

    tier = run_virtual(move())
    assert_bound(tier, account)
    assert_limit_is_used(tier, account)
    refused = [
        one.sent_at
        for one in tier.outcomes
        if not one.decision.is_admitted and one.sent_at < 1013
    ]
    assert len(refused) <= 2


@all_accounts
@pytest.mark.parametrize('entries', [slice(None), slice(1), slice(10)])
@pytest.mark.parametrize('after_s', [SURGE_AT - 0.5, SURGE_AT + 1])
def test_bound_holds_while_the_leader_is_lost(account, entries, after_s):
    """Guards against entries that each use the whole limit on their own."""
    tier = play(account, lambda one: lose_leader(one, after_s), entries=entries)
    assert_bound(tier, account)


@all_accounts
def test_bound_holds_over_changes_of_the_leader(account):
    """Guards against a burst of each new leader."""

    async def change_often(tier):
        for after_s in (SURGE_AT - 1, 0.7, 0.7, 0.7):
            await lose_leader(tier, after_s, lost_s=0.7)

    tier = play(account, change_often)
    assert_bound(tier, account)


def test_small_account_is_served_without_a_leader():
    """Guards against refusals of accounts that can't exceed their limit."""
    tier = play(SMALL, lose_leader, surge=1)
    assert tier.count_refused('a') == 0


def test_account_at_one_entry_is_served_without_a_leader():
    """Guards against a lease that ends with the leader."""
    tier = play(LARGE, lose_leader, surge=1, entries=slice(1))
    assert tier.count_refused('a') < 24 / 1.6 * 5 * 0.05


def test_new_leader_does_not_refuse_usual_load():
    """Guards against refusals while the new leader knows no shares."""

    async def change(tier):
        await lose_leader(tier, lost_s=0)

    for entries in (slice(None), slice(1)):
        tier = play(SMALL, change, surge=1, entries=entries)
        assert tier.count_refused('a') == 0
    tier = play(LARGE, change, surge=1, entries=slice(1))
    assert tier.count_refused('a') == 0


@all_accounts
def test_bound_holds_while_a_third_of_the_entries_is_cut_off(account):
    """Guards against a leader that grants what cut off entries use."""

    async def cut_off(tier):
        await asyncio.sleep(SURGE_AT - 1)
        for entry in tier.entries[::3]:
            entry.is_linked = False
        await asyncio.sleep(SURGE_S + 2)
        for entry in tier.entries[::3]:
            entry.is_linked = True

    tier = play(account, cut_off)
    assert_bound(tier, account)


def test_entry_that_is_cut_off_keeps_its_lease_for_ten_seconds():
    """Guards against a limit that is used twice, or by nobody."""

    async def cut_off(tier):
        await asyncio.sleep(3)
        tier.entries[0].is_linked = False
        # The callers move, and some stay.
        await tier.send('a', 96, SURGE_S, tier.entries[1:4], seed=5)

    tier = play(LARGE, cut_off, surge=1, entries=slice(1))
    assert_bound(tier, LARGE)


def test_frozen_entry_does_not_use_up_what_has_expired():
    """Guards against a burst of an entry that resumes."""

    async def freeze(tier):
        await asyncio.sleep(SURGE_AT + 1)
        tier.entries[0].freeze()
        await tier.send('a', 96, 3, tier.entries[1:4], seed=5)
        tier.entries[0].resume()

    tier = play(LARGE, freeze, entries=slice(1))
    assert_bound(tier, LARGE)


@all_accounts
def test_bound_holds_when_all_entries_restart(account):
    """Guards against a share of each new process."""

    async def restart(tier):
        await asyncio.sleep(SURGE_AT + 2)
        for entry in tier.entries:
            entry.restart()

    tier = play(account, restart)
    assert_bound(tier, account)


@pytest.mark.parametrize('entries', [slice(None), slice(1)])
def test_lower_limit_holds_one_window_later(entries):
    """Guards against shares of the former limit."""
    low = ClientAccount('a', rate_per_s=4, burst=4)

    async def lower(tier):
        await asyncio.sleep(SURGE_AT + 1)
        tier.accounts['a'] = low
        for entry in tier.entries:
            entry.client.set_limits([low])

    tier = play(LARGE, lower, entries=entries)
    lowered_at = 1000 + 6 + SURGE_AT + 1
    later = [at for at in tier.list_admitted('a') if at > lowered_at]
    assert count_peak(later) <= get_allowance(low)


def test_callers_that_come_back_in_time_find_room():
    """Guards against a Retry-After at which there is no room yet."""
    tier = play(MIDDLE, surge=1.7, entries=slice(1))
    refused = [one for one in tier.outcomes if not one.decision.is_admitted]
    waits = [one.decision.retry_after_s for one in refused]
    assert all(0 < wait < 1.3 for wait in waits)
    assert len({round(wait, 3) for wait in waits}) > len(waits) / 2


def test_slow_leader_delays_a_request_that_fits_for_a_moment_only():
    """Guards against missed objectives, and refusals, by a busy leader."""

    async def slow_down(tier):
        await asyncio.sleep(SURGE_AT)
        tier.latency_s = 0.025

    for account in (SMALL, MIDDLE):
        tier = play(account, slow_down, surge=1)
        assert tier.count_refused('a') == 0
    own = [one for one in tier.outcomes if one.account == 'a']
    assert max(one.decided_at - one.sent_at for one in own) < 0.1
    tier = play(SMALL, slow_down, surge=1)
    own = [one for one in tier.outcomes if one.account == 'a']
    assert max(one.decided_at - one.sent_at for one in own) < 0.031
