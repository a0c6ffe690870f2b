"""Load pattern: fan-outs over targets that pause or are slow.

Each target pauses now and then, so that most queries over many shards meet a
paused one. No network is used.
"""

import asyncio

from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual


def read_missing(response):
    return int(dict(response.headers)[b'missing'])


def test_a_paused_target_costs_a_second_attempt_and_no_objective():
    """Guards against waiting for the end of a pause."""

    async def play():
        entry = SimulatedEntry(shards=10)
        loop = asyncio.get_running_loop()
        await entry.send_requests(40, per_s=50)
        for targets in entry.targets.values():
            targets[0].paused_until = loop.time() + 0.15
        return await entry.send_request('late')

    response, duration_ms = run_virtual(play())
    assert response.status == 200
    assert read_missing(response) == 0
    assert duration_ms < 60


def test_pauses_by_turns_leave_answers_whole_and_in_time():
    """Guards against hedges that are late or missing."""

    async def pause(entry):
        loop = asyncio.get_running_loop()
        targets = entry.list_all_targets()
        while True:
            for target in targets:
                target.paused_until = loop.time() + 0.1
                await asyncio.sleep(2.4 / len(targets))

    async def play():
        entry = SimulatedEntry(shards=10)
        pausing = asyncio.ensure_future(pause(entry))
        answers = await entry.send_requests(600, per_s=60)
        pausing.cancel()
        arrivals = sum(
            len(one.received_ids) for one in entry.list_all_targets()
        )
        return answers, arrivals

    answers, arrivals = run_virtual(play())
    in_time = [each for each in answers if each[1] < 100]
    whole = [one for one, _ in in_time if read_missing(one) == 0]
    assert len(in_time) == 600
    assert len(whole) > 570
    assert arrivals < 600 * 10 * 1.2


def test_slow_target_is_avoided_after_a_few_replies():
    """Guards against repeated use of a target that is ten times slower."""

    async def play():
        entry = SimulatedEntry(shards=1, objective_ms=200)
        await entry.send_requests(50, per_s=50)
        slow = entry.targets['s0'][0]
        slow.service_time_s = 0.1
        before = len(slow.received_ids)
        answers = await entry.send_requests(200, per_s=50)
        return answers, len(slow.received_ids) - before

    answers, arrivals = run_virtual(play())
    assert arrivals < 20
    assert max(duration for _, duration in answers) < 130


def test_partial_answer_at_the_objective_if_enough_shards_are_in():
    """Guards against one dead shard delaying the whole query."""

    async def play():
        entry = SimulatedEntry(shards=10)
        await entry.send_requests(20, per_s=50)
        for target in entry.targets['s3']:
            target.service_time_s = 10
        return await entry.send_request('one shard hangs')

    response, duration_ms = run_virtual(play())
    assert response.status == 200
    assert read_missing(response) == 1
    assert 70 < duration_ms < 100


def test_partial_answer_leaves_time_for_its_way_to_the_caller():
    """Guards against missing the objective by part of a round trip."""

    async def play():
        entry = SimulatedEntry(shards=10, objective_ms=50)
        await entry.send_requests(20, per_s=50)
        for target in entry.targets['s3']:
            target.service_time_s = 10
        return await entry.send_request('far away', network_s=0.013)

    response, duration_ms = run_virtual(play())
    assert response.status == 200
    assert duration_ms + 13 < 50


def test_fan_out_that_can_not_succeed_ends_at_once():
    """Guards against holding hopeless requests until their deadline."""

    async def play():
        entry = SimulatedEntry(shards=4, slack=0)
        for shard in ('s0', 's1'):
            for target in entry.targets[shard]:
                target.is_up = False
        return await entry.send_request('two of four shards are down')

    response, duration_ms = run_virtual(play())
    assert response.status == 502
    assert duration_ms < 20


def test_work_is_cancelled_soon_after_the_caller_left():
    """Guards against work for a disconnected caller."""

    async def play():
        entry = SimulatedEntry(shards=3)
        for target in entry.list_all_targets():
            target.service_time_s = 5
        asking = asyncio.ensure_future(entry.send_request('gone'))
        await asyncio.sleep(0.05)
        asking.cancel()
        await asyncio.sleep(0.45)
        return entry.count_in_flight()

    assert run_virtual(play()) == 0


def test_least_coverage_is_met_exactly():
    """Guards against rounding up: 0.56 * 25 is slightly above 14."""

    async def play():
        entry = SimulatedEntry(shards=25, min_coverage=0.56)
        for number in range(11):
            for target in entry.targets[f's{number}']:
                target.is_up = False
        return await entry.send_request('14 of 25 shards')

    response, _ = run_virtual(play())
    assert response.status == 200
    assert read_missing(response) == 11


def test_partial_answer_of_many_shards_leaves_time_to_send_its_signatures():
    """Guards against late answers over 54 shards on a slow network."""

    async def play():
        entry = SimulatedEntry(shards=54, objective_ms=58)
        await entry.send_requests(20, per_s=50)
        for target in entry.targets['s3']:
            target.service_time_s = 10
        return await entry.send_request('many signatures', network_s=0.006)

    response, duration_ms = run_virtual(play())
    assert response.status == 200
    # Network time plus a signature of about 28 bytes per shard at 1.25
    # bytes/us.
    assert duration_ms + 6 + 54 * 28 / 1250 + 5 < 58


def test_target_whose_connections_hang_is_avoided_after_one_request():
    """Guards against repeated attempts on unreachable targets.

    The hedge is answered long before the connect timeout.
    """

    async def play():
        entry = SimulatedEntry(shards=4)
        for targets in entry.targets.values():
            targets[0].is_unresponsive = True
        # Concurrent requests, so that none knows the unresponsive targets yet.
        await asyncio.gather(
            *(entry.send_request(f'first {n}') for n in range(4))
        )
        await asyncio.sleep(0.1)
        return [await entry.send_request(f'later {n}') for n in range(20)]

    answers = run_virtual(play())
    assert all(read_missing(response) == 0 for response, _ in answers)
    assert max(duration for _, duration in answers) < 20
