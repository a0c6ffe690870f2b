"""G7: a request of a once-only class runs at most once."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from shallotgate.cli import make_timestamped_id
from testkit.runner import wait_until
from tests.support import (
    LABELS,
    LIMIT_S,
    is_owned_by_others,
    make_random,
    replace,
    run_scene,
    wipe,
)

KEYS = 12
# Longer than the deadline of the request.
STALL_MS = 2500
SHORT_DEADLINE_MS = 700


@pytest.fixture(scope='module')
def running_scene():
    with run_scene(once_services=1) as scene:
        yield scene


def run_once(scene, entry, key, content=1, **fields):
    """Send a once-only request; None if the connection broke."""
    return scene.ask(
        entry,
        {'key': key, 'content': content},
        group=LABELS,
        class_name='once',
        key=key,
        **fields,
    )


def list_label_targets(scene):
    return scene.list_targets('labels-0')


def read_runs(scene):
    return scene.sum_counts('ran_keys')


def send_until_settled(scene, generator, key):
    """Resend on any entry until the outcome is known; return all answers."""
    answers = []

    def is_settled():
        entry = generator.choice(scene.tier.list_running())
        answer = run_once(scene, entry, key)
        answers.append(answer)
        # A run whose record may still come is told as in progress.
        return answer and answer['outcome'] in {'complete', 'unknown'}

    wait_until(is_settled, LIMIT_S, f'{key} settled')
    return answers


def check_key(answers, runs):
    """Check the answers to all sends of one key against its runs."""
    assert runs <= 1
    told = [answer for answer in answers if answer]
    complete = [one for one in told if one['outcome'] == 'complete']
    if complete:
        assert runs == 1
        assert len({str(one['matches']) for one in complete}) == 1
        assert len({one['request_id'] for one in complete}) == 1
        assert sum(not one.get('repeated') for one in complete) <= 1
    if runs and told:
        # What ran is never told as not run by the last answer.
        assert told[-1]['outcome'] != 'refused', told


def test_resends_get_the_recorded_answer(scene):
    """Guards against a second run by a resend on another entry."""
    keys = [make_timestamped_id() for _ in range(KEYS)]
    sends = [(entry, key) for key in keys for entry in scene.entries]
    with ThreadPoolExecutor(len(sends)) as pool:
        first = list(pool.map(lambda send: run_once(scene, *send), sends))
    again = [run_once(scene, *send) for send in sends]
    runs = read_runs(scene)
    for key in keys:
        answers = [
            answer
            for send, answer in zip(sends * 2, first + again, strict=True)
            if send[1] == key
        ]
        assert runs[key] == 1
        check_key(answers, runs[key])
    assert {one['outcome'] for one in again} == {'complete'}
    assert all(one['repeated'] for one in again)


def test_key_with_other_content_is_not_run(scene):
    """Guards against a key that stands for two requests."""
    key = make_timestamped_id()
    entries = scene.entries
    first = run_once(scene, entries[0], key)
    other = [run_once(scene, entry, key, content=2) for entry in entries]
    last = run_once(scene, entries[-1], key)
    assert first['outcome'] == last['outcome'] == 'complete'
    assert last['matches'] == first['matches']
    assert {one['outcome'] for one in other} == {'refused'}
    assert {one['reason'] for one in other} == {'key_mismatch'}
    ran = scene.sum_counts('ran_requests')
    assert not any(ran.get(one['request_id']) for one in other)
    assert read_runs(scene)[key] == 1


def send_stalled(scene, key):
    """Send a key that outlasts its deadline on each entry.

    A send whose deadline passes before the dispatch is refused and has not
    run, so the first one is repeated until a target has begun the key.
    """
    answers = []

    def is_begun():
        answers[:] = [run_short(scene, scene.entries[0], key)]
        return read_runs(scene).get(key)

    wait_until(is_begun, LIMIT_S, 'the key begun')
    others = scene.entries[1:]
    return answers + [run_short(scene, entry, key) for entry in others]


def run_short(scene, entry, key):
    return run_once(scene, entry, key, deadline_ms=SHORT_DEADLINE_MS)


def test_stalled_target_is_not_followed_by_another(scene):
    """Guards against a retry of a request whose reply is overdue."""
    for target in list_label_targets(scene):
        scene.set(target, service_ms=STALL_MS)
    keys = [make_timestamped_id() for _ in range(3)]
    answers = {key: send_stalled(scene, key) for key in keys}
    assert [read_runs(scene).get(key) for key in keys] == [1, 1, 1]
    scene.restore()
    for key in keys:
        answers[key].append(run_once(scene, scene.entries[0], key))
    # The counters were reset: whatever is counted now is a second run.
    assert not any(read_runs(scene).get(key) for key in keys)
    for found in answers.values():
        assert {one['outcome'] for one in found} == {'unknown'}, found


def test_request_not_sent_may_be_tried_again(scene):
    """Guards against a key that is blocked, or run twice, after a shed."""
    key = make_timestamped_id()
    for target in list_label_targets(scene):
        scene.set(target, shedding=True)
    refused = [run_once(scene, entry, key) for entry in scene.entries]
    assert {one['outcome'] for one in refused} == {'refused'}
    assert not read_runs(scene).get(key)
    for target in list_label_targets(scene):
        scene.set(target, shedding=False)
    found = {}

    def is_run():
        found['answer'] = run_once(scene, scene.entries[0], key)
        return found['answer']['outcome'] == 'complete'

    wait_until(is_run, LIMIT_S, 'the released key run')
    check_key([found['answer']], read_runs(scene)[key])


@pytest.mark.parametrize('role', ['entry', 'owner'])
def test_loss_after_dispatch_makes_no_second_run(scene, role):
    """Guards against a second run after the entry or owner was lost."""
    generator = make_random('killed after dispatch')
    for target in list_label_targets(scene):
        scene.set(target, service_ms=STALL_MS)
    key = make_timestamped_id()
    asked = generator.choice(scene.entries)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(run_once, scene, asked, key)
        wait_until(lambda: read_runs(scene).get(key), LIMIT_S, 'the key begun')
        victim = asked
        if role == 'owner':
            victim = find_owner(scene, key)
        scene.tier.instances[victim].kill()
        first = future.result()
    others = [entry for entry in scene.entries if entry != victim]
    # Without a leader a resend is refused, which is true but shows nothing.
    wait_until(lambda: is_led(scene, others), LIMIT_S, 'a leader')
    answers = [first, *(run_once(scene, entry, key) for entry in others)]
    scene.tier.restart(victim)
    answers.extend(run_once(scene, entry, key) for entry in scene.entries)
    told = [one for one in answers if one]
    assert 'refused' not in {one['outcome'] for one in told}, told
    check_key(answers, read_runs(scene)[key])


def is_led(scene, entries):
    """Return whether entries agree that one of them leads."""
    pages = [scene.tier.clients.read(entry, '/v1/status') for entry in entries]
    leaders = {page['leader'] if page else None for page in pages}
    return len(leaders) == 1 and leaders <= set(entries)


def find_owner(scene, key):
    """Return the owner of the target that runs a key."""
    target = next(
        name
        for name in list_label_targets(scene)
        if scene.set(name)['ran_keys'].get(key)
    )
    page = scene.tier.clients.read(scene.entries[0], '/v1/targets')
    for row in page['targets']:
        if row['target'] == target:
            return row['ownership']['instance']
    raise AssertionError(f'{target} has no owner in {page}')


def count_claims(scene, reader):
    """Return the number of keys that the leader knows, -1 if unknown."""
    status = scene.tier.clients.read(reader, '/v1/status')
    return status['once_records'] if status else -1


def hold_dispatch(scene, entry):
    """Let no target take requests, and wait until an entry knows."""
    for target in list_label_targets(scene):
        scene.set(target, draining=True)

    def is_held():
        answer = run_once(scene, entry, make_timestamped_id(), deadline_ms=500)
        return answer['reason'] == 'no_target'

    wait_until(is_held, LIMIT_S, f'{entry} without a target')


def claim_and_kill(scene, moment, asked, key):
    """Kill an entry after it claimed a key and before it records more.

    Returns the answer of the entry, None if it gave none.
    """
    if moment == 'claimed':
        hold_dispatch(scene, asked)
    claims = count_claims(scene, asked)
    assert claims >= 0
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(run_once, scene, asked, key)
        if moment == 'claimed':
            wait_until(
                lambda: count_claims(scene, asked) == claims + 1,
                LIMIT_S,
                'the claim committed',
            )
            assert not future.done()
        else:
            wait_until(
                lambda: read_runs(scene).get(key), LIMIT_S, 'the key begun'
            )
        if moment == 'answered':
            # The record of the outcome finds no majority any more.
            scene.tier.isolate(asked)
            future.result()
        scene.tier.instances[asked].kill()
        return future.result()


@pytest.mark.parametrize('moment', ['claimed', 'begun', 'answered'])
def test_entry_and_a_disk_are_lost_between_claim_and_record(scene, moment):
    """Guards against a second run where the claim is left on one disk.

    The claim is committed by two of three members. The entry, one of them,
    is killed, and the other loses its disk.
    """
    generator = make_random('lost disk')
    asked, wiped, last = generator.sample(scene.entries, 3)
    pair = [asked, wiped]
    for target in list_label_targets(scene):
        scene.set(target, service_ms=STALL_MS)
    scene.tier.isolate(last)
    wait_until(lambda: is_led(scene, pair), LIMIT_S, 'a leader of the two')
    # A key sent to the isolated owner would not run, and its caller would
    # hear "unknown" without anything shown.
    wait_until(
        lambda: is_owned_by_others(scene.tier, asked, last),
        LIMIT_S,
        f'targets of {last} handed on',
    )
    key = make_timestamped_id()
    first = claim_and_kill(scene, moment, asked, key)
    wipe(scene.tier, wiped)
    scene.tier.proxy.heal()
    scene.tier.instances[asked].start()
    replace(scene.tier, wiped, last)
    scene.tier.wait_ready(*scene.entries)
    for target in list_label_targets(scene):
        scene.set(target, draining=False, service_ms=1)
    wait_until(lambda: is_led(scene, scene.entries), LIMIT_S, 'a leader')
    # Without a target to run it, a resend would show nothing.
    spare = make_timestamped_id()
    for entry in scene.entries:
        send_until_settled(scene, generator, f'{spare}-{entry}')
    resends = [run_once(scene, entry, key) for entry in scene.entries]
    for answer in resends:
        assert answer['outcome'] == 'unknown' or answer.get('repeated'), answer
    check_key([first, *resends], read_runs(scene).get(key, 0))


def test_killed_leader_makes_no_second_run(scene):
    """Guards against a claim or record that a change of leader loses."""
    generator = make_random('killed leader')
    status = scene.tier.clients.read(scene.entries[0], '/v1/status')
    leader = status['leader']
    keys = [make_timestamped_id() for _ in range(KEYS)]
    killer = scene.tier.instances[leader]

    def settle(numbered):
        number, key = numbered
        if number == KEYS // 3:
            killer.kill()
        return send_until_settled(scene, generator, key)

    with ThreadPoolExecutor(4) as pool:
        answers = list(pool.map(settle, enumerate(keys)))
    scene.tier.restart(leader)
    runs = read_runs(scene)
    for key, found in zip(keys, answers, strict=True):
        found.append(run_once(scene, leader, key))
        check_key(found, runs.get(key, 0))
    assert max(read_runs(scene).values()) == 1


def test_restart_of_all_forgets_no_key(scene):
    """Guards against a key that is run again after a restart of all."""
    keys = [make_timestamped_id() for _ in range(KEYS)]
    before = [run_once(scene, scene.entries[0], key) for key in keys]
    assert {one['outcome'] for one in before} == {'complete'}
    for entry in scene.entries:
        scene.tier.instances[entry].kill()
    for entry in scene.entries:
        scene.tier.instances[entry].start()
    scene.tier.wait_ready(*scene.entries)
    after = [run_once(scene, scene.entries[-1], key) for key in keys]
    runs = read_runs(scene)
    for key, *answers in zip(keys, before, after, strict=True):
        check_key(answers, runs[key])
    assert {one['outcome'] for one in after} == {'complete'}
    assert all(one['repeated'] for one in after)
