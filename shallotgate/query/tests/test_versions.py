import pytest

from shallotgate.query.tests.tier import (
    Tier,
    name_replicas,
    reply_ok,
    reply_with,
)
from shallotgate.routing.tests.builders import make_version


@pytest.mark.parametrize('change', [{'index_version': 2}, {'partition': 1}])
def test_reply_of_other_version_or_partition_is_not_merged(change):
    """Guards against answers that mix index versions or partitions."""
    tier = Tier()
    tier.port.behaviours['s0-x'] = lambda attempt: reply_ok(
        attempt, matches=b'[{"id":"mixed"}]', **change
    )
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert 'mixed' not in {match['id'] for match in answer.matches}
    assert answer.attempts == 4


def test_query_restarts_when_its_version_is_retired():
    """Guards against answers that mix versions during a repartitioning."""
    tier = Tier()

    def retire(attempt):
        # The whole group switches to version 2 with four partitions.
        held = {0: [0, 3], 1: [1], 2: [2]}
        tier.report_all(lambda number: [make_version(2, 4, held[number])])
        return reply_with('wrong_version')(attempt)

    def behave(attempt):
        return (
            retire(attempt) if attempt.index_version == 1 else reply_ok(attempt)
        )

    for target in name_replicas(2):
        tier.port.behaviours[target] = behave
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert answer.snapshot == 2
    assert (answer.shards.asked, answer.shards.answered) == (4, 4)
    assert {match['v'] for match in answer.matches} == {2}
    assert tier.count('version_restarts_total', class_name='plain') == 1


def test_second_retirement_leaves_a_partial_answer():
    """Guards against a query that restarts repeatedly."""
    tier = Tier()

    def retire(attempt):
        newer = attempt.index_version + 1
        tier.report_all(lambda number: [make_version(newer, 3, [number])])
        return reply_with('wrong_version')(attempt)

    for target in name_replicas(2):
        tier.port.behaviours[target] = retire
    answer = tier.ask()
    assert answer.outcome == 'partial'
    assert [shard.reason for shard in answer.shards.missing] == [
        'version_retired'
    ]
    assert {match['v'] for match in answer.matches} == {answer.snapshot} == {2}


def test_one_outdated_replica_does_not_restart_the_query():
    """Guards against restarts while another replica has the version."""
    tier = Tier()

    def move_on(attempt):
        tier.report('s2-x', versions=[make_version(2, 3, [2])])
        return reply_with('wrong_version')(attempt)

    tier.port.behaviours['s2-x'] = move_on
    answer = tier.ask()
    assert (answer.outcome, answer.snapshot, answer.attempts) == (
        'complete',
        1,
        4,
    )
    assert not tier.count('version_restarts_total', class_name='plain')


def test_incomplete_new_version_is_not_chosen():
    """Guards against binding to a version that is not fully rolled out."""
    tier = Tier()
    tier.report(
        's0-x', versions=[make_version(2, 3, [0]), make_version(1, 3, [0])]
    )
    assert tier.ask().snapshot == 1
