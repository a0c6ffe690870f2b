"""Load pattern: targets that state how many requests they take.

Several replicas state a limit below the load on them, some services have no
replica without one. No network is used.
"""

import asyncio
import bisect
import random

import pytest

from testkit.gateway import SimulatedTier
from testkit.virtual import run_virtual

OBJECTIVE_MS = 92
# Share of the targets that state a limit, and the limit as a share of their
# even part of the load.
LIMITED_SHARE = 0.7
LIMIT_SHARE = 0.5
# Within a window, a target takes this multiple of its limit and a few more.
WINDOW_S = 4
TOLERANCE = 1.5
SLACK = 5
# Time after which the entries keep to a limit that is stated anew.
NOTICE_S = 4


def limit_targets(tier, per_s):
    """Let targets state a limit; return them."""
    targets = tier.list_all_targets()
    count = round(len(targets) * LIMITED_SHARE)
    limited = random.Random(5).sample(targets, count)
    for target in limited:
        target.limit_per_s = per_s / 3 * LIMIT_SHARE
    return limited


def count_most(target, since):
    """Return the most requests that a target received within a window."""
    times = [at for at in target.received_at if at >= since]
    return max(
        (
            number + 1 - bisect.bisect_right(times, at - WINDOW_S)
            for number, at in enumerate(times)
        ),
        default=0,
    )


def count_allowed(target):
    return TOLERANCE * target.limit_per_s * WINDOW_S + SLACK


def list_broken(limited, since):
    """Return targets that received too much, with counts and bounds."""
    counts = [
        (target.name, count_most(target, since), count_allowed(target))
        for target in limited
    ]
    return [each for each in counts if each[1] > each[2]]


async def play_limited(tier, per_s, seconds=12):
    """Send requests while targets state limits; return answers and breaks."""
    sharing = asyncio.ensure_future(tier.exchange_reports())
    await tier.send_requests(per_s * 2, per_s)
    limited = limit_targets(tier, per_s)
    since = asyncio.get_running_loop().time() + NOTICE_S
    answers = await tier.send_requests(per_s * seconds, per_s)
    sharing.cancel()
    return answers, list_broken(limited, since)


@pytest.mark.parametrize(
    ('entries', 'shards', 'per_s'), [(6, 10, 90), (59, 36, 56), (191, 42, 50)]
)
def test_all_entries_together_keep_to_the_limits(entries, shards, per_s):
    """Guards against targets that get more than they take from all entries.

    No entry knows what the others send.
    """

    async def play():
        tier = SimulatedTier(
            entries,
            shards=shards,
            objective_ms=OBJECTIVE_MS,
            min_coverage=0.89,
        )
        return await play_limited(tier, per_s)

    _, broken = run_virtual(play())
    assert broken == []


def make_tier(entries=6, shards=10, **fields):
    return SimulatedTier(
        entries,
        shards=shards,
        objective_ms=OBJECTIVE_MS,
        **{'min_coverage': 0.89, **fields},
    )


def share_answered(answers):
    good = [one for one, _ in answers if one.status == 200]
    return len(good) / len(answers)


def test_change_of_the_leader_does_not_add_to_the_limits():
    """Guards against a leader that grants again what the former one granted.

    There is no leader for a second, then one that knows of no limits.
    """

    async def change(tier):
        await asyncio.sleep(8)
        tier.end_leadership()
        await asyncio.sleep(1)
        tier.begin_leadership(asyncio.get_running_loop().time())

    async def play():
        tier = make_tier()
        changing = asyncio.ensure_future(change(tier))
        answers, broken = await play_limited(tier, 90)
        await changing
        return answers, broken

    answers, broken = run_virtual(play())
    assert broken == []
    assert share_answered(answers) > 0.5


@pytest.mark.parametrize(('entries', 'lost'), [(6, 6), (6, 3), (191, 100)])
def test_entries_out_of_touch_keep_to_a_small_share(entries, lost):
    """Guards against entries that send as much as they like on their own."""

    async def play():
        tier = make_tier(entries, shards=10, min_coverage=0.1)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(180, 90)
        limited = limit_targets(tier, 90)
        await tier.send_requests(180, 90)
        for entry in tier.entries[:lost]:
            entry.limits = None
            entry.allocator = None
        since = asyncio.get_running_loop().time()
        await tier.send_requests(900, 90)
        sharing.cancel()
        return list_broken(limited, since)

    assert run_virtual(play()) == []


