import time

from shallotgate.query.tests.tier import (
    Delayed,
    Tier,
    name_replicas,
    reply_late,
    reply_never,
    reply_ok,
)


def test_latency_class_answers_at_its_soft_limit():
    """Guards against a latency-mode query that waits for a slow shard."""
    tier = Tier(hedging=False, screening=False)
    for target in name_replicas(2):
        tier.port.behaviours[target] = reply_late(1.5)
    answer = tier.ask(class_name='latency')
    assert answer.outcome == 'partial'
    assert answer.shards.missing[0].reason == 'soft_limit'
    assert answer.elapsed_ms < 1000
    # A query in coverage mode waits for the same shard.
    assert tier.ask().outcome == 'complete'


def test_coverage_class_waits_for_a_replica_that_returns():
    """Guards against partial answers while the ownership of targets moves."""
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
    """Guards against answers after the absolute cut-off of a request."""
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


def test_reply_after_the_answer_changes_nothing():
    """Guards against a late reply that is merged into the next answer."""
    tier = Tier(hedging=False, screening=False)
    tier.port.behaviours['s2-x'] = lambda attempt: Delayed(
        0.1, reply_ok(attempt, matches=b'[{"id":"late"}]')
    )
    first = tier.ask(class_name='latency')
    assert first.outcome == 'partial'
    second = tier.ask()
    assert second.request_id != first.request_id
    assert second.shards.answered == 3
