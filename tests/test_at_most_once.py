"""G7: a request of a once-only class runs at most once."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from shallotgate.cli import make_timestamped_id
from testkit.runner import wait_until
from tests.support import (
    LABEL_GROUP,
    WAIT_TIMEOUT_S,
    is_owned_by_others,
    make_random,
    replace,
    run_harness,
    wipe,
)

KEY_COUNT = 12
# Longer than the deadline of the request.
STALL_MS = 2500
SHORT_DEADLINE_MS = 700


@pytest.fixture(scope='module')
def running_harness():
    with run_harness(once_services=1) as harness:
        yield harness


def run_once(harness, entry, key, content=1, **fields):
    """Send a once-only request; None if the connection broke."""
    return harness.ask(
        entry,
        {'key': key, 'content': content},
        group=LABEL_GROUP,
        class_name='once',
        key=key,
        **fields,
    )


def list_label_targets(harness):
    return harness.list_targets('labels-0')


def read_runs(harness):
    return harness.sum_counts('ran_keys')


def send_until_settled(harness, generator, key):
    """Resend on any entry until the outcome is known; return all answers."""
    answers = []

    def is_settled():
        entry = generator.choice(harness.tier.list_running())
        answer = run_once(harness, entry, key)
        answers.append(answer)
        # While the record of a run may still arrive, the key is in progress.
        return answer and answer['outcome'] in {'complete', 'unknown'}

    wait_until(is_settled, WAIT_TIMEOUT_S, f'{key} settled')
    return answers


def check_key(answers, runs):
    """Check the answers to all sends of one key against its runs."""
    assert runs <= 1
    received = [answer for answer in answers if answer]
    complete = [
        answer for answer in received if answer['outcome'] == 'complete'
    ]
    if complete:
        assert runs == 1
        assert len({str(answer['matches']) for answer in complete}) == 1
        assert len({answer['request_id'] for answer in complete}) == 1
        assert sum(not answer.get('repeated') for answer in complete) <= 1
    if runs and received:
        # A request that ran must not be reported as refused in the end.
        assert received[-1]['outcome'] != 'refused', received


def test_resends_get_the_recorded_answer(harness):
    """Guards against a second run by a resend on another entry."""
    keys = [make_timestamped_id() for _ in range(KEY_COUNT)]
    sends = [(entry, key) for key in keys for entry in harness.entries]
    with ThreadPoolExecutor(len(sends)) as pool:
        first = list(pool.map(lambda send: run_once(harness, *send), sends))
    again = [run_once(harness, *send) for send in sends]
    runs = read_runs(harness)
    for key in keys:
        answers = [
            answer
            for send, answer in zip(sends * 2, first + again, strict=True)
            if send[1] == key
        ]
        assert runs[key] == 1
        check_key(answers, runs[key])
    assert {answer['outcome'] for answer in again} == {'complete'}
    assert all(answer['repeated'] for answer in again)


def test_key_with_other_content_is_not_run(harness):
    """Guards against a key that is accepted for two different requests."""
    key = make_timestamped_id()
    entries = harness.entries
    first = run_once(harness, entries[0], key)
    other = [run_once(harness, entry, key, content=2) for entry in entries]
    last = run_once(harness, entries[-1], key)
    assert first['outcome'] == last['outcome'] == 'complete'
    assert last['matches'] == first['matches']
    assert {answer['outcome'] for answer in other} == {'refused'}
    assert {answer['reason'] for answer in other} == {'key_mismatch'}
    ran = harness.sum_counts('ran_requests')
    assert not any(ran.get(answer['request_id']) for answer in other)
    assert read_runs(harness)[key] == 1


def send_stalled(harness, key):
    """Send a key to each entry with a deadline that the run exceeds.

    A send whose deadline passes before the dispatch is refused and has not
    run, so the first one is repeated until a target has begun the key.
    """
    answers = []

    def is_begun():
        answers[:] = [
            run_once_with_short_deadline(harness, harness.entries[0], key)
        ]
        return read_runs(harness).get(key)

    wait_until(is_begun, WAIT_TIMEOUT_S, 'the key begun')
    others = harness.entries[1:]
    return answers + [
        run_once_with_short_deadline(harness, entry, key) for entry in others
    ]


def run_once_with_short_deadline(harness, entry, key):
    return run_once(harness, entry, key, deadline_ms=SHORT_DEADLINE_MS)


def test_stalled_target_is_not_followed_by_another(harness):
    """Guards against a retry of a request whose reply is overdue."""
    for target in list_label_targets(harness):
        harness.set(target, service_ms=STALL_MS)
    keys = [make_timestamped_id() for _ in range(3)]
    answers = {key: send_stalled(harness, key) for key in keys}
    assert [read_runs(harness).get(key) for key in keys] == [1, 1, 1]
    harness.restore()
    for key in keys:
        answers[key].append(run_once(harness, harness.entries[0], key))
    # The counters were reset, so any count is a second run.
    assert not any(read_runs(harness).get(key) for key in keys)
    for found in answers.values():
        assert {answer['outcome'] for answer in found} == {'unknown'}, found


def test_request_not_sent_may_be_tried_again(harness):
    """Guards against a key that is blocked, or run twice, after a shed."""
    key = make_timestamped_id()
    for target in list_label_targets(harness):
        harness.set(target, shedding=True)
    refused = [run_once(harness, entry, key) for entry in harness.entries]
    assert {answer['outcome'] for answer in refused} == {'refused'}
    assert not read_runs(harness).get(key)
    for target in list_label_targets(harness):
        harness.set(target, shedding=False)
    found = {}

    def is_run():
        found['answer'] = run_once(harness, harness.entries[0], key)
        return found['answer']['outcome'] == 'complete'

    wait_until(is_run, WAIT_TIMEOUT_S, 'the released key run')
    check_key([found['answer']], read_runs(harness)[key])


@pytest.mark.parametrize('role', ['entry', 'owner'])
def test_loss_after_dispatch_makes_no_second_run(harness, role):
    """Guards against a second run after the entry or owner was lost."""
    generator = make_random('killed after dispatch')
    for target in list_label_targets(harness):
        harness.set(target, service_ms=STALL_MS)
    key = make_timestamped_id()
    asked = generator.choice(harness.entries)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(run_once, harness, asked, key)
        wait_until(
            lambda: read_runs(harness).get(key), WAIT_TIMEOUT_S, 'the key begun'
        )
        victim = asked
        if role == 'owner':
            victim = find_owner(harness, key)
        harness.tier.instances[victim].kill()
        first = future.result()
    others = [entry for entry in harness.entries if entry != victim]
    # Without a leader a resend is refused, which does not test the record.
    wait_until(lambda: has_leader(harness, others), WAIT_TIMEOUT_S, 'a leader')
    answers = [first, *(run_once(harness, entry, key) for entry in others)]
    harness.tier.restart(victim)
    answers.extend(run_once(harness, entry, key) for entry in harness.entries)
    received = [answer for answer in answers if answer]
    assert 'refused' not in {answer['outcome'] for answer in received}, received
    check_key(answers, read_runs(harness)[key])


def has_leader(harness, entries):
    """Return whether entries agree that one of them leads."""
    pages = [
        harness.tier.clients.read(entry, '/v1/status') for entry in entries
    ]
    leaders = {page['leader'] if page else None for page in pages}
    return len(leaders) == 1 and leaders <= set(entries)


def find_owner(harness, key):
    """Return the owner of the target that runs a key."""
    target = next(
        name
        for name in list_label_targets(harness)
        if harness.set(name)['ran_keys'].get(key)
    )
    page = harness.tier.clients.read(harness.entries[0], '/v1/targets')
    for row in page['targets']:
        if row['target'] == target:
            return row['ownership']['instance']
    raise AssertionError(f'{target} has no owner in {page}')


def count_claims(harness, reader):
    """Return the number of recorded keys, -1 without a status page."""
    status = harness.tier.clients.read(reader, '/v1/status')
    return status['once_records'] if status else -1


def block_dispatch(harness, entry):
    """Drain all targets and wait until an entry refuses for lack of one."""
    for target in list_label_targets(harness):
        harness.set(target, draining=True)

    def is_held():
        answer = run_once(
            harness, entry, make_timestamped_id(), deadline_ms=500
        )
        return answer['reason'] == 'no_target'

    wait_until(is_held, WAIT_TIMEOUT_S, f'{entry} without a target')


def claim_and_kill(harness, moment, asked, key):
    """Kill an entry after it claimed a key and before it records more.

    Returns the answer of the entry, None if it gave none.
    """
    if moment == 'claimed':
        block_dispatch(harness, asked)
    claims = count_claims(harness, asked)
    assert claims >= 0
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(run_once, harness, asked, key)
        if moment == 'claimed':
            wait_until(
                lambda: count_claims(harness, asked) == claims + 1,
                WAIT_TIMEOUT_S,
                'the claim committed',
            )
            assert not future.done()
        else:
            wait_until(
                lambda: read_runs(harness).get(key),
                WAIT_TIMEOUT_S,
                'the key begun',
            )
        if moment == 'answered':
            # Without a majority the outcome cannot be recorded.
            harness.tier.isolate(asked)
            future.result()
        harness.tier.instances[asked].kill()
        return future.result()


@pytest.mark.parametrize('moment', ['claimed', 'begun', 'answered'])
def test_entry_and_a_disk_are_lost_between_claim_and_record(harness, moment):
    """Guards against a second run where the claim is left on one disk.

    The claim is committed by two of three members. The entry, one of them,
    is killed, and the other loses its disk.
    """
    generator = make_random('lost disk')
    asked, wiped, last = generator.sample(harness.entries, 3)
    pair = [asked, wiped]
    for target in list_label_targets(harness):
        harness.set(target, service_ms=STALL_MS)
    harness.tier.isolate(last)
    wait_until(
        lambda: has_leader(harness, pair), WAIT_TIMEOUT_S, 'a leader of the two'
    )
    # A key sent to the isolated owner would not run, and its outcome would be
    # "unknown" without testing the claim.
    wait_until(
        lambda: is_owned_by_others(harness.tier, asked, last),
        WAIT_TIMEOUT_S,
        f'targets of {last} handed on',
    )
    key = make_timestamped_id()
    first = claim_and_kill(harness, moment, asked, key)
    wipe(harness.tier, wiped)
    harness.tier.proxy.heal()
    harness.tier.instances[asked].start()
    replace(harness.tier, wiped, last)
    harness.tier.wait_ready(*harness.entries)
    for target in list_label_targets(harness):
        harness.set(target, draining=False, service_ms=1)
    wait_until(
        lambda: has_leader(harness, harness.entries), WAIT_TIMEOUT_S, 'a leader'
    )
    # A resend tests the claim only if a target is available to run it.
    spare = make_timestamped_id()
    for entry in harness.entries:
        send_until_settled(harness, generator, f'{spare}-{entry}')
    resends = [run_once(harness, entry, key) for entry in harness.entries]
    for answer in resends:
        assert answer['outcome'] == 'unknown' or answer.get('repeated'), answer
    check_key([first, *resends], read_runs(harness).get(key, 0))


def test_killed_leader_makes_no_second_run(harness):
    """Guards against a claim or record that a change of leader loses."""
    generator = make_random('killed leader')
    status = harness.tier.clients.read(harness.entries[0], '/v1/status')
    leader = status['leader']
    keys = [make_timestamped_id() for _ in range(KEY_COUNT)]
    killer = harness.tier.instances[leader]

    def settle(numbered):
        number, key = numbered
        if number == KEY_COUNT // 3:
            killer.kill()
        return send_until_settled(harness, generator, key)

    with ThreadPoolExecutor(4) as pool:
        answers = list(pool.map(settle, enumerate(keys)))
    harness.tier.restart(leader)
    runs = read_runs(harness)
    for key, found in zip(keys, answers, strict=True):
        found.append(run_once(harness, leader, key))
        check_key(found, runs.get(key, 0))
    assert max(read_runs(harness).values()) == 1


def test_restart_of_all_forgets_no_key(harness):
    """Guards against a key that is run again after a restart of all."""
    keys = [make_timestamped_id() for _ in range(KEY_COUNT)]
    before = [run_once(harness, harness.entries[0], key) for key in keys]
    assert {answer['outcome'] for answer in before} == {'complete'}
    for entry in harness.entries:
        harness.tier.instances[entry].kill()
    for entry in harness.entries:
        harness.tier.instances[entry].start()
    harness.tier.wait_ready(*harness.entries)
    after = [run_once(harness, harness.entries[-1], key) for key in keys]
    runs = read_runs(harness)
    for key, *answers in zip(keys, before, after, strict=True):
        check_key(answers, runs[key])
    assert {answer['outcome'] for answer in after} == {'complete'}
    assert all(answer['repeated'] for answer in after)
