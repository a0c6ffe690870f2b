import dataclasses
import itertools
import queue
import random
import threading
import time

import pytest

from shallotgate.generated.messages import (
    Learnt,
)
from shallotgate.targets.tests.fakes import WAIT_S, hold_one, wait_until


def test_slots_are_never_exceeded_by_many_submitters(make_rig):
    """Guards against more attempts in flight than slots, and lost replies."""
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    rig = make_rig(cold_start=False)
    rig.connector.script = lambda attempt: (
        time.sleep(rng.random() / 500) or 'ok'
    )
    answered = queue.SimpleQueue()

    def submit_many(local):
        for _ in range(60):
            attempt = rig.make(time_left_ms=local.uniform(1, 200))
            rig.owned.submit(attempt, answered.put)
            if local.random() < 0.2:
                rig.owned.cancel(attempt.attempt_id)
            time.sleep(local.random() / 1000)

    threads = [
        threading.Thread(target=submit_many, args=(random.Random(seed + n),))
        for n in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    replies = [answered.get(timeout=WAIT_S) for _ in range(480)]
    assert len({reply.attempt_id for reply in replies}) == 480
    assert answered.empty()
    assert rig.connector.most <= 3
    assert rig.connector.most_opening == 1
    assert len(rig.connector.started) == len(set(rig.connector.started))
    not_run = {r.attempt_id for r in replies if r.status == 'not_run'}
    assert not not_run & set(rig.connector.started)


def test_cold_target_starts_with_one_half_used_slot_and_grows(make_rig):
    """Guards against a cold target that gets its full load at once."""
    rig = make_rig()
    times = []

    def serve(attempt):
        begun = time.monotonic()
        time.sleep(0.005)
        times.append((begun, time.monotonic()))
        return 'ok'

    rig.connector.script = serve
    replies = [rig.submit()[1] for _ in range(10)]
    for reply in replies:
        assert reply.get(timeout=WAIT_S).state.limit == 1
    assert rig.connector.most == 1
    for before, after in itertools.pairwise(times):
        assert after[0] - before[1] >= (before[1] - before[0]) * 0.9
    rig.warm_up()
    assert rig.state().limit == 3


@pytest.mark.parametrize('signal', ['shed', 'slow', 'restart'])
def test_warm_target_turns_cold(make_rig, signal):
    """Guards against full load on a target that has just turned cold."""
    rig = make_rig()
    rig.connector.script = lambda attempt: time.sleep(0.002) or 'ok'
    rig.warm_up()
    if signal == 'shed':
        rig.connector.script = lambda attempt: 'shed'
        reply = rig.run()
        assert (reply.status, reply.reason) == ('not_run', 'shed')
    elif signal == 'slow':
        rig.connector.script = lambda attempt: time.sleep(0.05) or 'ok'
        for _ in range(3):
            assert rig.run().status == 'ok'
    else:
        rig.connector.restart()
        rig.run()
    assert rig.state().cold
    assert rig.state().limit == 1


def test_shedding_target_is_not_asked_again_and_again(make_rig):
    """Guards against load on a target by attempts that it refuses."""
    rig = make_rig()
    rig.connector.script = lambda attempt: 'shed'
    until = time.monotonic() + 1
    while time.monotonic() < until:
        rig.run()
    assert len(rig.connector.started) <= 7
    rig.connector.script = lambda attempt: 'ok'
    wait_until(lambda: rig.run().status == 'ok', 'the target')


@pytest.mark.parametrize(
    ('start_id', 'limit'), [('target-start-1', 2), ('another', 1)]
)
def test_learnt_limit_holds_for_the_same_start_only(make_rig, start_id, limit):
    """Guards against a warm start on a target that restarted meanwhile."""
    learnt = Learnt(limit=2, normal_ms=5, target_start_id=start_id)
    rig = make_rig(learnt=learnt)
    assert rig.run().state.limit == limit


def test_drain_in_a_reply_outlasts_a_false_report(make_rig):
    """Guards against new work for a target that leaves."""
    rig = make_rig()
    rig.connector.report_lie = {'draining': False}
    rig.connector.draining = True
    rig.connector.script = lambda attempt: 'draining'
    assert rig.run().reason == 'draining'
    started = len(rig.connector.started)
    until = time.monotonic() + 2.5
    while time.monotonic() < until:
        assert rig.run().reason == 'draining'
        time.sleep(0.05)
    assert len(rig.connector.started) == started


def test_false_claim_of_a_drain_does_not_idle_a_target(make_rig):
    """Guards against an idle target that its report takes out for good."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    rig.connector.report_lie = {'draining': True}
    claims = rig.owned._pools.get('t').core.seen
    wait_until(lambda: claims.draining, 'the claim')
    assert rig.run().status == 'ok'
    until = time.monotonic() + 3
    while time.monotonic() < until:
        assert rig.run().status == 'ok'
        time.sleep(0.1)


@pytest.mark.parametrize('source', ['report', 'platform'])
def test_drain_seen_elsewhere_stops_dispatch(make_rig, source):
    """Guards against work between the drain and the first refusal."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    if source == 'report':
        rig.connector.draining = True
        wait_until(lambda: rig.state().draining, 'the report')
    else:
        rig.owned.mark_leaving(['t'])
    assert rig.run().reason == 'draining'
    assert len(rig.connector.started) == 1


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (lambda rig: setattr(rig.lease, 'left_s', 0), 'no_lease'),
        (lambda rig: rig.own(taken_out=True), 'taken_out'),
        (lambda rig: rig.own(epoch=2), 'not_owner'),
        (lambda rig: rig.judge('queued', 'quarantined'), 'quarantined'),
        (lambda rig: rig.judge('queued', 'suspect'), 'suspect'),
        (lambda rig: rig.owned.mark_leaving(['t']), 'draining'),
    ],
)
def test_checks_hold_between_queueing_and_dispatch(make_rig, change, reason):
    """Guards against dispatch on rights that were lost in the queue."""
    rig = make_rig()
    rig.run()
    _, first = hold_one(rig)
    queued, second = rig.submit(digest='queued')
    change(rig)
    rig.connector.hold.set()
    assert first.get(timeout=WAIT_S).status == 'ok'
    reply = second.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', reason)
    assert queued.attempt_id not in rig.connector.started


