"""Load pattern: callers of one failure domain, replicas in all of them.

Traffic between failure domains is billed, so it should not follow from small
differences between replicas. No network is used.
"""

import asyncio
import random

from testkit.gateway import DOMAINS, SimulatedTier
from testkit.virtual import run_virtual

ENTRIES = 30
SHARDS = 10
OBJECTIVE_MS = 150
SERVICE_TIME_S = 0.02


async def send(tier, count, per_s):
    """Send requests to entries of the first domain only."""
    generator = random.Random(count)
    entries = tier.entries[:: len(DOMAINS)]
    tasks = []
    for number in range(count):
        entry = generator.choice(entries)
        tasks.append(asyncio.ensure_future(entry.send_request(f'q{number}')))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


def play(per_s, service_time_s=lambda generator: SERVICE_TIME_S):
    """Return the share of local attempts, and of answers in time."""

    async def run():
        tier = SimulatedTier(ENTRIES, shards=SHARDS, objective_ms=OBJECTIVE_MS)
        generator = random.Random(1)
        for target in tier.list_all_targets():
            target.service_time_s = service_time_s(generator)
        sharing = asyncio.ensure_future(tier.exchange_reports())
        answers = await send(tier, per_s * 5, per_s)
        sharing.cancel()
        return tier, answers

    tier, answers = run_virtual(run())
    local = sum(len(copies[0].received_ids) for copies in tier.targets.values())
    total = sum(len(each.received_ids) for each in tier.list_all_targets())
    in_time = [
        duration
        for answer, duration in answers
        if answer.status == 200 and duration <= OBJECTIVE_MS
    ]
    return local / total, len(in_time) / len(answers)


def test_replicas_of_other_speed_do_not_draw_requests_to_other_domains():
    """Guards against remote attempts because replicas differ in speed."""

    def draw_time(generator):
        return SERVICE_TIME_S * generator.uniform(0.7, 1.3)

    local, in_time = play(30, draw_time)
    assert local > 0.9
    assert in_time > 0.99


def test_more_callers_than_a_domain_can_serve_spill_to_other_domains():
    """Guards against queues in one domain while others are idle.

    The targets of the domain can serve 200 requests a second each.
    """
    local, in_time = play(300)
    assert 0.4 < local < 0.7
    assert in_time > 0.97
