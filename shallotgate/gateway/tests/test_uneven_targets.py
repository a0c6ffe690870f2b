"""Load pattern: a hundred entries, and targets whose speeds differ.

Speeds differ for good (0.8 to 1.3) and for moments (2.5 times, 600 ms), and
each target pauses for 100 ms every 2.4 s. No network is used.
"""

import asyncio
import random
from dataclasses import dataclass

import pytest

from shallotgate.gateway._speed import TargetSpeed
from testkit.gateway import SimulatedTier
from testkit.virtual import run_virtual

ENTRIES = 100
SHARDS = 8
PER_S = 180
OBJECTIVE_MS = 80
MOMENT_S = 0.6
PAUSE_S = 0.1


@dataclass
class Result:
    """Figures of one run."""

    in_time: float
    # Second attempts as a share of the requests to shards.
    second: float
    # Requests that the most used target of a shard got, as a share.
    most_used: float


def make_tier(is_reported=True, **fields):
    """Return entries and targets of lasting speeds from 0.8 to 1.3."""
    tier = SimulatedTier(
        ENTRIES,
        shards=SHARDS,
        max_connections=71,
        objective_ms=OBJECTIVE_MS,
        min_coverage=0.95,
        **fields,
    )
    generator = random.Random(SHARDS)
    for target in tier.list_all_targets():
        target.is_load_reported = is_reported
        target.speed = generator.uniform(0.8, 1.3)
    return tier


async def slow_down_for_moments(tier):
    """Let each target be slow for a moment every 4 s on average."""
    generator = random.Random(1)
    targets = tier.list_all_targets()
    loop = asyncio.get_running_loop()
    while True:
        generator.choice(targets).moment_until = loop.time() + MOMENT_S
        await asyncio.sleep(4 / len(targets))


async def pause_by_turns(tier):
    """Pause each target every 2.4 s."""
    targets = tier.list_all_targets()
    random.Random(2).shuffle(targets)
    loop = asyncio.get_running_loop()
    while True:
        for target in targets:
            target.paused_until = loop.time() + PAUSE_S
            await asyncio.sleep(2.4 / len(targets))


async def measure(tier, seconds, per_s=PER_S):
    """Send requests and return the figures, after others for 4 s."""
    await tier.send_requests(per_s * 4, per_s)
    targets = tier.list_all_targets()
    before = {one.name: len(one.received_ids) for one in targets}
    answers = await tier.send_requests(per_s * seconds, per_s)
    received = {
        one.name: len(one.received_ids) - before[one.name] for one in targets
    }
    in_time = [
        answer.status == 200 and duration_ms < OBJECTIVE_MS
        for answer, duration_ms in answers
    ]
    shares = [
        max(received[one.name] for one in replicas)
        / sum(received[one.name] for one in replicas)
        for replicas in tier.targets.values()
    ]
    asked = len(answers) * SHARDS
    return Result(
        in_time.count(True) / len(answers),
        sum(received.values()) / asked - 1,
        max(shares),
    )


def play(*disturbances, is_reported=True, seconds=4, per_s=PER_S, **fields):
    """Return the figures of a run with disturbances in the background."""

    async def run():
        tier = make_tier(is_reported, **fields)
        running = [asyncio.ensure_future(one(tier)) for one in disturbances]
        if fields.get('has_leader', True):
            running.append(asyncio.ensure_future(tier.exchange_reports()))
        result = await measure(tier, seconds, per_s)
        for task in running:
            task.cancel()
        return result

    return run_virtual(run())


async def slow_down_some(tier):
    """Let 15 in 100 targets be slow by 5 to 10 times for 8 s."""
    await asyncio.sleep(4)
    generator = random.Random(3)
    targets = tier.list_all_targets()
    slow = generator.sample(targets, round(len(targets) * 0.15))
    for target in slow:
        target.speed *= generator.uniform(5, 10)
    await asyncio.sleep(8)


def test_moments_of_slowness_cost_few_second_attempts():
    """Guards against second attempts where waiting takes as long."""
    result = play(slow_down_for_moments, domains='d')
    assert result.in_time > 0.99
    assert result.second < 0.06


def test_entries_without_a_target_nearby_do_not_herd():
    """Guards against all entries using the target that appears free."""
    result = play(
        slow_down_for_moments, domains='d', per_s=PER_S * 3, seconds=1
    )
    assert result.in_time > 0.95
    assert result.most_used < 0.75


def test_moments_and_pauses_leave_answers_in_time():
    """Guards against waiting for a pause that takes longer than a hedge."""
    result = play(slow_down_for_moments, pause_by_turns)
    assert result.in_time > 0.97
    assert result.second < 0.08


def test_slow_targets_are_avoided_without_a_leader():
    """Guards against 15 in 100 targets that are slow while nobody leads."""
    result = play(slow_down_some, has_leader=False, seconds=5)
    assert result.in_time > 0.97
    assert result.second < 0.05


@pytest.mark.parametrize('percent', [80, 130])
def test_lasting_speed_is_kept_apart_from_moments(percent):
    """Guards against a moment that counts as the lasting speed."""
    speed = TargetSpeed()
    for number in range(40):
        is_moment = number % 5 == 0
        speed.record(percent * 5 // 2 if is_moment else percent, number * 0.6)
    assert speed.lasting == percent / 100


def test_slowness_that_lasts_is_remembered_for_longer_than_a_moment():
    """Guards against a slow target that is tried again every second."""
    moment, lasting = TargetSpeed(), TargetSpeed()
    for number in range(5):
        moment.record(100, number)
        lasting.record(100, number)
    for now in (5, 6, 7):
        lasting.record(250, now)
    moment.record(250, 7)
    assert moment.estimate_factor(8) < 1.4
    assert lasting.estimate_factor(8) > 1.7


@pytest.mark.parametrize(
    ('entries', 'domains', 'limit'), [(78, 'abc', 71), (116, 'abcd', 110)]
)
@pytest.mark.parametrize('down', [1, 2])
def test_no_target_gets_more_connections_than_it_accepts(
    entries, domains, limit, down
):
    """Guards against resets when all entries turn to the targets left."""

    # Each entry has three requests a second.
    per_s = entries * 3

    async def run():
        tier = SimulatedTier(
            entries,
            shards=2,
            max_connections=limit,
            domains=domains,
        )
        for target in tier.list_all_targets():
            target.is_load_reported = True
        most = 0

        async def watch():
            nonlocal most
            while True:
                for target in tier.list_all_targets():
                    count = sum(
                        each.count_connections(target.name)
                        for each in tier.entries
                    )
                    most = max(most, count)
                await asyncio.sleep(0.02)

        running = [
            asyncio.ensure_future(watch()),
            asyncio.ensure_future(tier.exchange_reports()),
        ]
        await tier.send_requests(per_s * 2, per_s)
        for replicas in tier.targets.values():
            for target in replicas[:down]:
                target.is_up = False
                target.drops_connection = True
        # A request that loses two targets at once is suspected of crashing them
        # and is not sent again.
        await tier.send_requests(per_s, per_s)
        answers = await tier.send_requests(per_s * 3, per_s)
        for task in running:
            task.cancel()
        return most, answers

    most, answers = run_virtual(run())
    assert most <= limit
    assert all(answer.status == 200 for answer, _ in answers)
