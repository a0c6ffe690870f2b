"""Load pattern: failures that affect the requests of some entries only.

With 84 entries and 60 queries a second, an entry has one query every 1.4 s and
may retry once or twice on a shard, while the tier as a whole has several times
the required budget. No network is used.
"""

import asyncio
import random

from testkit.gateway import SimulatedTier
from testkit.virtual import run_virtual

ENTRIES = 84
SHARDS = 36
PER_S = 60
OBJECTIVE_MS = 150
# Share of requests that an overloaded target rejects.
SHED_SHARE = 0.3


def play_shedding(**fields):
    """Return answers while half of the targets reject requests."""

    async def play():
        tier = SimulatedTier(
            ENTRIES,
            shards=SHARDS,
            slack=208,
            objective_ms=OBJECTIVE_MS,
            min_coverage=0.95,
            **fields,
        )
        sharing = asyncio.ensure_future(tier.exchange_reports())
        await tier.send_requests(PER_S * 10, PER_S)
        targets = tier.list_all_targets()
        for target in random.Random(1).sample(targets, len(targets) // 2):
            target.shed_ratio = SHED_SHARE
        answers = await tier.send_requests(PER_S * 6, PER_S)
        sharing.cancel()
        return answers

    return run_virtual(play())


def count_good(answers):
    return sum(
        one.status == 200 and duration < OBJECTIVE_MS
        for one, duration in answers
    )


def test_entries_with_more_trouble_borrow_from_the_tier():
    """Guards against denied retries while other entries have budget left."""
    alone = play_shedding(has_leader=False)
    lent = play_shedding()
    assert count_good(lent) > 0.97 * len(lent)
    assert count_good(lent) > count_good(alone)


def test_extra_attempts_stay_within_what_services_bear():
    """Guards against a pool that grants what local budgets already use."""

    async def play():
        tier = SimulatedTier(20, shards=3, slack=40, min_coverage=0.1)
        await tier.send_requests(PER_S * 10, PER_S)
        for targets in tier.targets.values():
            for target in targets:
                target.is_not_run = True
        before = [
            sum(len(one.received_ids) for one in targets)
            for targets in tier.targets.values()
        ]
        answers = await tier.send_requests(PER_S * 10, PER_S)
        return len(answers), [
            sum(len(one.received_ids) for one in targets) - former
            for targets, former in zip(
                tier.targets.values(), before, strict=True
            )
        ]

    requests, arrived = run_virtual(play())
    for count in arrived:
        assert count - requests <= 0.2 * requests + 40
        assert count - requests > 0.15 * requests + 20


def test_attempt_after_a_refused_connection_costs_no_budget():
    """Guards against spending budget on attempts that never arrived."""

    async def play():
        tier = SimulatedTier(1, shards=5, slack=0, has_leader=False)
        for targets in tier.targets.values():
            targets[0].is_up = False
        return await tier.send_requests(20, 10)

    answers = run_virtual(play())
    assert [one.status for one, _ in answers] == [200] * 20
    assert {dict(one.headers).get(b'missing') for one, _ in answers} == {b'0'}
