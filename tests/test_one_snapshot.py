"""G1 and G2: one snapshot in an answer, and its coverage is true."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from testkit.runner import wait_until
from tests.support import (
    PARTITIONS,
    WAIT_TIMEOUT_S,
    Load,
    check_answers,
    find_answer_errors,
    list_matches,
    make_random,
    sort_ids,
)

# Version changes during the run; each second one halves the partitions.
CHANGES = 3
ANSWERS = 20
# Long enough to publish a version on all targets meanwhile.
SCREENING_MS = 600


def make_next_version(version):
    """Return the next version with twice or half the partitions."""
    number = version['index_version'] + 1
    held = version['held']
    if version['partitions'] == PARTITIONS:
        return {
            'index_version': number,
            'partitions': 2 * PARTITIONS,
            'held': [
                2 * partition + half for partition in held for half in (0, 1)
            ],
        }
    return {
        'index_version': number,
        'partitions': PARTITIONS,
        'held': sorted({partition // 2 for partition in held}),
    }


def wait_complete(load, version):
    """Wait for a complete answer from an index version."""
    load.wait_for(
        lambda answer: (
            answer['outcome'] == 'complete' and answer['snapshot'] == version
        ),
        f'a complete answer from version {version}',
    )


def publish(harness, generator, load):
    """Publish a version target by target, then retire the previous one."""
    targets = list(harness.targets)
    generator.shuffle(targets)
    previous = harness.read_versions(targets[0])[0]['index_version']
    for target in targets:
        old = harness.read_versions(target)[0]
        new = make_next_version(old)
        harness.partitions[new['index_version']] = new['partitions']
        harness.set_versions(target, [old, new])
    wait_complete(load, previous + 1)
    for target in targets:
        harness.set_versions(target, harness.read_versions(target)[1:])
    load.wait_further(ANSWERS)


@pytest.mark.parametrize('class_name', ['plain', 'screened'])
def test_versions_that_change_are_not_mixed(harness, class_name):
    """Guards against an answer merged from two versions or partitionings."""
    generator = make_random('versions')
    first = max(harness.partitions)
    harness.set(harness.list_targets('find-0')[0], slow_factor=40)
    harness.delay(harness.list_targets('find-1')[0], 100)
    with Load(harness, generator, class_name=class_name) as load:
        load.wait_further(ANSWERS)
        wait_complete(load, first)
        for _ in range(CHANGES):
            publish(harness, generator, load)
        load.wait_majority()
    answers = check_answers(harness, load.answers)
    complete = [answer for answer in answers if answer['outcome'] == 'complete']
    snapshots = {answer['snapshot'] for answer in complete}
    assert snapshots >= set(range(first, first + CHANGES + 1))
    assert len(complete) * 2 > len(answers)


def replace_version(harness):
    """Replace the version that all targets hold, at once, by the next."""
    for target in harness.targets:
        (old,) = harness.read_versions(target)
        new = make_next_version(old)
        harness.partitions[new['index_version']] = new['partitions']
        harness.set_versions(target, [new])


def read_restarts(harness, entry):
    """Return how often queries of an entry were restarted."""
    return harness.get_counter(entry, 'version_restarts_total')


def ask_and_replace_version(harness, entry, query):
    """Retire the version of a query while its screening runs.

    Returns the answer and the attempts of it that reached the targets.
    """
    for target in harness.targets:
        harness.set(target, service_ms=SCREENING_MS, reset=True)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(harness.ask, entry, query, class_name='screened')
        wait_until(
            lambda: harness.sum_counts('ran_requests') or future.done(),
            WAIT_TIMEOUT_S,
            'the screening begun',
        )
        replace_version(harness)
        for target in harness.targets:
            harness.set(target, service_ms=1)
        answer = future.result()
    # No other query runs.
    counters = [harness.set(target)['counters'] for target in harness.targets]
    reached = sum(
        counter.get('ran', 0) + counter.get('wrong_version', 0)
        for counter in counters
    )
    return answer, reached


def test_query_restarts_when_its_version_is_retired(harness):
    """Guards against a merge of what came before and after a restart.

    Also against extra attempts of the restart that are not counted.
    """
    generator = make_random('retired version')
    entry = generator.choice(harness.entries)
    found = {}

    def is_restarted():
        query = {'retired': generator.getrandbits(32)}
        before = max(harness.partitions)
        restarts = read_restarts(harness, entry)
        answer, reached = ask_and_replace_version(harness, entry, query)
        assert find_answer_errors(query, answer, harness.partitions) == [], (
            answer
        )
        assert answer['attempts'] >= reached, (answer, reached)
        found.update(answer=answer, reached=reached)
        return (
            read_restarts(harness, entry) == restarts + 1
            and answer['outcome'] == 'complete'
            and answer['snapshot'] == before + 1
        )

    wait_until(
        is_restarted, WAIT_TIMEOUT_S, 'a complete answer after a restart'
    )
    answer = found['answer']
    asked = answer['shards']['asked']
    # The screening ran on the retired version, the whole on the next one.
    assert found['reached'] > asked
    assert answer['attempts'] > asked


def test_reply_of_another_version_is_not_merged(harness):
    """Guards against a target that answers from a version not asked for."""
    generator = make_random('wrong version')
    faulty_target = harness.list_targets('find-1')[0]
    harness.set(faulty_target, nonsense='wrong_version')
    with Load(harness, generator) as load:
        load.wait_further(ANSWERS)
        wait_until(
            lambda: harness.set(faulty_target)['counters'].get('ran', 0) > 2,
            WAIT_TIMEOUT_S,
            'attempts on the target that answers wrongly',
        )
    check_answers(harness, load.answers)


@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_lost_shard_is_told_as_missing(harness, fault):
    """Guards against an answer without a shard that is called complete."""
    lost = harness.list_targets('find-2')
    for target in lost:
        getattr(harness.tier.targets[target], fault)()
    held = {
        partition
        for version in harness.read_versions(lost[0])
        for partition in version['held']
    }
    for entry in harness.entries:
        query = {'lost': fault, 'entry': entry}
        answer = harness.ask(entry, query, deadline_ms=1500)
        assert find_answer_errors(query, answer, harness.partitions) == []
        assert answer['outcome'] == 'partial', answer
        missing = {shard['partition'] for shard in answer['shards']['missing']}
        assert missing == held
        assert not answer['matches_full']


@pytest.mark.parametrize('class_name', ['plain', 'screened'])
def test_partly_covered_partition_is_told(harness, class_name):
    """Guards against a list from a part of a partition called complete."""
    partly_covering = harness.list_targets('find-1')
    for target in partly_covering:
        harness.set(target, covers_part=True)
    for entry in harness.entries:
        query = {'part': class_name, 'entry': entry}
        answer = harness.ask(entry, query, class_name=class_name)
        assert (answer['outcome'], answer['reason']) == (
            'partial',
            'not_covered',
        )
        assert not answer['matches_full']
        whole = list_matches(
            query, answer['snapshot'], answer['shards']['asked']
        )
        assert set(sort_ids(answer['matches'])) < set(sort_ids(whole))
    for target in partly_covering:
        harness.set(target, covers_part=False)
    for entry in harness.entries:
        query = {'part': class_name, 'entry': entry, 'whole': True}
        answer = harness.ask(entry, query, class_name=class_name)
        assert find_answer_errors(query, answer, harness.partitions) == []
        assert answer['outcome'] == 'complete'


def test_matches_that_a_limit_cuts_are_told(harness):
    """Guards against a truncated list that is reported as full."""
    for number, entry in enumerate(harness.entries):
        query = {'limit': number}
        whole = harness.ask(entry, query)
        assert find_answer_errors(query, whole, harness.partitions) == []
        assert whole['outcome'] == 'complete'
        ranked = whole['matches']
        count = len(ranked)
        for limit in (1, 2, count - 1, count):
            answer = harness.ask(entry, query, limit=limit)
            assert answer['outcome'] == 'complete'
            assert answer['matches'] == ranked[:limit]
            assert answer['matches_full'] == (limit == count), limit
        expected = list_matches(
            query, whole['snapshot'], whole['shards']['asked']
        )
        assert sort_ids(ranked) == sort_ids(expected)