def test_lease_is_checked_after_the_attempt_was_taken(make_rig):
    """Guards against dispatch by a thread that was stopped meanwhile."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    # Valid when it is queued and when it is taken from the queue.
    rig.lease.calls = 2
    assert rig.run().reason == 'no_lease'
    assert len(rig.connector.started) == 1


def test_cancel_of_queued_work_costs_nothing(make_rig):
    """Guards against cancelled attempts that still reach the target."""
    rig = make_rig()
    _, first = hold_one(rig)
    queued, second = rig.submit()
    rig.owned.cancel(queued.attempt_id)
    reply = second.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', 'cancelled')
    rig.connector.hold.set()
    assert first.get(timeout=WAIT_S).status == 'ok'
    assert queued.attempt_id not in rig.connector.started


def test_cancel_of_running_work_closes_its_connection(make_rig):
    """Guards against reuse of a connection whose reply is still to come."""
    rig = make_rig()
    attempt, replies = hold_one(rig)
    before = list(rig.connector.connections)
    rig.owned.cancel(attempt.attempt_id)
    assert replies.get(timeout=WAIT_S).status == 'cancelled'
    rig.connector.hold.set()
    assert rig.run().status == 'ok'
    assert len(set(before) & set(rig.connector.connections)) < len(before)
    assert replies.empty()


def test_attempt_never_outlives_its_deadline(make_rig):
    """Guards against callers that wait for a target that never answers."""
    rig = make_rig()
    _, running = hold_one(rig, time_left_ms=80)
    _, queued = rig.submit(time_left_ms=40)
    reply = queued.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', 'late')
    assert running.get(timeout=WAIT_S).status == 'timeout'


def test_queue_is_served_by_deadline(make_rig):
    """Guards against urgent work that waits behind patient work."""
    rig = make_rig()
    _, first = hold_one(rig)
    late, late_replies = rig.submit(time_left_ms=4000)
    soon, soon_replies = rig.submit(time_left_ms=3000)
    rig.connector.hold.set()
    for replies in (first, late_replies, soon_replies):
        assert replies.get(timeout=WAIT_S).status == 'ok'
    assert rig.connector.started[1:] == [soon.attempt_id, late.attempt_id]


def test_release_finishes_what_is_in_flight(make_rig):
    """Guards against requests that a planned move interrupts."""
    rig = make_rig()
    rig.run()
    _, running = hold_one(rig)
    _, queued = rig.submit()
    rig.own(state='moving')
    assert queued.get(timeout=WAIT_S).reason == 'not_owner'
    assert rig.run().reason == 'not_owner'
    assert rig.releases.empty()
    rig.connector.hold.set()
    assert running.get(timeout=WAIT_S).status == 'ok'
    release = rig.releases.get(timeout=WAIT_S)
    assert (release.target, release.epoch) == ('t', 1)
    assert release.learnt.target_start_id == 'target-start-1'
    assert not rig.connector.connections
    rig.own(epoch=3)
    wait_until(lambda: rig.run(epoch=3).status == 'ok', 'the new ownership')


def test_report_is_read_only_without_recent_replies(make_rig):
    """Guards against polls that tell what each reply has told already."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    until = time.monotonic() + 3
    while time.monotonic() < until:
        assert rig.run().status == 'ok'
        time.sleep(0.05)
    assert rig.connector.reports_read <= 1
    wait_until(
        lambda: rig.connector.reports_read > 1, 'the polls of an idle target'
    )


