import time

import pytest

from shallotgate.codec import encode_json
from shallotgate.query.tests.tier import (
    KEY,
    Delayed,
    Tier,
    reply_late,
    reply_never,
    reply_ok,
    reply_with,
)
from shallotgate.routing import UsedGroups
from shallotgate.routing.tests.builders import make_version


def name_replicas(shard):
    return [f's{shard}-{domain}' for domain in 'xyz']


def test_answer_holds_all_shards_of_one_version():
    """Guards against lost or doubled matches in the plain case."""
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
    """Guards against another request's matches in an answer."""
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


@pytest.mark.parametrize('change', [{'index_version': 2}, {'partition': 1}])
def test_reply_of_other_version_or_partition_is_not_merged(change):
    """Guards against mixed versions where a target answers from a new one."""
    tier = Tier()
    tier.port.behaviours['s0-x'] = lambda attempt: reply_ok(
        attempt, matches=b'[{"id":"mixed"}]', **change
    )
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert 'mixed' not in {match['id'] for match in answer.matches}
    assert answer.attempts == 4


def test_query_restarts_when_its_version_is_retired():
    """Guards against answers of two versions around a repartition."""
    tier = Tier()

    def retire(attempt):
        # The whole group turns to version 2 with four partitions.
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
    """Guards against a query that restarts again and again."""
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
    """Guards against extra load where another replica has the version."""
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
    """Guards against binding to a version that is still being rolled out."""
    tier = Tier()
    tier.report(
        's0-x', versions=[make_version(2, 3, [0]), make_version(1, 3, [0])]
    )
    assert tier.ask().snapshot == 1


@pytest.mark.parametrize(
    ('change', 'outcome'),
    [({'truncated': True}, 'complete'), ({'covered': False}, 'partial')],
)
def test_cut_or_uncovered_lists_are_not_called_full(change, outcome):
    """Guards against a list that claims to be whole and is not."""
    tier = Tier()
    for target in name_replicas(0):
        tier.port.behaviours[target] = lambda attempt: reply_ok(
            attempt, **change
        )
    answer = tier.ask()
    assert answer.outcome == outcome
    assert not answer.matches_full


def test_limit_cuts_the_list_and_says_so():
    """Guards against a cut list that claims to be whole."""
    answer = Tier().ask(limit=2)
    assert len(answer.matches) == 2
    assert not answer.matches_full
    assert answer.outcome == 'complete'


def test_missing_shard_is_named_with_its_reason():
    """Guards against partial answers that look complete."""
    tier = Tier()
    for target in name_replicas(1):
        tier.port.behaviours[target] = reply_with('failed', 'broken')
    answer = tier.ask()
    assert answer.outcome == 'partial'
    assert not answer.matches_full
    missing = [(one.partition, one.reason) for one in answer.shards.missing]
    assert missing == [(1, 'broken')]
    # A failed attempt was run, so it is not repeated.
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
    """Guards against a refusal of something that may have run."""
    tier = Tier()
    for shard in range(3):
        for target in name_replicas(shard):
            tier.port.behaviours[target] = behaviour
    answer = tier.ask(class_name='short')
    assert answer.outcome == outcome


@pytest.mark.parametrize('status', ['not_run', 'lost', 'cancelled'])
def test_repeatable_attempt_moves_to_another_replica(status):
    """Guards against lost coverage where another replica is well."""
    tier = Tier()
    for shard in range(3):
        tier.port.behaviours[f's{shard}-x'] = reply_with(status)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert tier.count('retries_total', class_name='plain') == 3


def test_retries_keep_to_their_budget():
    """Guards against retry storms when a whole domain refuses."""
    tier = Tier(retry_budget=0)
    for target in name_replicas(0):
        tier.port.behaviours[target] = reply_with('not_run', 'queue_full')
    answer = tier.ask(class_name='short')
    assert answer.attempts == 3
    assert answer.shards.missing[0].reason == 'queue_full'


def warm_latency(tier, latency_ms=5):
    for service in ('s0', 's1', 's2'):
        for _ in range(50):
            tier.parts.latency.record(service, latency_ms)


def test_slow_attempt_is_hedged_and_the_loser_cancelled():
    """Guards against a straggler that holds up the whole answer."""
    tier = Tier()
    # Far above the time of a good reply, also on a busy machine.
    warm_latency(tier, 100)
    tier.parts.hedges.note_attempts(100)
    tier.port.behaviours['s0-x'] = reply_late(1.5)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert answer.elapsed_ms < 1000
    assert tier.count('hedges_total', class_name='plain') == 1
    loser = [one for one in tier.port.sent if one.target == 's0-x']
    assert tier.port.cancelled == [loser[0].attempt_id]


def test_hedges_keep_to_their_budget():
    """Guards against hedges that double the load when all is slow."""
    tier = Tier()
    warm_latency(tier)
    for name in tier.places:
        tier.port.behaviours[name] = reply_late(0.05)
    for number in range(20):
        tier.ask(query={'number': number})
    # 60 attempts permit three hedges at 5%.
    assert 1 <= tier.count('hedges_total', class_name='plain') <= 3


