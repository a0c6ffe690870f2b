import itertools
import statistics

from testkit.bench import Scenario
from testkit.bench._schedule import plan_arrivals, split_arrivals

SCENARIO = Scenario('x', 'y', 20, 2, repeated=0.5, warm_up_s=10)
RATE_PER_S = 300


def test_shares_hold_each_arrival_once():
    """Guards against queries that two senders send or none."""
    arrivals = plan_arrivals(SCENARIO, RATE_PER_S, seed=1)
    shares = split_arrivals(arrivals, 4)
    joined = [arrival for share in shares for arrival in share]
    assert sorted(joined, key=lambda arrival: arrival.number) == arrivals
    sizes = [len(share) for share in shares]
    assert max(sizes) - min(sizes) <= 1


def test_schedule_is_poisson_at_the_rate():
    """Guards against a schedule that offers another load than it states."""
    arrivals = plan_arrivals(SCENARIO, RATE_PER_S, seed=1)
    due_s = [arrival.due_s for arrival in arrivals]
    assert due_s == sorted(due_s)
    assert due_s[0] >= -10
    assert due_s[-1] < 20
    gaps = [later - due for due, later in itertools.pairwise(due_s)]
    assert abs(statistics.mean(gaps) * RATE_PER_S - 1) < 0.05
    # Gaps of a Poisson process deviate as much as their mean.
    assert abs(statistics.stdev(gaps) * RATE_PER_S - 1) < 0.05


def test_seed_fixes_the_schedule():
    """Guards against runs of one seed that can't be compared."""
    plans = [plan_arrivals(SCENARIO, RATE_PER_S, seed) for seed in (1, 1, 2)]
    assert plans[0] == plans[1]
    assert plans[0] != plans[2]


def test_repeated_content_was_sent_before():
    """Guards against a share of repeated queries that is not as stated."""
    arrivals = plan_arrivals(SCENARIO, RATE_PER_S, seed=1)
    distinct = len({arrival.content for arrival in arrivals})
    assert abs(distinct / len(arrivals) - 0.5) < 0.05
