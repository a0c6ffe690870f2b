"""Load pattern: many entries with few requests each, and slow targets.

With 120 entries and 30 queries a second, each entry has one query every 4 s and
cannot judge targets by its own replies. No network is used.
"""

import asyncio
import random

from shallotgate.gateway._reply_stats import ReplyStats
from testkit.gateway import SimulatedTier
from testkit.virtual import run_virtual

ENTRIES = 120
SHARDS = 20
PER_S = 30


def play_slow(is_shared):
    """Return answers, and the requests to slow targets after 1 s."""

    async def play():
        tier = SimulatedTier(ENTRIES, shards=SHARDS, objective_ms=60)
        sharing = (
            asyncio.ensure_future(tier.exchange_reports())
            if is_shared
            else None
        )
        await tier.send_requests(PER_S * 5, PER_S)
        slow = [targets[0] for targets in tier.targets.values()]
        for target in slow[::2]:
            target.service_time_s = 0.1
        answers = await tier.send_requests(PER_S, PER_S)
        before = sum(len(one.received_ids) for one in slow[::2])
        answers += await tier.send_requests(PER_S * 5, PER_S)
        if sharing is not None:
            sharing.cancel()
        return answers, sum(len(one.received_ids) for one in slow[::2]) - before

    return run_virtual(play())


def test_slow_targets_that_others_saw_are_avoided():
    """Guards against each entry having to detect slow targets itself."""
    _, alone = play_slow(is_shared=False)
    answers, shared = play_slow(is_shared=True)
    assert shared < alone / 2
    in_time = [duration for _, duration in answers if duration < 60]
    assert len(in_time) > 0.95 * len(answers)


def test_targets_that_pause_by_turns_are_not_called_slow():
    """Guards against avoiding targets because of single short pauses."""

    async def pause(tier):
        loop = asyncio.get_running_loop()
        targets = tier.list_all_targets()
        while True:
            for target in targets:
                target.paused_until = loop.time() + 0.1
                await asyncio.sleep(2.4 / len(targets))

    async def play():
        tier = SimulatedTier(ENTRIES, shards=SHARDS)
        running = [
            asyncio.ensure_future(tier.exchange_reports()),
            asyncio.ensure_future(pause(tier)),
        ]
        told = []
        for _ in range(8):
            await tier.send_requests(PER_S, PER_S)
            told.append(len(tier.entries[0].directory.list_degraded()))
        for task in running:
            task.cancel()
        return told

    told = run_virtual(play())
    assert max(told) <= 0.1 * SHARDS * 3


def test_second_attempts_last_while_each_entry_has_few_requests():
    """Guards against one retry exhausting the budget for seconds.

    The tier as a whole has several times the required budget.
    """

    async def pause(tier):
        loop = asyncio.get_running_loop()
        targets = tier.list_all_targets()
        # Replicas of a shard do not pause in direct succession.
        random.Random(ENTRIES).shuffle(targets)
        while True:
            for target in targets:
                target.paused_until = loop.time() + 0.1
                await asyncio.sleep(2.4 / len(targets))

    async def play():
        tier = SimulatedTier(
            59,
            shards=36,
            slack=158,
            objective_ms=80,
            min_coverage=0.9,
        )
        pausing = asyncio.ensure_future(pause(tier))
        answers = await tier.send_requests(600, per_s=60)
        pausing.cancel()
        return answers

    answers = run_virtual(play())
    missing = [int(dict(one.headers).get(b'missing', 99)) for one, _ in answers]
    assert missing.count(0) > 0.95 * len(answers)


def test_entries_that_all_turn_to_one_target_do_not_keep_links_to_it():
    """Guards against exceeding the connection limit of a target.

    Targets reset connections beyond their limit.
    """

    async def play():
        tier = SimulatedTier(84, shards=2, max_connections=74, objective_ms=100)
        await tier.send_requests(PER_S * 10, 60)
        for targets in tier.targets.values():
            for target in targets[1:]:
                target.is_not_run = True
        await tier.send_requests(PER_S * 10, 60)
        return [
            sum(
                each.count_connections(targets[0].name) for each in tier.entries
            )
            for targets in tier.targets.values()
        ]

    assert max(run_virtual(play())) <= 74


def test_all_entries_hear_of_slow_targets_within_half_a_second():
    """Guards against conditions delayed until the next poll."""

    async def play():
        tier = SimulatedTier(ENTRIES, shards=SHARDS)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(PER_S * 5, PER_S)
        for targets in tier.targets.values():
            targets[0].service_time_s = 0.1
        await tier.send_requests(PER_S // 2, PER_S)
        await asyncio.sleep(0.1)
        told = [len(each.directory.list_degraded()) for each in tier.entries]
        sharing.cancel()
        return told

    assert min(run_virtual(play())) > SHARDS / 2


def test_trouble_is_told_without_waiting_for_the_turn():
    """Guards against reports that are never sent, or for each reply."""
    calls = []
    reply_stats = ReplyStats(lambda: calls.append(1))
    for _ in range(10):
        reply_stats.add_reply('t1', 1.1)
    reply_stats.add_failure('t1')
    reply_stats.add_reply('t2', 3)
    assert calls == []
    reply_stats.add_failure('t3')
    assert calls == [1]
    reply_stats.drain()
    reply_stats.add_failure('t3')
    assert calls == [1]


def test_requests_at_the_same_time_share_the_one_target_that_is_left():
    """Guards against refusals while another request is in flight.

    Targets accept fewer connections than there are entries, so that the share
    of an entry is less than one connection.
    """

    async def play():
        tier = SimulatedTier(84, shards=6, max_connections=74)
        for targets in tier.targets.values():
            targets[0].is_up = False
            targets[1].is_up = False
        await tier.entries[0].send_request('first')
        asked = [
            tier.entries[0].send_request(f'q{number}') for number in range(3)
        ]
        return await asyncio.gather(*asked)

    answers = run_virtual(play())
    assert [one.status for one, _ in answers] == [200] * 3
    assert {dict(one.headers)[b'missing'] for one, _ in answers} == {b'0'}


def test_bursts_at_entries_leave_no_links_at_a_target_with_little_room():
    """Guards against idle connections of all entries adding up."""

    async def play():
        tier = SimulatedTier(84, shards=2, max_connections=74)
        for targets in tier.targets.values():
            targets[1].is_up = False
            targets[2].is_up = False
        most = 0
        for number in range(20):
            await asyncio.gather(
                *(
                    tier.entries[(number * 7 + step // 3) % 84].send_request(
                        f'{step}'
                    )
                    for step in range(21)
                ),
            )
            connections = sum(
                each.count_connections('s0-0') for each in tier.entries
            )
            most = max(most, connections)
            await asyncio.sleep(0.1)
        return most

    assert run_virtual(play()) <= 74


def test_few_entries_do_not_exceed_the_connection_limit_of_a_target():
    """Guards against three connections of each entry where two fit.

    Targets reset connections beyond their limit. All requests go to one target
    of each service, in bursts.
    """

    async def play():
        tier = SimulatedTier(6, shards=3, max_connections=14)
        for targets in tier.targets.values():
            targets[1].is_not_run = True
            targets[2].is_not_run = True
        most = 0
        for _ in range(30):
            asked = [
                asyncio.ensure_future(each.send_request(f'{step}'))
                for each in tier.entries
                for step in range(4)
            ]
            for _ in range(20):
                await asyncio.sleep(0.002)
                connections = sum(
                    each.count_connections('s0-0') for each in tier.entries
                )
                most = max(most, connections)
            await asyncio.gather(*asked)
        return most

    assert run_virtual(play()) <= 14
