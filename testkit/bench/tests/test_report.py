from dataclasses import replace

from testkit.bench import Scenario, load_scenario, summarize
from testkit.bench._sample import Sample
from testkit.bench._scenario import list_scenarios


def make_sample(due_s: float, outcome: str = 'complete') -> Sample:
    return Sample(due_s, 10, outcome, '', asked=10, answered=10, attempts=11)


def test_phases_split_the_samples():
    """Guards against samples counted in two phases or in none."""
    scenario = Scenario('x', 'y', 20, 0.5, phases={'first': 0, 'second': 10})
    samples = [make_sample(float(second)) for second in range(20)]
    first, second = summarize(scenario, samples)
    assert (first.queries, second.queries) == (10, 10)
    assert first.attempts_per_shard == 1.1


def test_cut_queries_are_not_useful():
    """Guards against cut queries that improve the figures."""
    scenario = Scenario('x', 'y', 1, 0.5)
    samples = [make_sample(0), make_sample(0.5, 'cut')]
    (row,) = summarize(scenario, samples)
    assert row.useful_per_s == 1
    assert row.outcomes == {'complete': 1, 'cut': 1}


def test_all_scenario_files_load():
    """Guards against scenario files that fail only when they are run."""
    for name in list_scenarios():
        assert load_scenario(name).name == name


def test_useful_answers_count_where_they_ended():
    """Guards against throughput that is counted outside of the window.

    At overload answers of queries that were due in the window pile up after
    its end, as those of the warm-up do after its start.
    """
    scenario = Scenario('x', 'y', 1, 0.5)
    samples = [
        replace(make_sample(-0.5), elapsed_ms=800),
        make_sample(0.2),
        replace(make_sample(0.9), elapsed_ms=300),
    ]
    (row,) = summarize(scenario, samples)
    assert row.useful_per_s == 2
    assert row.queries == 2


def test_lag_of_the_generator_is_reported():
    """Guards against a slow generator that looks like a slow tier."""
    scenario = Scenario('x', 'y', 1, 0.5)
    lags = (0, 1, 2, 40)
    samples = [replace(make_sample(0.5), lag_ms=lag) for lag in lags]
    samples.append(replace(make_sample(-1), lag_ms=900))
    (row,) = summarize(scenario, samples)
    assert (row.generator_lag_p99_ms, row.generator_late) == (40, 1)
