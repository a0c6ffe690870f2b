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
from shallotgate.targets.tests.fakes import (
    WAIT_S,
    start_blocked_attempt,
    wait_until,
)


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
            attempt = rig.make_attempt(time_left_ms=local.uniform(1, 200))
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
    assert rig.connector.peak_running <= 3
    assert rig.connector.peak_opening == 1
    assert len(rig.connector.started) == len(set(rig.connector.started))
    not_run = {r.attempt_id for r in replies if r.status == 'not_run'}
    assert not not_run & set(rig.connector.started)


def test_cold_target_starts_with_one_half_used_slot_and_grows(make_rig):
    """Guards against full load on a cold target."""
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
    assert rig.connector.peak_running == 1
    for before, after in itertools.pairwise(times):
        assert after[0] - before[1] >= (before[1] - before[0]) * 0.9
    rig.warm_up()
    assert rig.state().limit == 3


@pytest.mark.parametrize('signal', ['shed', 'slow', 'restart'])
def test_warm_target_turns_cold(make_rig, signal):
    """Guards against full load on a target that has become cold."""
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


def test_shedding_target_is_retried_with_backoff(make_rig):
    """Guards against load from attempts that the target sheds."""
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
    """Guards against a warm start on a target that has restarted."""
    learnt = Learnt(limit=2, normal_ms=5, target_start_id=start_id)
    rig = make_rig(learnt=learnt)
    assert rig.run().state.limit == limit


def test_drain_in_a_reply_outlasts_a_false_report(make_rig):
    """Guards against new attempts on a draining target."""
    rig = make_rig()
    rig.connector.report_overrides = {'draining': False}
    rig.connector.draining = True
    rig.connector.script = lambda attempt: 'draining'
    assert rig.run().reason == 'draining'
    started = len(rig.connector.started)
    until = time.monotonic() + 2.5
    while time.monotonic() < until:
        assert rig.run().reason == 'draining'
        time.sleep(0.05)
    assert len(rig.connector.started) == started


def test_false_drain_report_does_not_idle_a_target(make_rig):
    """Guards against a false report that keeps an idle target unused."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    rig.connector.report_overrides = {'draining': True}
    observation = rig.owned._pools.get('t').core.observation
    wait_until(lambda: observation.draining, 'the report')
    assert rig.run().status == 'ok'
    until = time.monotonic() + 3
    while time.monotonic() < until:
        assert rig.run().status == 'ok'
        time.sleep(0.1)


@pytest.mark.parametrize('source', ['report', 'platform'])
def test_drain_seen_elsewhere_stops_dispatch(make_rig, source):
    """Guards against attempts between a drain and the first refusal."""
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
        (lambda rig: setattr(rig.lease, 'valid_s', 0), 'no_lease'),
        (lambda rig: rig.set_ownership(taken_out=True), 'taken_out'),
        (lambda rig: rig.set_ownership(epoch=2), 'not_owner'),
        (lambda rig: rig.set_judgement('queued', 'quarantined'), 'quarantined'),
        (lambda rig: rig.set_judgement('queued', 'suspect'), 'suspect'),
        (lambda rig: rig.owned.mark_leaving(['t']), 'draining'),
    ],
)
def test_checks_are_repeated_before_dispatch(make_rig, change, reason):
    """Guards against dispatch after a right was lost while queued."""
    rig = make_rig()
    rig.run()
    _, first = start_blocked_attempt(rig)
    queued, second = rig.submit(digest='queued')
    change(rig)
    rig.connector.may_reply.set()
    assert first.get(timeout=WAIT_S).status == 'ok'
    reply = second.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', reason)
    assert queued.attempt_id not in rig.connector.started


def test_lease_is_checked_after_the_attempt_was_dequeued(make_rig):
    """Guards against dispatch by a thread that was suspended."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    # The lease is valid when the attempt is queued and when it is dequeued.
    rig.lease.calls_left = 2
    assert rig.run().reason == 'no_lease'
    assert len(rig.connector.started) == 1


def test_cancelled_queued_attempt_is_not_sent(make_rig):
    """Guards against cancelled attempts that are still sent."""
    rig = make_rig()
    _, first = start_blocked_attempt(rig)
    queued, second = rig.submit()
    rig.owned.cancel(queued.attempt_id)
    reply = second.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', 'cancelled')
    rig.connector.may_reply.set()
    assert first.get(timeout=WAIT_S).status == 'ok'
    assert queued.attempt_id not in rig.connector.started


def test_cancel_of_running_attempt_closes_its_connection(make_rig):
    """Guards against reuse of a connection with an outstanding reply."""
    rig = make_rig()
    attempt, replies = start_blocked_attempt(rig)
    before = list(rig.connector.connections)
    rig.owned.cancel(attempt.attempt_id)
    assert replies.get(timeout=WAIT_S).status == 'cancelled'
    rig.connector.may_reply.set()
    assert rig.run().status == 'ok'
    assert len(set(before) & set(rig.connector.connections)) < len(before)
    assert replies.empty()


