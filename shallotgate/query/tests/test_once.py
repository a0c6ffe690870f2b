import threading

import pytest

from shallotgate.codec import encode_json
from shallotgate.errors import CommitUnknownError
from shallotgate.generated.messages import OnceResult
from shallotgate.query.tests.tier import (
    KEY,
    Tier,
    reply_late,
    reply_never,
    reply_ok,
    reply_with,
)
from shallotgate.routing.tests.builders import wait_until
from shallotgate.state import ANSWER_LIMIT_BYTES

PRINT = {'group': 'print', 'class_name': 'print', 'key': KEY}


def make_printer(**fields):
    tier = Tier()
    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = lambda attempt: reply_ok(
            attempt, **{'matches': encode_json([{'id': 'label-7'}]), **fields}
        )
    return tier


def test_resend_on_another_entry_gets_the_recorded_answer():
    """Guards against a second dispatch for a resent key."""
    tier = make_printer()
    first = tier.ask(**PRINT)
    again = tier.ask(tier.add_entry(), **PRINT)
    assert first.outcome == again.outcome == 'complete'
    assert (first.repeated, again.repeated) == (False, True)
    assert again.matches == first.matches
    assert len(tier.port.sent) == 1


def test_resend_of_a_large_answer_says_what_was_not_kept():
    """Guards against an unknown outcome of a request with a large answer."""
    matches = [{'id': 'label-7', 'image': 'x' * ANSWER_LIMIT_BYTES}]
    tier = make_printer(matches=encode_json(matches))
    first = tier.ask(**PRINT)
    assert first.matches[0]['id'] == 'label-7'
    again = tier.ask(tier.add_entry(), **PRINT)
    assert (again.outcome, again.repeated) == ('complete', True)
    assert (list(again.matches), again.matches_full) == ([], False)
    assert [finding.path for finding in again.findings] == ['matches']
    assert len(tier.port.sent) == 1


@pytest.mark.parametrize('status', ['timeout', 'lost', 'cancelled'])
def test_cut_off_dispatch_is_unknown_and_never_repeated(status):
    """Guards against a retry of a once-only request that may have run."""
    tier = make_printer()
    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = reply_with(status)
    assert tier.ask(**PRINT).outcome == 'unknown'
    again = tier.ask(tier.add_entry(), **PRINT)
    assert (again.outcome, again.repeated) == ('unknown', True)
    assert len(tier.port.sent) == 1


def test_slow_dispatch_is_not_hedged():
    """Guards against hedged once-only requests."""
    tier = make_printer()
    for _ in range(50):
        tier.deps.latency.record('p', 1)
    tier.deps.hedge_budget.record_attempts(1000)
    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = reply_late(0.1)
    assert tier.ask(**PRINT).outcome == 'complete'
    assert len(tier.port.sent) == 1


def test_request_that_was_not_run_may_be_tried_again():
    """Guards against a key that stays claimed after a refusal."""
    tier = make_printer()
    behaviours = dict(tier.port.behaviours)
    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = reply_with('not_run', 'queue_full')
    refused = tier.ask(**PRINT)
    assert (refused.outcome, refused.reason) == ('refused', 'queue_full')
    tier.port.behaviours = behaviours
    answer = tier.ask(**PRINT)
    assert (answer.outcome, answer.repeated) == ('complete', False)


def test_entry_lost_after_the_dispatch_leaves_unknown():
    """Guards against a second dispatch after the claiming entry crashed."""
    tier = make_printer()
    tier.control.claims[KEY] = ('claim of a lost entry', None)
    answer = tier.ask(**PRINT, deadline_ms=300)
    assert (answer.outcome, answer.reason) == ('unknown', 'key_in_progress')
    assert not tier.port.sent


def test_resend_during_the_dispatch_waits_for_its_outcome():
    """Guards against an unknown outcome while the first request still runs."""
    tier = make_printer()
    slow = [0.15]
    printed = tier.port.behaviours['p-x']
    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = reply_late(slow[0])
    asking = threading.Thread(target=tier.ask, kwargs=PRINT)
    asking.start()
    wait_until(lambda: tier.port.sent)
    again = tier.ask(tier.add_entry(), **PRINT)
    asking.join()
    assert printed
    assert (again.outcome, again.repeated) == ('complete', True)
    assert len(tier.port.sent) == 1


def test_unreachable_control_group_means_not_run():
    """Guards against a dispatch without a claim."""
    tier = make_printer()
    tier.control.reachable = False
    answer = tier.ask(**PRINT)
    assert (answer.outcome, answer.reason) == ('refused', 'no_leader')
    assert not tier.port.sent


def test_outcome_is_recorded_after_the_answer():
    """Guards against late answers and lost records if the leader is lost."""
    tier = make_printer()
    printed = tier.port.behaviours['p-x']

    def lose_leader(attempt):
        tier.control.reachable = False
        return printed(attempt)

    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = lose_leader
    answer = tier.ask(**PRINT)
    assert answer.outcome == 'complete'
    assert answer.elapsed_ms < 1000
    tier.control.reachable = True
    assert tier.entry.wait_idle(10)
    again = tier.ask(**PRINT)
    assert (again.outcome, again.repeated) == ('complete', True)


def test_claim_in_doubt_is_not_called_refused():
    """Guards against a refusal although an earlier request may have run."""
    tier = make_printer()

    def fail(command):
        raise CommitUnknownError('cut off')

    tier.control._do_ClaimOnce = fail
    tier.control._do_ReleaseClaim = lambda command: OnceResult(
        status='unknown_claim'
    )
    assert tier.ask(**PRINT).outcome == 'unknown'
    assert not tier.port.sent


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        ('mismatch', 'refused'),
        ('from_future', 'refused'),
        ('table_full', 'refused'),
        ('too_old', 'unknown'),
    ],
)
def test_unusable_key_is_never_dispatched(status, outcome):
    """Guards against a dispatch for a key that can't be claimed."""
    tier = make_printer()
    tier.control._do_ClaimOnce = lambda command: OnceResult(status=status)
    answer = tier.ask(**PRINT)
    assert (answer.outcome, answer.reason) == (outcome, f'key_{status}')
    assert not tier.port.sent


def test_quarantined_content_is_not_dispatched():
    """Guards against a once-only request that crashes several targets."""
    tier = make_printer()
    for name in ('p-x', 'p-y', 'p-z'):
        tier.port.behaviours[name] = reply_never
    tier.ask(**PRINT, deadline_ms=100)
    digest = tier.port.sent[0].digest
    tier.control.suspect(digest, 'p-x')
    tier.control.suspect(digest, 'p-y')
    other_key = KEY.replace('0001', '0002')
    answer = tier.ask(**{**PRINT, 'key': other_key})
    assert (answer.outcome, answer.reason) == ('failed', 'quarantined')
    assert len(tier.port.sent) == 1


def test_suspect_is_dispatched_as_its_trial():
    """Guards against a dispatch of suspect content outside a trial."""
    tier = make_printer()
    tier.ask(**PRINT)
    tier.control.suspect(tier.port.sent[0].digest, 'p-x')
    answer = tier.ask(**{**PRINT, 'key': KEY.replace('0001', '0003')})
    assert answer.outcome == 'complete'
    assert tier.port.sent[1].trial
