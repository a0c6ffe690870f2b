"""Targets that state in a reply that they leave or want a pause."""

import asyncio

import pytest

from shallotgate.generated.messages import ListedTarget, ListingUpdate
from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual


def make_entry(shards=3, **fields):
    return SimulatedEntry(shards=shards, min_coverage=0.1, **fields)


def list_again(entry, revision, **fields):
    """Let the leader tell the targets of the first service once more."""
    targets = [
        ListedTarget(
            target=target.name,
            service='s0',
            address=target.name,
            domain='abc'[number],
            slots=target.slots,
            **fields,
        )
        for number, target in enumerate(entry.targets['s0'])
    ]
    entry.directory.update(
        ListingUpdate(
            source='x', revision=revision, full=False, targets=targets
        )
    )


def count_received(targets):
    return [len(target.received_ids) for target in targets]


@pytest.mark.parametrize('shards', [1, 3])
def test_target_that_states_that_it_leaves_gets_no_more_requests(shards):
    """Guards against work for a leaving target until the list shows it.

    The platform's list lags, and the leader may be out of touch.
    """

    async def play():
        entry = make_entry(shards)
        leaving = entry.targets['s0'][0]
        await entry.send_requests(60, 50)
        leaving.is_leaving = True
        await entry.send_requests(60, 50)
        before = count_received([leaving])
        # The list still shows it as ready.
        list_again(entry, 2)
        answers = await entry.send_requests(60, 50)
        return before, count_received([leaving]), answers

    before, after, answers = run_virtual(play())
    assert before[0] > 0
    assert after == before
    assert {one.status for one, _ in answers} == {200}


def test_leaving_target_may_come_back_under_its_id():
    """Guards against a target that is never used again after a new start."""

    async def play():
        entry = make_entry(1)
        for target in entry.targets['s0'][:2]:
            target.is_leaving = True
        await entry.send_requests(60, 50)
        first, second, _ = entry.targets['s0']
        first.is_leaving = second.is_leaving = False
        before = count_received([first, second])
        entry.directory.update(
            ListingUpdate(
                source='x',
                revision=2,
                full=False,
                targets=[],
                gone=[first.name],
            )
        )
        list_again(entry, 3)
        entry.restore_pools()
        await entry.send_requests(60, 50)
        return before, count_received([first, second])

    before, after = run_virtual(play())
    assert after[0] > before[0]
    assert after[1] == before[1]


def test_rejected_entry_pauses_for_the_stated_time():
    """Guards against requests at a target that wants none for a while."""

    async def play():
        entry = make_entry(1)
        full = entry.targets['s0'][0]
        # The others are so slow that it would be tried again and again.
        for other in entry.targets['s0'][1:]:
            other.service_time_s = 0.2
        await entry.send_requests(30, 50)
        full.is_not_run = True
        full.pause_s = 4
        await entry.send_requests(30, 50)
        before = count_received([full])
        await entry.send_requests(50, 50)
        during = count_received([full])
        full.is_not_run = False
        await asyncio.sleep(4)
        await entry.send_requests(60, 50)
        return before, during, count_received([full])

    before, during, after = run_virtual(play())
    assert during == before
    assert after[0] > during[0]


def test_pause_of_all_targets_is_a_refusal_at_once():
    """Guards against requests that wait for a pause to end."""

    async def play():
        entry = make_entry(1)
        for target in entry.targets['s0']:
            target.is_not_run = True
            target.pause_s = 5
        await entry.send_requests(10, 50)
        before = count_received(entry.targets['s0'])
        answers = await entry.send_requests(20, 50)
        return before, count_received(entry.targets['s0']), answers

    before, after, answers = run_virtual(play())
    assert after == before
    assert {one.status for one, _ in answers} == {503}
    assert max(duration for _, duration in answers) < 10
