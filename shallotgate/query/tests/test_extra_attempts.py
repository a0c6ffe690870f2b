import time

import pytest

from shallotgate.query.tests.tier import (
    Tier,
    name_replicas,
    reply_late,
    reply_never,
    reply_with,
)


@pytest.mark.parametrize('status', ['not_run', 'lost', 'cancelled'])
def test_repeatable_attempt_moves_to_another_replica(status):
    """Guards against missing shards while another replica is healthy."""
    tier = Tier()
    for shard in range(3):
        tier.port.behaviours[f's{shard}-x'] = reply_with(status)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert tier.count('retries_total', class_name='plain') == 3


def test_retries_keep_to_their_budget():
    """Guards against retry storms when all replicas reject attempts."""
    tier = Tier(retry_budget=0)
    for target in name_replicas(0):
        tier.port.behaviours[target] = reply_with('not_run', 'queue_full')
    answer = tier.ask(class_name='short')
    assert answer.attempts == 3
    assert answer.shards.missing[0].reason == 'queue_full'


def warm_latency(tier, latency_ms=5):
    for service in ('s0', 's1', 's2'):
        for _ in range(50):
            tier.deps.latency.record(service, latency_ms)


def test_slow_attempt_is_hedged_and_the_loser_cancelled():
    """Guards against a slow shard that delays the whole answer."""
    tier = Tier()
    # Well above the latency of a normal reply, even on a loaded machine.
    warm_latency(tier, 100)
    tier.deps.hedge_budget.record_attempts(100)
    tier.port.behaviours['s0-x'] = reply_late(1.5)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert answer.elapsed_ms < 1000
    assert tier.count('hedges_total', class_name='plain') == 1
    loser = [one for one in tier.port.sent if one.target == 's0-x']
    assert tier.port.cancelled == [loser[0].attempt_id]


def test_hedges_keep_to_their_budget():
    """Guards against hedges that double the load if all targets are slow."""
    tier = Tier()
    warm_latency(tier)
    for name in tier.places:
        tier.port.behaviours[name] = reply_late(0.05)
    for number in range(20):
        tier.ask(query={'number': number})
    # 60 attempts allow three hedges at a ratio of 5%.
    assert 1 <= tier.count('hedges_total', class_name='plain') <= 3


@pytest.mark.parametrize('class_name', ['plain', 'coverage'])
def test_attempt_to_a_silent_owner_is_sent_elsewhere(class_name):
    """Guards against partial answers before a lost owner is detected."""
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
    # Attempts to an owner that replies to others are not stalled.
    tier.port.silent = False
    slow = tier.ask(deadline_ms=600, query={'n': 1})
    assert slow.attempts == 3


def test_waiting_reply_needs_no_hedge():
    """Guards against hedges caused by delays on the entry itself.

    The thread of the query is delayed after each attempt, while the replies
    are already queued.
    """
    tier = Tier()
    warm_latency(tier, 1)
    tier.deps.hedge_budget.record_attempts(1000)
    tier.port.after = lambda attempt: time.sleep(0.01)
    assert tier.ask().outcome == 'complete'
    assert not tier.count('hedges_total', class_name='plain')


def test_cold_targets_get_no_hedges():
    """Guards against hedges that overload a target that is warming up."""
    tier = Tier()
    warm_latency(tier)
    tier.deps.hedge_budget.record_attempts(1000)
    tier.port.behaviours['s0-x'] = reply_late(0.1)
    for target in ('s0-y', 's0-z'):
        tier.report(target, cold=True)
    answer = tier.ask()
    assert answer.outcome == 'complete'
    assert answer.attempts == 3
