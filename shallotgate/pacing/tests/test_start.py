"""Load pattern: targets that start, recover, return cold or flap.

A hundred entries with 180 requests a second use three targets. No network is
used.
"""

import asyncio

from testkit.gateway import SimulatedTarget, SimulatedTier
from testkit.virtual import run_virtual

ENTRIES = 100
PER_S = 180
COLD_FACTOR = 10
# Requests after which a cold target is warm.
WARM_AFTER = 60


def make_tier(replicas=3, **fields):
    """Return entries in the domain of the first target only."""
    targets = {
        's0': [
            SimulatedTarget(f's0-{number}', is_load_reported=True)
            for number in range(replicas)
        ]
    }
    return SimulatedTier(
        ENTRIES, shards=1, targets=targets, domains='a', **fields
    )


async def warm_up(target):
    """Let a target be slow until it has processed some requests."""
    begun_at = len(target.completed_ids)
    while len(target.completed_ids) < begun_at + WARM_AFTER:
        done = (len(target.completed_ids) - begun_at) / WARM_AFTER
        target.speed = COLD_FACTOR ** (1 - done)
        await asyncio.sleep(0.05)
    target.speed = 1


async def restart(tier, position=0):
    """List a target as a new one under another name."""
    replicas = tier.targets['s0']
    old = replicas[position]
    old.is_up = False
    new = SimulatedTarget(f'{old.name}+', is_load_reported=True)
    replicas[position] = new
    tier.list_targets()
    return new


def play(scenario, **fields):
    """Run a scenario after 5 s of load; return its result."""

    async def run():
        tier = make_tier(**fields)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(PER_S * 5, PER_S)
        try:
            return await scenario(tier)
        finally:
            sharing.cancel()

    return run_virtual(run())


def find_longest(answers):
    return max(duration_ms for _, duration_ms in answers)


def test_start_of_a_cold_target_delays_no_request_for_long():
    """Guards against a hundred entries that flood a new target."""

    async def start(tier):
        new = await restart(tier)
        new.speed = COLD_FACTOR
        warming = asyncio.ensure_future(warm_up(new))
        answers = await tier.send_requests(PER_S // 2, PER_S)
        first = len(new.received_ids)
        answers += await tier.send_requests(PER_S * 7, PER_S)
        later = len(new.received_ids)
        await tier.send_requests(PER_S * 2, PER_S)
        warming.cancel()
        return find_longest(answers), first, len(new.received_ids) - later

    longest_ms, first, later = play(start)
    assert longest_ms < 300
    # It is used fully after some seconds.
    assert first < 15
    assert later > PER_S


def test_recovered_target_that_is_cold_is_not_flooded():
    """Guards against all entries that turn to a target when it is back."""

    async def recover(tier):
        target = tier.targets['s0'][0]
        target.is_up = False
        target.drops_connection = True
        await tier.send_requests(PER_S * 4, PER_S)
        target.is_up = True
        target.drops_connection = False
        target.speed = COLD_FACTOR
        before = len(target.received_ids)
        answers = await tier.send_requests(PER_S * 2, PER_S)
        first = len(target.received_ids) - before
        target.speed = 1
        await tier.send_requests(PER_S * 12, PER_S)
        before = len(target.received_ids)
        await tier.send_requests(PER_S * 2, PER_S)
        return find_longest(answers), first, len(target.received_ids) - before

    longest_ms, first, later = play(recover)
    assert longest_ms < 300
    assert first < 20
    assert later > PER_S / 2


def test_flapping_target_gets_few_requests():
    """Guards against a full start after each fall of a flapping target."""

    async def flap(tier):
        target = tier.targets['s0'][0]
        while True:
            target.is_up = not target.is_up
            target.drops_connection = not target.is_up
            await asyncio.sleep(1.4)

    async def serve(tier):
        target = tier.targets['s0'][0]
        flapping = asyncio.ensure_future(flap(tier))
        before = len(target.received_ids)
        answers = await tier.send_requests(PER_S * 10, PER_S)
        flapping.cancel()
        return answers, len(target.received_ids) - before

    answers, received = play(serve)
    assert all(answer.status == 200 for answer, _ in answers)
    assert received < PER_S


def test_target_that_is_slow_for_good_ends_its_ramp():
    """Guards against a pace that never ends."""

    async def start(tier):
        new = await restart(tier)
        new.speed = 1.5
        for replica in tier.targets['s0'][1:]:
            replica.speed = 1.5
        await tier.send_requests(PER_S * 8, PER_S)
        before = len(new.received_ids)
        await tier.send_requests(PER_S * 2, PER_S)
        return len(new.received_ids) - before

    assert play(start) > PER_S / 2


def test_new_target_without_a_leader_takes_its_share_after_some_seconds():
    """Guards against entries that wait for paces while nobody leads."""

    async def run():
        tier = make_tier()
        await tier.send_requests(PER_S * 3, PER_S)
        new = await restart(tier)
        await tier.send_requests(PER_S, PER_S)
        first = len(new.received_ids)
        await tier.send_requests(PER_S * 14, PER_S)
        before = len(new.received_ids)
        await tier.send_requests(PER_S * 2, PER_S)
        return first, len(new.received_ids) - before

    first, later = run_virtual(run())
    assert first < PER_S / 4
    assert later > PER_S / 2