def test_other_owner_closes_the_pool(make_rig):
    """Guards against two owners that dispatch to one target."""
    rig = make_rig()
    rig.own(instance='entry-2', epoch=2)
    assert rig.run().reason == 'not_owner'
    assert rig.releases.get(timeout=WAIT_S).epoch == 1
    assert not rig.owned.states()


def test_unreachable_target_refuses_at_once(make_rig):
    """Guards against attempts that wait for a target that is gone."""
    rig = make_rig()
    rig.connector.crash()
    wait_until(lambda: rig.run().reason == 'unreachable', 'the refusal')
    rig.connector.is_down = False
    wait_until(lambda: rig.run().status == 'ok', 'the target')


def test_idle_connection_that_broke_costs_no_attempt(make_rig):
    """Guards against an attempt that fails though nothing was sent."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    for connection in tuple(rig.connector.connections):
        connection.broken.set()
    assert rig.run().status == 'ok'


def test_refused_version_is_not_reported_as_held(make_rig):
    """Guards against entries that plan on a version that is not there."""
    rig = make_rig()
    rig.connector.script = lambda attempt: 'wrong_version'
    reply = rig.run()
    assert reply.status == 'wrong_version'
    assert [list(version.held) for version in rig.state().versions] == [[0]]


@pytest.mark.parametrize(('limits', 'most'), [('split', 1), ('none', 3)])
def test_baselines_share_no_limits(make_rig, limits, most):
    """Guards against baselines that measure the product instead."""
    rig = make_rig(limits=limits, entries=8, cold_start=False)
    rig.own(instance='entry-2', epoch=9)
    rig.connector.hold.clear()
    for _ in range(6):
        rig.submit()
    wait_until(lambda: len(rig.connector.running) == most, 'the dispatches')
    assert rig.state().limit == most


def test_stop_finishes_in_flight_work_and_opens_nothing(make_rig):
    """Guards against a planned stop that interrupts a request."""
    rig = make_rig()
    _, running = hold_one(rig)
    rig.owned.release_all()
    rig.own(epoch=2)
    assert rig.run().reason == 'not_owner'
    rig.connector.hold.set()
    assert running.get(timeout=WAIT_S).status == 'ok'
    rig.owned.stop()
    assert not rig.connector.connections


def test_edited_target_is_opened_again_without_a_release(make_rig):
    """Guards against a target that is taken from its owner by an edit."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    rig.target = dataclasses.replace(rig.target, slots=4)
    rig.own()
    wait_until(lambda: rig.run().status == 'ok', 'the pool of the edit')
    assert rig.releases.empty()
