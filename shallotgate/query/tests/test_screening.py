import dataclasses
import threading
from typing import ClassVar

import pytest

from shallotgate.generated.answers import QueryRequest
from shallotgate.query import canonicalize_request
from shallotgate.query._pick import ScreeningPick
from shallotgate.query.tests.tier import (
    Delayed,
    Tier,
    reply_late,
    reply_ok,
    reply_with,
)
from shallotgate.routing import Candidate, TargetObservations
from shallotgate.routing.tests.builders import make_state, wait_until

DEADLY = {'query': {'deadly': True}, 'class_name': 'coverage'}


def make_deadly(tier, *, visible=True, told=True):
    """Let each target crash on each attempt.

    ``visible`` puts the suspicion into the view and ``told`` the loss into
    the reports, both at once; replies of the owner always tell the loss.
    """
    lost = []
    tier.control.visible = visible

    def crash(attempt):
        state = make_state(attempt.target, lost=True)
        if attempt.target in lost:
            reply = reply_with('not_run', 'connect')(attempt)
            return dataclasses.replace(reply, state=state)
        lost.append(attempt.target)
        tier.control.suspect(attempt.digest, attempt.target)
        if told:
            tier.report(attempt.target, lost=True)
        reply = reply_with('lost', 'reset')(attempt)
        return dataclasses.replace(reply, state=state)

    tier.port.behaviours = {name: crash for name in tier.places}
    return lost


def test_new_content_goes_to_one_target_first():
    """Guards against new content that reaches all shards unproven."""
    tier = Tier()
    answer = tier.ask(class_name='coverage')
    assert answer.outcome == 'complete'
    assert [one.screening for one in tier.port.sent] == [True, False, False]
    tier.ask(class_name='coverage')
    assert not any(one.screening for one in tier.port.sent[3:])


def test_rest_of_the_fan_out_waits_for_the_screening():
    """Guards against a fan-out that overtakes the screening."""
    tier = Tier()
    tier.port.behaviours = {name: reply_late(0.05) for name in tier.places}
    asking = threading.Thread(target=tier.ask, kwargs=DEADLY)
    asking.start()
    wait_until(lambda: tier.port.sent)
    assert len(tier.port.sent) == 1
    asking.join()
    assert len(tier.port.sent) == 3


def test_each_entry_screens_on_the_same_target():
    """Guards against content that is unproven on several targets at once."""
    tier = Tier()
    other = tier.add_entry()
    for number in range(10):
        query = {'number': number}
        tier.ask(class_name='coverage', query=query)
        tier.ask(other, class_name='coverage', query=query)
    screened = [one.target for one in tier.port.sent if one.screening]
    assert screened[::2] == screened[1::2]
    assert len(set(screened)) > 2


@pytest.mark.parametrize('told', [True, False])
@pytest.mark.parametrize('visible', [True, False])
@pytest.mark.parametrize('entries', [1, 4])
def test_content_that_crashes_costs_at_most_two_targets(entries, visible, told):
    """Guards against a resent request that takes down one target after
    the other, also while the loss and the suspicion spread."""
    tier = Tier()
    services = [tier.entry, *(tier.add_entry() for _ in range(entries - 1))]
    lost = make_deadly(tier, visible=visible, told=told)
    outcomes = [
        tier.ask(service, **DEADLY) for _ in range(3) for service in services
    ]
    assert len(lost) <= 2
    assert outcomes[0].outcome == 'failed'
    assert {one.outcome for one in outcomes} <= {'failed', 'refused'}
    # Other content is not affected once the targets are back.
    tier.port.behaviours.clear()
    for target in lost:
        tier.report(target, lost=False)
    assert tier.ask(class_name='coverage').outcome == 'complete'


