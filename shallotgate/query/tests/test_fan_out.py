import pytest

from shallotgate.codec import encode_json
from shallotgate.query.tests.tier import (
    KEY,
    Tier,
    name_replicas,
    reply_late,
    reply_never,
    reply_ok,
    reply_with,
)
from shallotgate.routing import RecentGroups


def test_answer_holds_all_shards_of_one_version():
    """Guards against missing or duplicate matches without any failures."""
    tier = Tier()
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert answer.snapshot == 1
    assert (answer.shards.asked, answer.shards.answered) == (3, 3)
    assert len({match['id'] for match in answer.matches}) == 9
    assert answer.matches_full
    scores = [match['score'] for match in answer.matches]
    assert scores == sorted(scores, reverse=True)
    assert answer.attempts == len(tier.port.sent) == 3


def test_crossed_and_late_replies_are_discarded():
    """Guards against an answer with the matches of another request."""
    tier = Tier()

    def reply_crossed(attempt):
        foreign = reply_ok(attempt, attempt_id='other-1', matches=b'[{"id":9}]')
        return [foreign, reply_ok(attempt), reply_ok(attempt)]

    tier.port.behaviours['s0-x'] = reply_crossed
    tier.port.behaviours['s1-x'] = reply_late(0.03)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert '9' not in {str(match['id']) for match in answer.matches}
    assert tier.count('replies_discarded_total', class_name='plain') == 2


@pytest.mark.parametrize(
    ('change', 'outcome'),
    [({'truncated': True}, 'complete'), ({'covered': False}, 'partial')],
)
def test_cut_or_uncovered_lists_are_not_called_full(change, outcome):
    """Guards against truncated or uncovered matches reported as full."""
    tier = Tier()
    for target in name_replicas(0):
        tier.port.behaviours[target] = lambda attempt: reply_ok(
            attempt, **change
        )
    answer = tier.ask()
    assert answer.outcome == outcome
    assert not answer.matches_full


def test_limit_cuts_the_list_and_says_so():
    """Guards against a list truncated by the limit but reported as full."""
    answer = Tier().ask(limit=2)
    assert len(answer.matches) == 2
    assert not answer.matches_full
    assert answer.outcome == 'complete'


def test_unanswered_attempt_is_sent_to_another_replica():
    """Guards against a shard that is closed because one owner did not reply.

    The entry times out such an attempt before the deadline of the query if the
    maximum duration of an attempt is shorter.
    """
    tier = Tier()
    asked = []

    def reply_first_never(attempt):
        asked.append(attempt.target)
        if len(asked) == 1:
            return reply_with('timeout', 'no_reply')(attempt)
        return reply_ok(attempt)

    for target in name_replicas(1):
        tier.port.behaviours[target] = reply_first_never
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert len(set(asked)) == len(asked) == 2


@pytest.mark.parametrize(
    ('reason', 'outcome'),
    [
        ('not_owner', 'complete'),
        ('no_lease', 'complete'),
        ('owner_unreachable', 'complete'),
        # The target itself rejected the attempt, so the retry is charged.
        ('shed', 'refused'),
    ],
)
def test_refusal_of_an_owner_costs_no_retry(reason, outcome):
    """Guards against queries that wait for the retry budget of a new entry.

    Ownership moves during a rolling restart. An attempt that the owner rejects
    did not reach a target, and an entry that has just started has sent too few
    attempts to have any retry budget.
    """
    tier = Tier(retry_budget=0)
    refused = set()

    def refuse_once(attempt):
        if attempt.partition in refused:
            return reply_ok(attempt)
        refused.add(attempt.partition)
        return reply_with('not_run', reason)(attempt)

    for shard in range(3):
        for target in name_replicas(shard):
            tier.port.behaviours[target] = refuse_once
    answer = tier.ask(deadline_ms=300)
    assert answer.outcome == outcome


def test_missing_shard_is_named_with_its_reason():
    """Guards against partial answers that are reported as complete."""
    tier = Tier()
    for target in name_replicas(1):
        tier.port.behaviours[target] = reply_with('failed', 'broken')
    answer = tier.ask()
    assert answer.outcome == 'partial'
    assert not answer.matches_full
    missing = [(one.partition, one.reason) for one in answer.shards.missing]
    assert missing == [(1, 'broken')]
    # A failed attempt has run, so it is not retried.
    assert answer.attempts == 3


@pytest.mark.parametrize(
    ('behaviour', 'outcome'),
    [
        (reply_with('not_run', 'queue_full'), 'refused'),
        (reply_with('failed', 'broken'), 'failed'),
        (reply_with('timeout'), 'unknown'),
        (reply_with('lost'), 'unknown'),
        (reply_never, 'unknown'),
    ],
)
def test_refused_only_if_no_target_can_have_run_it(behaviour, outcome):
    """Guards against a refusal of a query that may have run."""
    tier = Tier()
    for shard in range(3):
        for target in name_replicas(shard):
            tier.port.behaviours[target] = behaviour
    answer = tier.ask(class_name='short')
    assert answer.outcome == outcome


def test_no_work_without_a_lease_or_after_the_stop():
    """Guards against new queries on an isolated or stopping instance."""
    tier = Tier()
    tier.lease.left_s = 0
    assert tier.ask().reason == 'no_lease'
    tier.lease.left_s = 4
    tier.entry.stop_accepting()
    assert tier.ask().reason == 'stopping'
    assert tier.entry.wait_idle(1)
    assert not tier.port.sent


def test_group_without_partitions_goes_to_one_target():
    """Guards against a fan-out in a group that is not partitioned."""
    tier = Tier()
    tier.port.behaviours = {
        name: lambda attempt: reply_ok(
            attempt, matches=encode_json([{'id': 'job'}])
        )
        for name in tier.places
    }
    answer = tier.ask(group='print')
    assert answer.outcome == 'complete'
    assert (answer.snapshot, answer.attempts) == (0, 1)


def test_taken_out_and_leaving_targets_get_nothing():
    """Guards against attempts to draining or lost targets."""
    tier = Tier()
    for shard in range(3):
        tier.report(f's{shard}-x', draining=True)
        tier.report(f's{shard}-y', lost=True)
    for number in range(5):
        assert tier.ask(query={'n': number}).outcome == 'complete'
    assert {one.target[-1] for one in tier.port.sent} == {'z'}


def test_use_of_a_group_is_recorded():
    """Guards against missing report subscriptions for groups in use."""
    tier = Tier()
    tier.deps.report_scope = report_scope = RecentGroups()
    catalogue = tier.view.current()
    assert set(report_scope.list_groups(catalogue)) == {'trace', 'print'}
    report_scope._all_until = 0
    assert not report_scope.list_groups(catalogue)
    tier.ask()
    assert set(report_scope.list_groups(catalogue)) == {'trace'}


def test_key_is_refused_outside_once_only_classes():
    """Guards against a key accepted without an at-most-once guarantee."""
    answer = Tier().ask(key=KEY)
    assert answer.outcome == 'refused'
    assert [one.path for one in answer.findings] == ['key']
