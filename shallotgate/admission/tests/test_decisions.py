"""Decisions on single requests by what an entry knows of its shards."""

import pytest

from shallotgate.admission import (
    LoadReport,
    Rank,
    RequestKind,
    compute_refused_part,
)
from shallotgate.admission.tests.shard_model import (
    USUAL,
    Entry,
    make_shard,
    play_shard,
    read_refused_part,
)

# 20 waiting requests per slot: 320 ms at the usual 16 ms each.
FULL = LoadReport(4, 80, slots=4, duration_percent=100)


def count_refused(entry, now, **more):
    return sum(not entry.decide(now, **more).is_admitted for _ in range(400))


def test_services_that_report_no_speed_are_served_as_before():
    """Guards against a decision without any report of a speed."""
    entry = Entry(kinds=(RequestKind('usual', 1, ('s',), 1, 171),))
    entry.control.apply_kinds((RequestKind('usual', 1, ('other',), 1, 171),))
    request = entry.ask(0, shards=[make_shard('other')])
    assert entry.control.decide(request, 0) is None
    assert entry.control.allows_extra(make_shard('other'), 0)


def test_full_replicas_are_refused_and_unknown_ones_are_good():
    """Guards against refusing because of one full replica, or of old news."""
    entry = Entry()
    assert count_refused(entry, 0) == 0
    for number in range(5):
        entry.record(FULL, 1 + number / 10)
    assert count_refused(entry, 1.5) > 250
    entry.record(USUAL, 1.5, target='t1')
    assert count_refused(entry, 1.5, shards=[make_shard(targets=2)]) < 40
    assert count_refused(entry, 20) == 0


def test_shard_at_the_needed_position_decides():
    """Guards against refusals for a shard that an answer may lack."""
    shards = tuple(f's{number}' for number in range(36))
    entry = Entry(kinds=(RequestKind('usual', 1, shards, 35, 171),))
    for number in range(5):
        entry.record(FULL, 1 + number / 10, service='s3')
    assert count_refused(entry, 1.5) == 0
    for number in range(5):
        entry.record(FULL, 1 + number / 10, service='s7')
    assert count_refused(entry, 1.5) > 150


def test_hopeless_requests_are_refused_until_the_knowledge_is_old():
    """Guards against waiting for a shard whose only replica hangs."""
    entry = Entry()
    hanging = {'shards': [make_shard(stall_ms=900)]}
    assert entry.decide(1, **hanging).reason == 'deadline'
    entry.book.record_silence('s', 't0', 1500, 2)
    assert entry.decide(2.2).reason == 'deadline'
    # Then one attempt shows whether the target answers again.
    assert entry.decide(6).is_admitted
    gone = [make_shard(targets=0)]
    assert entry.decide(6, shards=gone).reason == 'no_target'


def test_late_but_harmless_requests_are_served():
    """Guards against refusing work that is slow while nothing waits."""
    entry = Entry()
    very_slow = LoadReport(3, 0, slots=4, duration_percent=1400)
    for number in range(5):
        entry.record(very_slow, 1 + number / 10)
    assert count_refused(entry, 1.5) == 0


def test_no_second_attempt_where_all_replicas_are_full():
    """Guards against hedges that double the load of a shard in trouble."""
    entry = Entry()
    shard = make_shard(targets=2)
    assert entry.control.allows_extra(shard, 0)
    entry.record(FULL, 3)
    entry.record(FULL, 3, target='t1')
    assert not entry.control.allows_extra(shard, 3)
    entry.record(USUAL, 5, target='t1')
    assert entry.control.allows_extra(shard, 5)


@pytest.mark.parametrize('difference', [-0.4, 0, 0.4])
def test_two_priorities_are_refused_in_order_but_never_all(difference):
    """Guards against a reversed order and against starvation."""
    for step in range(126):
        pressure = step / 100
        served = [
            1 - compute_refused_part(pressure, Rank(position, 2), difference)
            for position in range(2)
        ]
        assert served[0] >= served[1] > 0
        assert served[1] >= served[0] / 4


def test_account_that_sends_six_times_its_usual_bears_the_refusals():
    """Guards against refusing those who stay below their limits."""

    class Usage:
        def get_used_share(self, account, now):
            return 1.0 if account == 'large' else 0.6

    entry = Entry()
    entry.control.usage = Usage()
    refused = {'large': 0, 'small': 0}
    # Half way to the largest pressure of the less urgent priority.
    load = LoadReport(4, 20, slots=4, duration_percent=100)
    for number in range(800):
        entry.record(load, 1 + number / 1000)
        account = 'large' if number % 2 else 'small'
        decision = entry.decide(1 + number / 1000, account=account)
        refused[account] += not decision.is_admitted
    assert 0 < refused['large'] < 320
    assert refused['small'] < refused['large'] / 3


def test_hundred_entries_refuse_the_same_part_of_a_burst_alone():
    """Guards against oscillation, and against queues beyond the objective.

    2.4 times the room of a shard whose replicas are 8.5 times slower.
    """
    requests = play_shard(
        entries=100,
        per_s={'usual': 110, 'urgent': 27},
        seconds=40,
        slowness=8.5,
    )
    parts = [
        read_refused_part(
            [one for one in requests if start <= one.sent_at < start + 2]
        )
        for start in range(10, 40, 2)
    ]
    assert max(parts) - min(parts) < 0.3
    settled = [one for one in requests if one.sent_at > 10]
    by_kind = {
        kind: read_refused_part([one for one in settled if one.kind == kind])
        for kind in ('usual', 'urgent')
    }
    assert by_kind['urgent'] < by_kind['usual'] < 0.85
    durations = sorted(one.duration_ms for one in settled if one.duration_ms)
    # The work alone takes 136 ms; without refusals the queue has no end.
    assert durations[len(durations) // 2] < 250
    assert durations[-1] < 750