def test_hedged_screening_reaches_at_most_two_targets():
    """Guards against a screening that spreads by hedges and retries."""
    tier = Tier()
    for service in ('s0', 's1', 's2'):
        for _ in range(50):
            tier.parts.latency.record(service, 5)
    tier.parts.hedges.note_attempts(10_000)
    lost = make_deadly(tier)
    crash = tier.port.behaviours['s0-x']
    tier.port.behaviours = {
        name: lambda attempt: Delayed(0.1, crash(attempt))
        for name in tier.places
    }
    answer = tier.ask(**DEADLY)
    assert (answer.outcome, answer.reason) == ('failed', 'quarantined')
    assert len(lost) == 2
    assert len(tier.port.sent) == 2


def test_innocent_suspect_is_cleared_by_its_trial():
    """Guards against content that stays barred after a chance loss."""
    tier = Tier()
    crashed = []

    def crash_first(attempt):
        if crashed:
            return reply_ok(attempt)
        crashed.append(attempt.target)
        tier.control.suspect(attempt.digest, attempt.target)
        tier.report(attempt.target, lost=True)
        return reply_with('lost', 'reset')(attempt)

    tier.port.behaviours = {name: crash_first for name in tier.places}
    answer = tier.ask(class_name='coverage')
    assert answer.outcome == 'complete'
    trials = [one for one in tier.port.sent if one.trial]
    assert len(trials) == 1
    assert trials[0].target not in crashed


def test_lost_owner_is_not_taken_for_a_lost_target():
    """Guards against quarantine of content because an entry crashed."""
    tier = Tier()
    failed = []

    def lose_owner(attempt):
        if failed:
            return reply_ok(attempt)
        failed.append(attempt.target)
        return reply_with('lost', 'owner_silent')(attempt)

    tier.port.behaviours = {name: lose_owner for name in tier.places}
    assert tier.ask(class_name='coverage').outcome == 'complete'
    assert not tier.control.commands


def test_faulty_first_target_does_not_fail_the_content():
    """Guards against content whose first target always answers an error."""
    tier = Tier()
    tier.ask(class_name='coverage')
    first = tier.port.sent[0].target
    tier.port.behaviours[first] = reply_with('failed', 'broken')
    other = tier.add_entry()
    answer = tier.ask(other, class_name='coverage')
    assert answer.outcome == 'complete'


def test_no_trial_without_the_control_group():
    """Guards against a rerun of a suspect that nobody permitted."""
    tier = Tier()
    lost = make_deadly(tier)
    tier.control.reachable = False
    answer = tier.ask(**DEADLY)
    assert (answer.outcome, answer.reason) == ('failed', 'suspect')
    assert len(lost) == 1
    again = tier.ask(**DEADLY)
    assert again.outcome == 'refused'
    assert len(lost) == 1


def test_content_without_a_good_reply_reaches_at_most_two_targets():
    """Guards against unproven content that is tried target by target."""
    tier = Tier()
    for name in tier.places:
        tier.port.behaviours[name] = reply_with('failed', 'broken')
    answer = tier.ask(class_name='coverage', deadline_ms=300)
    assert answer.outcome == 'failed'
    assert len(tier.port.sent) == 2


def test_trial_of_proven_content_runs_where_it_can_fail():
    """Guards against content condemned by the rest of a crashing domain,
    and against content cleared on a partition that it does not crash."""
    tier = Tier()
    lost = ['s1-x', 's2-x']
    request = QueryRequest(
        group='trace', class_name='coverage', query={'seed': 1}
    )
    digest = canonicalize_request(request)[0]
    tier.control.suspect(digest, lost[0])
    judgement = dataclasses.replace(
        tier.control.judgements[digest], targets=lost, proven=True
    )
    tier.control.judgements[digest] = judgement
    tier.view.replace(
        dataclasses.replace(tier.view.current(), quarantine={digest: judgement})
    )
    answer = tier.ask(class_name='coverage', query={'seed': 1})
    assert answer.outcome == 'complete'
    trial = tier.port.sent[0]
    assert trial.trial
    assert trial.service in {'s1', 's2'}
    assert not trial.target.endswith('-x')


