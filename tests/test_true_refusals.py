"""G6: what was refused was not run by any target."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from testkit.runner import wait_until
from tests.support import (
    WAIT_TIMEOUT_S,
    Load,
    make_random,
)

ANSWERS = 30
# Entries refuse this long after the majority was lost.
REFUSING_AFTER_S = 5
REFUSING_FOR_S = 2
LATE_ANSWERS = 3
BURST = 160


def check_refusals(harness, answers):
    """Check that no refused request was run; return answers by outcome."""
    ran = harness.sum_counts('ran_requests')
    outcomes = {}
    for answer in filter(None, answers):
        outcomes.setdefault(answer['outcome'], []).append(answer)
    refused = outcomes.get('refused', [])
    assert [answer for answer in refused if ran.get(answer['request_id'])] == []
    complete = outcomes.get('complete', [])
    # Otherwise the counters would not show what was run.
    assert all(ran.get(answer['request_id']) for answer in complete)
    return outcomes


@pytest.mark.parametrize('class_name', ['plain', 'screened'])
def test_overload_refuses_only_what_was_not_run(harness, class_name):
    """Guards against a request that is shed after a target has begun it."""
    generator = make_random('overload')
    for target in harness.targets:
        harness.set(target, service_ms=150)

    def ask(number):
        return harness.ask(
            harness.entries[number % len(harness.entries)],
            {'burst': number, 'class': class_name},
            class_name=class_name,
            deadline_ms=generator.choice((400, 900, 1500)),
        )

    answers = []
    numbers = itertools.count()

    def is_overloaded():
        burst = list(itertools.islice(numbers, BURST))
        answers.extend(pool.map(ask, burst))
        outcomes = {answer['outcome'] for answer in answers if answer}
        return outcomes >= {'refused', 'complete'}

    with ThreadPoolExecutor(BURST) as pool:
        wait_until(
            is_overloaded, WAIT_TIMEOUT_S, 'refused and complete answers'
        )
    outcomes = check_refusals(harness, answers)
    assert outcomes['refused']
    assert outcomes['complete']


def test_deadline_while_a_target_runs_is_no_refusal(harness):
    """Guards against "not run" for what a target has begun."""
    for target in harness.targets:
        harness.set(target, service_ms=2000)
    answers = []
    rounds = itertools.count()

    def is_begun():
        # Distinct queries, one after another on each entry.
        number = next(rounds)
        answers.extend(
            harness.ask(
                entry,
                {'slow': entry, 'class': name, 'round': number},
                class_name=name,
                deadline_ms=500,
            )
            for entry in harness.entries
            for name in ('plain', 'screened')
        )
        ran = harness.sum_counts('ran_requests')
        return any(ran.get(answer['request_id']) for answer in answers)

    wait_until(is_begun, WAIT_TIMEOUT_S, 'a request that a target has begun')
    outcomes = check_refusals(harness, answers)
    assert 'complete' not in outcomes


def test_targets_that_shed_are_refusals_without_a_run(harness):
    """Guards against a shed attempt that is reported as possibly run."""
    for target in harness.targets:
        harness.set(target, shedding=True)
    answers = [
        harness.ask(entry, {'shed': entry}, deadline_ms=500)
        for entry in harness.entries
    ]
    outcomes = check_refusals(harness, answers)
    assert list(outcomes) == ['refused'], outcomes
    assert not harness.sum_counts('ran_requests')


@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_lost_owner_makes_no_false_refusals(harness, fault):
    """Guards against "not run" for an attempt that a lost owner sent."""
    generator = make_random('lost owner')
    for target in harness.targets:
        harness.set(target, service_ms=60)
    victim = generator.choice(harness.entries)
    process = harness.tier.instances[victim]
    others = [entry for entry in harness.entries if entry != victim]
    with Load(harness, generator, workers=10) as load:
        load.wait_further(ANSWERS)
        getattr(process, fault)()
        # Some workers already wait for an answer of the lost entry.
        load.entries = others
        wait_until(
            lambda: all(
                harness.tier.clients.is_ready(entry) for entry in others
            ),
            WAIT_TIMEOUT_S,
            'the other entries ready',
        )
        load.wait_further(ANSWERS)
        if fault == 'freeze':
            # Longer than a lease, so that it wakes without one.
            time.sleep(REFUSING_AFTER_S)
            process.resume()
        else:
            process.start()
        harness.tier.wait_ready(victim)
        load.entries = harness.entries
        since = len(load.answers)
        load.wait_further(ANSWERS)
        load.wait_for(
            lambda answer: answer['outcome'] == 'complete',
            'a complete answer after the loss',
            since,
        )
    assert check_refusals(harness, [answer for _, answer in load.answers])[
        'complete'
    ]


def test_lost_majority_stops_service_until_it_returns(harness):
    """Guards against an entry that serves on when its lease has ended."""
    generator = make_random('lost majority')
    left, *lost = generator.sample(harness.entries, len(harness.entries))
    with Load(harness, generator) as load:
        load.wait_further(ANSWERS)
        for entry in lost:
            harness.tier.instances[entry].kill()
        lost_at = time.monotonic()
        late = []
        end = lost_at + REFUSING_AFTER_S + REFUSING_FOR_S
        # One slow answer may last until the end.
        while len(late) < LATE_ANSWERS or time.monotonic() < end:
            is_late = time.monotonic() - lost_at > REFUSING_AFTER_S
            answer = harness.ask(left, {'left': len(load.answers)})
            if is_late:
                late.append(answer)
            time.sleep(0.1)
        assert {answer['outcome'] for answer in late} == {'refused'}
        for entry in lost:
            harness.tier.instances[entry].start()
        harness.tier.wait_ready(*harness.entries)
        harness.wait_serving()
    check_refusals(harness, [*late, *(answer for _, answer in load.answers)])
