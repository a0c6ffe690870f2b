"""G5: each caller gets the whole answer to its own request."""

import pytest

from shallotgate.cli import UnknownOutcomeError
from testkit.proxy import Fault
from testkit.runner import wait_until
from tests.support import (
    PARTITIONS,
    WAIT_TIMEOUT_S,
    Load,
    check_answers,
    make_random,
)

WORKER_COUNT = 12
CUTS = 6
DISCONNECTING_CALLERS = 10
ANSWERS = 40


def check_own(harness, load):
    """Return the answers after checking that each is its caller's own."""
    answers = check_answers(harness, load.answers)
    assert len({answer['request_id'] for answer in answers}) == len(answers)
    # No entry was disturbed, so every caller is answered.
    assert len(answers) == len(load.answers)
    complete = [answer for answer in answers if answer['outcome'] == 'complete']
    assert len(complete) * 2 > len(answers)
    return answers


def count_cancelled(harness):
    return sum(
        harness.set(target)['counters'].get('cancelled', 0)
        for target in harness.targets
    )


def is_hedged(answer):
    """Return whether an answer took more attempts than partitions."""
    return answer['attempts'] > PARTITIONS


@pytest.mark.parametrize('class_name', ['plain', 'screened'])
def test_late_and_cancelled_replies_stay_apart(harness, class_name):
    """Guards against a late or a loser's reply given to another caller."""
    generator = make_random('late replies')
    fields = {'class_name': class_name, 'deadline_ms': 1500}
    with Load(harness, generator, WORKER_COUNT, **fields) as load:
        # Hedges start once the usual latency is known.
        load.wait_further(3 * ANSWERS)
        harness.set(harness.list_targets('find-0')[0], slow_factor=50)
        harness.set(harness.list_targets('find-1')[1], nonsense='silent')
        harness.delay(harness.list_targets('find-2')[2], 80)
        since = len(load.answers)
        wait_until(
            lambda: count_cancelled(harness) > 0,
            WAIT_TIMEOUT_S,
            'cancelled attempts',
        )
        # Hedges go to warm targets only, so how many answers pass before the
        # first one depends on the speed of the machine.
        load.wait_for(is_hedged, 'an answer with further attempts', since)
        load.wait_further(ANSWERS)
        load.wait_majority()
    answers = check_own(harness, load)
    # Hedges or retries were sent, so that there were losers.
    assert any(is_hedged(answer) for answer in answers)


def test_cut_connections_mix_no_answers(harness):
    """Guards against a reply read on from the exchange before a cut."""
    generator = make_random('cut connections')
    for target in harness.targets:
        harness.set(target, service_ms=20)
    with Load(harness, generator, WORKER_COUNT) as load:
        load.wait_further(ANSWERS)
        for _ in range(CUTS):
            target = generator.choice(list(harness.targets))
            harness.cut(target)
            load.wait_further(ANSWERS // 2)
            harness.tier.proxy.heal(f'>{target}')
            load.wait_further(ANSWERS // 2)
        load.wait_majority()
    check_own(harness, load)


def list_peer_links(harness):
    return [link for link in harness.tier.proxy.list_links() if link[0] != '>']


def count_unreplied(harness):
    """Return how many attempts no owner has replied to."""
    return sum(
        harness.get_counter(entry, 'replies_made_total')
        for entry in harness.entries
    )


@pytest.mark.parametrize('class_name', ['plain', 'screened'])
def test_cuts_between_entries_mix_no_answers(harness, class_name):
    """Guards against a reply that reaches another attempt after a cut."""
    generator = make_random('cuts between entries')
    for target in harness.targets:
        harness.set(target, service_ms=30)
    fields = {'class_name': class_name, 'deadline_ms': 1500}
    with Load(harness, generator, WORKER_COUNT, **fields) as load:
        load.wait_further(ANSWERS)
        unreplied = count_unreplied(harness)
        cuts = 0

        def is_disturbed():
            nonlocal cuts
            link = generator.choice(list_peer_links(harness))
            harness.tier.proxy.set_fault(link, Fault(reset=True))
            load.wait_further(ANSWERS // 4)
            harness.tier.proxy.heal(link)
            load.wait_further(ANSWERS // 4)
            cuts += 1
            return cuts >= CUTS and count_unreplied(harness) > unreplied

        wait_until(
            is_disturbed, WAIT_TIMEOUT_S, 'an attempt under way at a cut'
        )
        load.wait_further(ANSWERS)
        load.wait_majority()
    check_own(harness, load)


def test_callers_that_leave_disturb_no_others(harness):
    """Guards against an answer that goes to the caller after one that left."""
    generator = make_random('leaving callers')
    for target in harness.targets:
        harness.set(target, service_ms=50)
    with Load(harness, generator, WORKER_COUNT // 2) as load:
        load.wait_further(ANSWERS // 2)
        for number in range(DISCONNECTING_CALLERS):
            entry = generator.choice(harness.entries)
            request = {
                'group': 'find',
                'class_name': 'plain',
                'query': {'leaver': number},
            }
            client = harness.tier.clients.caller(entry, 'desk')
            with pytest.raises(UnknownOutcomeError):
                client.call('POST', '/v1/query', request, 0.01)
        load.wait_further(ANSWERS)
        load.wait_majority()
    check_own(harness, load)


def test_crossed_replies_of_a_target_are_not_used(harness):
    """Guards against a target that swaps the replies of two requests."""
    generator = make_random('crossed replies')
    faulty_target = harness.list_targets('find-1')[0]
    harness.set(faulty_target, nonsense='crossed')
    with Load(harness, generator) as load:
        load.wait_further(ANSWERS)
        wait_until(
            lambda: harness.set(faulty_target)['counters'].get('ran', 0) > 3,
            WAIT_TIMEOUT_S,
            'attempts on the target that swaps replies',
        )
        load.wait_majority()
    check_own(harness, load)
