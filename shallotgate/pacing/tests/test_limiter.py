"""Share of one entry in the pace of a target."""

import random
import time

import pytest

from shallotgate.generated.messages import (
    ListedTarget,
    ObservedReplies,
    TargetPaces,
)
from shallotgate.pacing import NO_PACE, PaceBoard, PaceLimiter
from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual

WORK_S = 0.01


def make_listed(name='t', **fields):
    return ListedTarget(
        target=name, service='s', address='a:1', domain='d', slots=4, **fields
    )


def make_limiter(entries=1):
    return PaceLimiter(lambda: entries, random.Random(1))


def count_sent(limiter, begins_at, seconds, *, is_last=False):
    """Return the number of requests that are allowed, at 1000 a second."""
    sent = 0
    for step in range(seconds * 1000):
        now = begins_at + step / 1000
        if limiter.allows(make_listed(), WORK_S, now, is_last=is_last):
            limiter.record_sent(make_listed())
            sent += 1
    return sent


def observe(name='t', *, replies=9, lost=0):
    return ObservedReplies(
        targets=[name],
        replies=[replies],
        slowness=[replies - lost],
        failures=[lost],
        reports=[replies - lost],
        speeds=[replies - lost],
        waiting=[0],
        lost=[lost],
    )


@pytest.mark.parametrize('is_last', [False, True])
def test_entries_together_keep_to_the_pace(is_last):
    """Guards against each entry taking the pace of the tier for its own."""
    limiter = make_limiter(entries=20)
    limiter.apply(TargetPaces(revision=1, targets=['t'], shares=[0.25]), 0)
    # One of four slots at 10 ms allows 100 a second, 5 of them to this entry.
    assert 9 <= count_sent(limiter, 0, 2, is_last=is_last) <= 12


def test_pace_ends_when_the_leader_says_so():
    """Guards against a pace that outlives the ramp at the leader."""
    limiter = make_limiter(entries=1000)
    limiter.apply(TargetPaces(revision=1, targets=['t'], shares=[0.25]), 0)
    assert not limiter.allows(make_listed(), WORK_S, 0)
    limiter.apply(TargetPaces(revision=2, targets=['t'], shares=[NO_PACE]), 0)
    assert limiter.allows(make_listed(), WORK_S, 0)


def test_pace_that_a_new_leader_does_not_know_ends_by_itself():
    """Guards against a target that is held back after a leader change."""
    limiter = make_limiter(entries=100_000)
    limiter.apply(TargetPaces(revision=1, targets=['t'], shares=[0.25]), 0)
    for now in range(1, 10):
        limiter.apply(None, now)
    assert not limiter.allows(make_listed(), WORK_S, 9)
    limiter.apply(TargetPaces(revision=9, targets=[], shares=[]), 9)
    for now in range(10, 18):
        limiter.apply(None, now)
    assert limiter.allows(make_listed(), WORK_S, 18)


def test_leader_paces_only_services_that_report_their_speed():
    """Guards against a change for targets that state three figures."""
    board = PaceBoard(0)
    board.apply_listing([make_listed()], 0)
    plain = ObservedReplies(
        targets=['t'], replies=[9], slowness=[0], failures=[9], lost=[9]
    )
    board.record_replies(plain, 1)
    board.apply_listing([make_listed(), make_listed('u')], 2)
    assert board.make_update(0) is None
    board.record_replies(observe(), 3)
    board.apply_listing([make_listed(), make_listed('v')], 4)
    assert board.make_update(0).targets == ['v']


def test_rejections_do_not_bring_a_target_to_the_probing_pace():
    """Guards against targets that shed load and then get none."""
    board = PaceBoard(0)
    board.apply_listing([make_listed()], 0)
    board.record_replies(observe(), 1)
    shed = ObservedReplies(
        targets=['t'], replies=[9], slowness=[0], failures=[9]
    )
    board.record_replies(shed, 2)
    assert board.make_update(0) is None
    board.record_replies(observe(lost=9), 3)
    assert board.make_update(0).shares[0] < 0.05


def test_stated_limit_and_stated_warm_up_go_before_the_pace():
    """Guards against two limits on the same target."""

    class _NoTarget:
        def allows(self, listed, work_s, now, *, is_last=False):
            return False

        def record_sent(self, listed):
            """Do nothing."""

    async def play(limit_per_s, cold_s):
        entry = SimulatedEntry(shards=1, warm_up_per_s=1000)
        entry.directory.pacer = _NoTarget()
        for target in entry.directory.list_usable('s0'):
            target.cold_until = time.monotonic() + cold_s
            target.limit_per_s = limit_per_s
        context = entry.gateway._contexts.get(
            entry.gateway._active.table.routes[0],
            entry.gateway._active.table.services[0],
        )
        await entry.send_request('first')
        targets = entry.directory.list_usable('s0')
        return len(context._list_open(targets, context._make_pace(100), 1e9))

    assert run_virtual(play(None, 0)) == 0
    assert run_virtual(play(5, 0)) == 3
    assert run_virtual(play(None, 1e9)) == 3
