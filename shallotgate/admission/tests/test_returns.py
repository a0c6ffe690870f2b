"""Times at which refused callers return."""

import itertools
import random

from shallotgate.admission import LoadReport
from shallotgate.admission._returns import ReturnTimes, ReturnWindow
from shallotgate.admission.tests.shard_model import Entry, make_shard


def test_returning_callers_are_spread_in_the_order_of_refusal():
    """Guards against a second burst at the moment when there is room."""
    times = ReturnTimes(random.Random(2))
    window = ReturnWindow(1.5, 0.1, ready_s=0.3, interval_s=0.01, served_s=0.03)
    returns = [
        number / 1000 + times.choose('s', window, number / 1000)
        for number in range(40)
    ]
    assert min(returns) >= 0.3
    assert sum(a > b for a, b in itertools.pairwise(returns)) < 20
    assert max(returns) - min(returns) > 0.1
    gaps = sorted(returns)
    assert max(b - a for a, b in itertools.pairwise(gaps)) < 0.1


def test_callers_are_never_told_more_than_they_accept():
    """Guards against delays that callers ignore or that come too late."""
    times = ReturnTimes(random.Random(3))
    for left_s in (0.06, 0.3, 1.5):
        window = ReturnWindow(
            left_s, 0.1, ready_s=2, interval_s=0.5, served_s=0.05
        )
        for number in range(50):
            delay_s = times.choose('s', window, number / 100)
            assert 0 < delay_s <= left_s / 3
            assert delay_s <= max(left_s - 0.05, 0.001)


def test_a_retry_that_can_meet_its_objective_is_not_sent_later():
    """Guards against spreading retries past their objective."""
    times = ReturnTimes(random.Random(4))
    window = ReturnWindow(
        1.5, 0.16, ready_s=0.02, interval_s=0.2, served_s=0.05
    )
    delays = [times.choose('s', window, 0) for _ in range(20)]
    assert max(delays) <= 0.16 - 0.05
    assert len(set(delays)) > 1


def test_without_knowledge_the_range_is_that_of_the_targets():
    """Guards against long delays where nothing is known."""
    entry = Entry()
    delays = [
        entry.control.choose_return(entry.ask(1), None, 1) for _ in range(50)
    ]
    assert 0.02 <= min(delays) < max(delays) <= 0.1


def test_known_pause_and_queue_give_the_return():
    """Guards against callers who return before there is room."""
    entry = Entry()
    paused = entry.ask(1, shards=[make_shard(targets=0, ready_s=0.3)])
    assert entry.control.choose_return(paused, None, 1) >= 0.3
    for number in range(9):
        load = LoadReport(4, 80, slots=4, duration_percent=100)
        entry.record(load, 1 + number / 10)
    decisions = [entry.decide(2) for _ in range(50)]
    refused = next(one for one in decisions if not one.is_admitted)
    # 18 rounds of 16 ms until refusals end.
    assert 0.2 < entry.control.choose_return(entry.ask(2), refused, 2) < 0.45