def test_entry_that_starts_learns_the_limits_at_once():
    """Guards against a first request of each entry without a permit."""

    async def play():
        tier = make_tier(entries=40, shards=3)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        # Only the first entry has seen replies.
        for target in tier.list_all_targets():
            target.limit_per_s = 10
        for number in range(20):
            await tier.entries[0].send_request(f'a{number}')
        await asyncio.sleep(2)
        sharing.cancel()
        return [
            target.limit_per_s
            for entry in tier.entries
            for service in tier.targets
            for target in entry.directory.list_usable(service)
        ]

    assert set(run_virtual(play())) == {10}


def test_load_returns_when_the_limit_ends():
    """Guards against a limit that outlives the need of its targets."""

    async def play():
        tier = make_tier()
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(180, 90)
        for target in tier.list_all_targets():
            target.limit_per_s = 2
        short = await tier.send_requests(450, 90)
        for target in tier.list_all_targets():
            target.limit_per_s = 0
        await tier.send_requests(180, 90)
        after = await tier.send_requests(180, 90)
        sharing.cancel()
        return share_answered(short), share_answered(after)

    short, after = run_virtual(play())
    assert short < 0.5
    assert after == 1


def test_requests_go_to_replicas_without_a_limit():
    """Guards against refusals and waits while another replica has room."""

    async def play():
        tier = make_tier()
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(180, 90)
        for targets in tier.targets.values():
            for target in targets[:2]:
                target.limit_per_s = 1
        answers = await tier.send_requests(450, 90)
        sharing.cancel()
        return answers

    answers = run_virtual(play())
    in_time = [duration for _, duration in answers if duration < OBJECTIVE_MS]
    assert share_answered(answers) == 1
    assert len(in_time) > 0.97 * len(answers)


def test_what_does_not_fit_is_refused_at_once():
    """Guards against requests that wait for targets without room."""

    async def play():
        tier = make_tier()
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(180, 90)
        for target in tier.list_all_targets():
            target.limit_per_s = 15
        await tier.send_requests(90, 90)
        answers = await tier.send_requests(900, 90)
        sharing.cancel()
        return answers

    answers = run_virtual(play())
    refused = [duration for one, duration in answers if one.status == 503]
    # Three replicas of a shard take 45 of 90 requests a second together. As an
    # answer needs nine of ten shards, a few more can be given.
    assert 0.45 < share_answered(answers) < 0.6
    assert max(refused) < OBJECTIVE_MS / 4


@pytest.mark.parametrize('limit', [0, 0.1, 1])
def test_small_limits_hold(limit):
    """Guards against a target without requests, whose limit never ends."""

    async def play():
        tier = make_tier(min_coverage=0.1)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(180, 90)
        targets = tier.list_all_targets()
        for target in targets:
            # A limit of 0 would not be stated by the simulated target.
            target.limit_per_s = limit or 1e-9
        await tier.send_requests(360, 90)
        since = asyncio.get_running_loop().time()
        await tier.send_requests(1800, 90)
        sharing.cancel()
        counts = [
            len([at for at in target.received_at if at > since])
            for target in targets
        ]
        return list_broken(targets, since), counts

    broken, counts = run_virtual(play())
    assert broken == []
    assert min(counts) > 0


def test_no_request_reaches_a_limited_target_twice():
    """Guards against a second attempt that uses the permit of the first.

    It went to the same target, which counts both against its limit, instead of
    another replica.
    """

    async def play():
        tier = make_tier(shards=4)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(60, 40)
        limited = limit_targets(tier, 200)
        await tier.send_requests(200, 40)
        for target in limited:
            target.service_time_s = 0.1
            # Ids begin anew with each series of requests.
            target.received_ids.clear()
        await tier.send_requests(400, 40)
        sharing.cancel()
        return [
            len(target.received_ids) - len(set(target.received_ids))
            for target in limited
        ]

    assert sum(run_virtual(play())) == 0
