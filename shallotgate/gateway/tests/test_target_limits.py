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
