"""G1 and G2: one snapshot in an answer, and its coverage is true."""

import pytest

from testkit.runner import wait_until
from tests.support import (
    LIMIT_S,
    PARTITIONS,
    Load,
    check_answers,
    find_faults,
    list_matches,
    make_random,
    sort_ids,
)

# Version changes during the run; each second one halves the partitions.
CHANGES = 3
ANSWERS = 20


def split(version):
    """Return the next version with twice or half the partitions."""
    number = version['index_version'] + 1
    held = version['held']
    if version['partitions'] == PARTITIONS:
        return {
            'index_version': number,
            'partitions': 2 * PARTITIONS,
            'held': [2 * one + half for one in held for half in (0, 1)],
        }
    return {
        'index_version': number,
        'partitions': PARTITIONS,
        'held': sorted({one // 2 for one in held}),
    }


def publish(scene, generator, load):
    """Publish a version target by target, then retire the former one."""
    targets = list(scene.targets)
    generator.shuffle(targets)
    former = scene.read_versions(targets[0])[0]['index_version']
    for target in targets:
        old = scene.read_versions(target)[0]
        new = split(old)
        scene.partitions[new['index_version']] = new['partitions']
        scene.set_versions(target, [old, new])
    load.wait_for(
        lambda answer: answer.get('snapshot') == former + 1,
        f'an answer from version {former + 1}',
    )
    for target in targets:
        scene.set_versions(target, scene.read_versions(target)[1:])
    load.wait_more(ANSWERS)


@pytest.mark.parametrize('class_name', ['plain', 'screened'])
def test_versions_that_change_are_not_mixed(scene, class_name):
    """Guards against an answer merged from two versions or partitionings."""
    generator = make_random('versions')
    first = max(scene.partitions)
    scene.set(scene.list_targets('find-0')[0], slow_factor=40)
    scene.delay(scene.list_targets('find-1')[0], 100)
    with Load(scene, generator, class_name=class_name) as load:
        load.wait_more(ANSWERS)
        for _ in range(CHANGES):
            publish(scene, generator, load)
    answers = check_answers(scene, load.answers)
    complete = [one for one in answers if one['outcome'] == 'complete']
    snapshots = {one['snapshot'] for one in complete}
    assert snapshots >= set(range(first, first + CHANGES + 1))
    assert len(complete) * 2 > len(answers)


def test_reply_of_another_version_is_not_merged(scene):
    """Guards against a target that answers from a version not asked for."""
    generator = make_random('wrong version')
    liar = scene.list_targets('find-1')[0]
    scene.set(liar, nonsense='wrong_version')
    with Load(scene, generator) as load:
        load.wait_more(ANSWERS)
        wait_until(
            lambda: scene.set(liar)['counters'].get('ran', 0) > 2,
            LIMIT_S,
            'attempts on the target that answers wrongly',
        )
    check_answers(scene, load.answers)


@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_lost_shard_is_told_as_missing(scene, fault):
    """Guards against an answer without a shard that is called complete."""
    lost = scene.list_targets('find-2')
    for target in lost:
        getattr(scene.tier.targets[target], fault)()
    held = {
        partition
        for version in scene.read_versions(lost[0])
        for partition in version['held']
    }
    for entry in scene.entries:
        query = {'lost': fault, 'entry': entry}
        answer = scene.ask(entry, query, deadline_ms=1500)
        assert find_faults(query, answer, scene.partitions) == []
        assert answer['outcome'] == 'partial', answer
        missing = {one['partition'] for one in answer['shards']['missing']}
        assert missing == held
        assert not answer['matches_full']


def test_matches_that_a_limit_cuts_are_told(scene):
    """Guards against a cut list that is taken for the whole one."""
    for number, entry in enumerate(scene.entries):
        query = {'limit': number}
        whole = scene.ask(entry, query)
        assert find_faults(query, whole, scene.partitions) == []
        assert whole['outcome'] == 'complete'
        ranked = whole['matches']
        count = len(ranked)
        for limit in (1, 2, count - 1, count):
            answer = scene.ask(entry, query, limit=limit)
            assert answer['outcome'] == 'complete'
            assert answer['matches'] == ranked[:limit]
            assert answer['matches_full'] == (limit == count), limit
        expected = list_matches(
            query, whole['snapshot'], whole['shards']['asked']
        )
        assert sort_ids(ranked) == sort_ids(expected)