@pytest.mark.parametrize('class_name', ['plain', 'coverage'])
def test_attempt_to_a_silent_owner_is_sent_elsewhere(class_name):
    """Guards against partial answers while a lost owner is found out."""
    tier = Tier(hedging=False)
    tier.port.silent = True
    for shard in range(3):
        tier.port.behaviours[f's{shard}-x'] = reply_never
    if class_name == 'plain':
        # The second owner of one shard may be lost too. Unproven content
        # stops there, since both targets may have run it.
        tier.port.behaviours['s1-y'] = reply_never
    answer = tier.ask(class_name=class_name)
    assert answer.outcome == 'complete'
    assert answer.elapsed_ms < 1900
    # An owner that gives signs of life may take its time.
    tier.port.silent = False
    slow = tier.ask(deadline_ms=600, query={'n': 1})
    assert slow.attempts == 3


def test_waiting_reply_needs_no_hedge():
    """Guards against hedges that a busy entry sends for its own slowness."""
    tier = Tier()
    warm_latency(tier, 1)
    tier.parts.hedges.note_attempts(1000)
    # The thread is held up after each attempt, while replies are there.
    tier.port.after = lambda attempt: time.sleep(0.01)
    assert tier.ask().outcome == 'complete'
    assert not tier.count('hedges_total', class_name='plain')


def test_cold_targets_get_no_hedges():
    """Guards against hedges that overload a target that has just started."""
    tier = Tier()
    warm_latency(tier)
    tier.parts.hedges.note_attempts(1000)
    tier.port.behaviours['s0-x'] = reply_late(0.1)
    for target in ('s0-y', 's0-z'):
        tier.report(target, cold=True)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert answer.attempts == 3


def test_latency_class_answers_at_its_soft_limit():
    """Guards against a latency class that waits for a straggler."""
    tier = Tier(hedging=False, screening=False)
    for target in name_replicas(2):
        tier.port.behaviours[target] = reply_late(1.5)
    answer = tier.ask(class_name='latency')
    assert answer.outcome == 'partial'
    assert answer.shards.missing[0].reason == 'soft_limit'
    assert answer.elapsed_ms < 1000
    # The class of mode coverage waits for the same straggler.
    assert tier.ask().outcome == 'complete'


def test_coverage_class_waits_for_a_replica_that_returns():
    """Guards against partial answers while ownership moves."""
    tier = Tier()
    for target in name_replicas(1):
        tier.report(target, draining=True)
    returned = []

    def return_soon(attempt):
        if not returned:
            returned.append(time.monotonic())
            tier.report('s1-y', draining=False)
        return reply_ok(attempt)

    tier.port.behaviours['s2-x'] = return_soon
    answer = tier.ask()
    assert answer.outcome == 'complete'


def test_answer_comes_by_the_cutoff():
    """Guards against items that stay open past their absolute cut-off."""
    tier = Tier()
    for target in name_replicas(1):
        tier.port.behaviours[target] = reply_never
    soon = time.time() + 0.15
    stamp = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(soon))
    cutoff = f'{stamp}.{int(soon % 1 * 1e6):06}Z'
    answer = tier.ask(cutoff=cutoff)
    assert time.time() <= soon + 0.05
    assert answer.outcome == 'partial'
    assert answer.shards.missing[0].reason == 'deadline'
    late = tier.ask(cutoff='2020-01-01T00:00:00Z')
    assert (late.outcome, late.reason) == ('refused', 'cutoff_passed')


def test_no_work_without_a_lease_or_after_the_stop():
    """Guards against new work on a cut-off or stopping instance."""
    tier = Tier()
    tier.lease.left_s = 0
    assert tier.ask().reason == 'no_lease'
    tier.lease.left_s = 4
    tier.entry.stop_accepting()
    assert tier.ask().reason == 'stopping'
    assert tier.entry.wait_idle(1)
    assert not tier.port.sent


def test_group_without_partitions_goes_to_one_target():
    """Guards against a fan-out over targets that hold no partitions."""
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
    """Guards against new work for a domain or target that is leaving."""
    tier = Tier()
    for shard in range(3):
        tier.report(f's{shard}-x', draining=True)
        tier.report(f's{shard}-y', lost=True)
    for number in range(5):
        assert tier.ask(query={'n': number}).outcome == 'complete'
    assert {one.target[-1] for one in tier.port.sent} == {'z'}


def test_use_of_a_group_is_told():
    """Guards against a subset of reports that lacks the groups in use."""
    tier = Tier()
    tier.parts.interest = interest = UsedGroups()
    catalogue = tier.view.current()
    assert set(interest.list_groups(catalogue)) == {'trace', 'print'}
    interest._all_until = 0
    assert not interest.list_groups(catalogue)
    tier.ask()
    assert set(interest.list_groups(catalogue)) == {'trace'}


def test_key_is_refused_outside_once_only_classes():
    """Guards against a promise of at-most-once that is not kept."""
    answer = Tier().ask(key=KEY)
    assert answer.outcome == 'refused'
    assert [one.path for one in answer.findings] == ['key']


def test_reply_after_the_answer_changes_nothing():
    """Guards against a straggler's reply in the next answer."""
    tier = Tier(hedging=False, screening=False)
    tier.port.behaviours['s2-x'] = lambda attempt: Delayed(
        0.1, reply_ok(attempt, matches=b'[{"id":"late"}]')
    )
    first = tier.ask(class_name='latency')
    assert first.outcome == 'partial'
    second = tier.ask()
    assert second.request_id != first.request_id
    assert second.shards.answered == 3