def test_attempt_never_outlives_its_deadline(make_rig):
    """Guards against callers that wait for a target without replies."""
    rig = make_rig()
    _, running = start_blocked_attempt(rig, time_left_ms=80)
    _, queued = rig.submit(time_left_ms=40)
    reply = queued.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', 'late')
    assert running.get(timeout=WAIT_S).status == 'timeout'


def test_queue_is_served_by_deadline(make_rig):
    """Guards against attempts served in another order than by deadline."""
    rig = make_rig()
    _, first = start_blocked_attempt(rig)
    late, late_replies = rig.submit(time_left_ms=4000)
    soon, soon_replies = rig.submit(time_left_ms=3000)
    rig.connector.may_reply.set()
    for replies in (first, late_replies, soon_replies):
        assert replies.get(timeout=WAIT_S).status == 'ok'
    assert rig.connector.started[1:] == [soon.attempt_id, late.attempt_id]


def test_release_finishes_what_is_in_flight(make_rig):
    """Guards against attempts that a planned move interrupts."""
    rig = make_rig()
    rig.run()
    _, running = start_blocked_attempt(rig)
    _, queued = rig.submit()
    rig.set_ownership(state='moving')
    assert queued.get(timeout=WAIT_S).reason == 'not_owner'
    assert rig.run().reason == 'not_owner'
    assert rig.releases.empty()
    rig.connector.may_reply.set()
    assert running.get(timeout=WAIT_S).status == 'ok'
    release = rig.releases.get(timeout=WAIT_S)
    assert (release.target, release.epoch) == ('t', 1)
    assert release.learnt.target_start_id == 'target-start-1'
    assert not rig.connector.connections
    rig.set_ownership(epoch=3)
    wait_until(lambda: rig.run(epoch=3).status == 'ok', 'the new ownership')


def test_report_is_read_only_without_recent_replies(make_rig):
    """Guards against polls that repeat the reports of recent replies."""
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
    rig.set_ownership(instance='entry-2', epoch=2)
    assert rig.run().reason == 'not_owner'
    assert rig.releases.get(timeout=WAIT_S).epoch == 1
    assert not rig.owned.states()


def test_unreachable_target_refuses_at_once(make_rig):
    """Guards against attempts that wait for an unreachable target."""
    rig = make_rig()
    rig.connector.crash()
    wait_until(lambda: rig.run().reason == 'unreachable', 'the refusal')
    rig.connector.is_down = False
    wait_until(lambda: rig.run().status == 'ok', 'the target')


def test_broken_idle_connection_fails_no_attempt(make_rig):
    """Guards against a failed attempt although nothing was sent."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    for connection in tuple(rig.connector.connections):
        connection.broken.set()
    assert rig.run().status == 'ok'


def test_refused_version_is_not_reported_as_held(make_rig):
    """Guards against entries that plan with a version that is not there."""
    rig = make_rig()
    rig.connector.script = lambda attempt: 'wrong_version'
    reply = rig.run()
    assert reply.status == 'wrong_version'
    assert [list(version.held) for version in rig.state().versions] == [[0]]


@pytest.mark.parametrize(('limits', 'most'), [('split', 1), ('none', 3)])
def test_baselines_share_no_limits(make_rig, limits, most):
    """Guards against limits shared by the baseline policies.

    The baselines would then measure the behaviour of the default policy.
    """
    rig = make_rig(limits=limits, entries=8, cold_start=False)
    rig.set_ownership(instance='entry-2', epoch=9)
    rig.connector.may_reply.clear()
    for _ in range(6):
        rig.submit()
    wait_until(lambda: len(rig.connector.running) == most, 'the dispatches')
    assert rig.state().limit == most


def test_stop_finishes_in_flight_work_and_opens_nothing(make_rig):
    """Guards against a planned stop that interrupts an attempt."""
    rig = make_rig()
    _, running = start_blocked_attempt(rig)
    rig.owned.release_all()
    rig.set_ownership(epoch=2)
    assert rig.run().reason == 'not_owner'
    rig.connector.may_reply.set()
    assert running.get(timeout=WAIT_S).status == 'ok'
    rig.owned.stop()
    assert not rig.connector.connections


def test_edited_target_is_opened_again_without_a_release(make_rig):
    """Guards against a catalogue edit that releases the target."""
    rig = make_rig()
    assert rig.run().status == 'ok'
    rig.target = dataclasses.replace(rig.target, slots=4)
    rig.set_ownership()
    wait_until(lambda: rig.run().status == 'ok', 'the pool of the edit')
    assert rig.releases.empty()
