import pytest

from shallotgate.generated.messages import (
    JudgeTrial,
    ReportSuspects,
)
from shallotgate.targets.tests.fakes import (
    WAIT_S,
    start_blocked_attempt,
    wait_until,
)


def test_screening_of_one_digest_runs_one_at_a_time(make_rig):
    """Guards against unproven content on several slots at once."""
    rig = make_rig(cold_start=False)
    _, first = start_blocked_attempt(rig, digest='new', screening=True)
    second, second_replies = rig.submit(digest='new', screening=True)
    other, _ = rig.submit(digest='other', screening=True)
    wait_until(lambda: other.attempt_id in rig.connector.running, 'the other')
    assert second.attempt_id not in rig.connector.started
    rig.connector.may_reply.set()
    assert first.get(timeout=WAIT_S).status == 'ok'
    assert second_replies.get(timeout=WAIT_S).status == 'ok'


@pytest.mark.parametrize('comes_back', [False, True])
def test_crash_makes_suspects_of_attempts_in_flight(make_rig, comes_back):
    """Guards against content that crashes one target after another."""
    rig = make_rig(cold_start=False)
    rig.commands.failures = 2
    rig.connector.may_reply.clear()
    runs = [rig.submit(digest=f'crash-{n}') for n in range(2)]
    wait_until(lambda: len(rig.connector.running) == 2, 'both attempts')
    rig.connector.crash()
    if comes_back:
        rig.connector.restart()
        rig.connector.is_down = False
    for _, replies in runs:
        reply = replies.get(timeout=WAIT_S)
        assert (reply.status, reply.reason) == ('lost', 'target_lost')
    reported = set()
    while reported != {'crash-0', 'crash-1'}:
        command = rig.commands.proposed.get(timeout=WAIT_S)
        assert isinstance(command, ReportSuspects)
        assert command.target_start_id == 'target-start-1'
        reported |= set(command.digests)
    rig.connector.is_down = False
    rig.connector.may_reply.set()
    wait_until(lambda: not rig.state().lost, 'the target')
    started = len(rig.connector.started)
    assert rig.run(digest='crash-0').reason == 'suspect'
    assert len(rig.connector.started) == started
    assert rig.run(digest='innocent').status == 'ok'


def test_report_contains_proven_content_and_domain(make_rig):
    """Guards against wrong flags of proven content in reports.

    A crash caused by the domain must not count against content that has
    completed elsewhere, and unproven content must not count as proven.
    """
    rig = make_rig(cold_start=False)
    rig.connector.may_reply.clear()
    for digest, proven in (('new', False), ('old', True), ('new', True)):
        rig.submit(digest=digest, proven=proven)
    wait_until(lambda: len(rig.connector.running) == 3, 'the attempts')
    rig.connector.crash()
    command = rig.commands.proposed.get(timeout=WAIT_S)
    assert sorted(command.digests) == ['new', 'old']
    assert list(command.proven) == ['old']
    assert command.domain == 'd'
    rig.connector.may_reply.set()


def test_broken_connection_alone_is_no_lost_target(make_rig):
    """Guards against a closed connection that makes its attempts suspects."""
    rig = make_rig()
    _, replies = start_blocked_attempt(rig, digest='innocent')
    for connection in tuple(rig.connector.connections):
        connection.broken.set()
    reply = replies.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('lost', 'connection_lost')
    rig.connector.may_reply.set()
    assert rig.run(digest='innocent').status == 'ok'
    assert rig.commands.proposed.empty()


def test_cancelled_trial_is_recorded_by_its_outcome(make_rig):
    """Guards against a cancelled trial that clears its digest."""
    rig = make_rig()
    attempt, replies = start_blocked_attempt(
        rig, digest='suspect', trial='holder-1'
    )
    rig.owned.cancel(attempt.attempt_id)
    assert replies.get(timeout=WAIT_S).status == 'cancelled'
    rig.connector.crash()
    assert rig.commands.proposed.get(timeout=WAIT_S).lost
    assert replies.empty()


@pytest.mark.parametrize('crashes', [False, True])
def test_trial_runs_alone_and_is_recorded(make_rig, crashes):
    """Guards against trials that run concurrently with other attempts."""
    rig = make_rig(cold_start=False)
    rig.set_judgement('suspect', 'trial', 'holder-1')
    assert rig.run(digest='suspect').reason == 'suspect'
    assert rig.run(digest='suspect', trial='holder-2').reason == 'suspect'
    _, before = start_blocked_attempt(rig)
    trial, trial_replies = rig.submit(digest='suspect', trial='holder-1')
    after, after_replies = rig.submit()
    assert len(rig.connector.started) == 1
    if crashes:
        rig.connector.script = lambda attempt: (
            (attempt.trial and rig.connector.may_reply.clear()) or 'ok'
        )
    rig.connector.may_reply.set()
    assert before.get(timeout=WAIT_S).status == 'ok'
    if crashes:
        wait_until(
            lambda: trial.attempt_id in rig.connector.started, 'the trial'
        )
        assert after.attempt_id not in rig.connector.started
        rig.connector.crash()
    assert trial_replies.get(timeout=WAIT_S).status == (
        'lost' if crashes else 'ok'
    )
    assert rig.run(digest='suspect', trial='holder-1').status == 'not_run'
    command = rig.commands.proposed.get(timeout=WAIT_S)
    assert isinstance(command, JudgeTrial)
    assert (command.holder, command.lost) == ('holder-1', crashes)
    assert after_replies.get(timeout=WAIT_S).status == (
        'not_run' if crashes else 'ok'
    )


def test_trial_that_waits_until_its_deadline_is_returned(make_rig):
    """Guards against a suspect whose only trial is used up without a run."""
    rig = make_rig(cold_start=False)
    rig.set_judgement('suspect', 'trial', 'holder-1')
    _, before = start_blocked_attempt(rig)
    _, trial_replies = rig.submit(
        digest='suspect', trial='holder-1', time_left_ms=300
    )
    reply = trial_replies.get(timeout=WAIT_S)
    assert (reply.status, reply.reason) == ('not_run', 'late')
    command = rig.commands.proposed.get(timeout=WAIT_S)
    assert isinstance(command, JudgeTrial)
    assert (command.holder, command.lost, command.unused) == (
        'holder-1',
        False,
        True,
    )
    rig.connector.may_reply.set()
    assert before.get(timeout=WAIT_S).status == 'ok'
    started = len(rig.connector.started)
    assert rig.run(digest='suspect', trial='holder-1').status == 'not_run'
    assert len(rig.connector.started) == started