def test_screening_reaches_one_target_of_a_domain():
    """Guards against new content that one domain's crash makes lose two
    targets, which quarantines it."""
    tier = Tier()
    for name in tier.places:
        tier.port.behaviours[name] = reply_with('failed', 'broken')
    for number in range(10):
        tier.ask(class_name='coverage', query={'n': number}, deadline_ms=300)
    targets = [one.target for one in tier.port.sent]
    assert len(targets) == 20
    for first, second in zip(targets[::2], targets[1::2], strict=True):
        assert first[-1] != second[-1]


@pytest.mark.parametrize('crashes', [False, True])
def test_only_the_first_attempt_of_a_partition_is_proven(crashes):
    """Guards against a third target lost to content that crashes only some
    partitions, and against innocent content held for a crasher."""
    for number in range(8):
        tier = Tier()
        if crashes:
            tier.port.behaviours = {
                name: reply_with('lost', 'target_lost')
                for name in tier.places
                if name.startswith('s1')
            }
        tier.ask(class_name='coverage', query={'n': number}, deadline_ms=300)
        first, *others = tier.port.sent
        assert not first.proven
        # Screening on s1 itself ends with the first loss.
        if first.service != 's1':
            proven = [one.proven for one in others if one.service == 's1']
            assert proven == ([True, False] if crashes else [True])


def test_lifted_content_runs_on_the_entry_that_lost_targets():
    """Guards against an entry that goes on denying what was lifted."""
    tier = Tier()
    lost = make_deadly(tier)
    assert tier.ask(**DEADLY).reason == 'quarantined'
    digest = next(iter(tier.control.judgements))
    tier.control._judge(digest, 'cleared', lost)
    tier.port.behaviours.clear()
    for target in lost:
        tier.report(target, lost=False)
    assert tier.ask(**DEADLY).outcome == 'complete'


def test_slow_and_cold_targets_screen_nothing():
    """Guards against new content that always waits for one slow target."""
    observations = TargetObservations()
    for name, latency_ms, cold in (
        ('quick', 5.0, False),
        ('other', 6.0, False),
        ('slow', 60.0, False),
        ('cold', 5.0, True),
    ):
        state = make_state(name, latency_ms=latency_ms, cold=cold)
        observations.apply_state(state)
    candidates = [
        Candidate(name, 's', 'e', 1, near=True, observation=one)
        for name in ('quick', 'other', 'slow', 'cold')
        for one in [observations.observe(name)]
    ]
    picked = {
        ScreeningPick(f'{number}', FakeExchange())
        .pick(candidates, (), warm_only=False)
        .target
        for number in range(50)
    }
    assert picked == {'quick', 'other'}


def test_screening_order_ignores_the_load_of_one_entry():
    """Guards against entries that hedge unproven content to a third target."""
    picked = set()
    for busy in ('', 'a', 'b', 'c'):
        observations = TargetObservations()
        for name in ('a', 'b', 'c'):
            observations.apply_state(make_state(name, limit=1))
        if busy:
            observations.note_sent(busy)
        candidates = [
            Candidate(name, 's', 'e', 1, near=True, observation=one)
            for name in ('a', 'b', 'c')
            for one in [observations.observe(name)]
        ]
        pick = ScreeningPick('digest', FakeExchange())
        picked.add(pick.pick(candidates, (), warm_only=True).target)
    assert len(picked) == 1


class FakeExchange:
    exposed: ClassVar[dict[str, str]] = {}


def test_cold_targets_screen_while_the_others_refuse():
    """Guards against new content that waits for an owner that refuses.

    While owners change, targets that have just moved count as cold, and the
    last one that is not cold may belong to an owner that does not know yet.
    """
    tier = Tier(shards=1)
    quick, *others = tier.places
    tier.report(quick, latency_ms=5.0)
    for name in others:
        tier.report(name, latency_ms=5.0, cold=True)
    tier.port.behaviours[quick] = reply_with('not_run', 'not_owner')
    answer = tier.ask(class_name='coverage')
    assert answer.outcome == 'complete'
