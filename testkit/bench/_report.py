"""Figures of a run: JSON, a table and a plot."""

import json
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from testkit.bench._sample import Sample
from testkit.bench._scenario import Scenario

_USEFUL = frozenset(('complete', 'partial'))
# A query sent later than this after it was due counts as late: a sixth of
# the time of one attempt on a target of the scenarios.
LATE_MS = 10


@dataclass(frozen=True)
class PhaseFigures:
    """Figures of one phase of a scenario."""

    phase: str
    queries: int
    # Complete or partial answers that ended within the phase, per second,
    # whenever their queries were due.
    useful_per_s: float
    # Milliseconds from when a query was due, over useful answers.
    p50_ms: float
    p99_ms: float
    p999_ms: float
    # Shards answered for each shard asked, over useful answers.
    coverage: float
    # Share of useful answers that are complete.
    complete: float
    # Attempts for each shard asked, over useful answers.
    attempts_per_shard: float
    # Milliseconds that the generator took to turn to a query that was due,
    # and number of queries that it sent more than ``LATE_MS`` late. Where
    # these are large, the generator was measured and not the tier.
    generator_lag_p99_ms: float
    generator_late: int
    # Number of queries by outcome and reason.
    outcomes: Mapping[str, int]


def read_quantile(ordered: Sequence[float], quantile: float) -> float:
    """Return a quantile of ordered values, 0 for none.

    >>> read_quantile([1, 2, 3, 4], 0.5)
    3
    """
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)]


def summarize(
    scenario: Scenario,
    samples: Sequence[Sample],
) -> list[PhaseFigures]:
    """Return the figures of each phase."""
    starts = sorted(scenario.phases.items(), key=lambda pair: pair[1])
    ends = [start for _, start in starts[1:]] + [scenario.duration_s]
    return [
        _summarize_phase(
            phase,
            [sample for sample in samples if start <= sample.due_s < end],
            _count_useful(samples, start, end) / (end - start),
        )
        for (phase, start), end in zip(starts, ends, strict=True)
    ]


def _count_useful(
    samples: Sequence[Sample],
    start_s: float,
    end_s: float,
) -> int:
    return sum(
        start_s <= sample.ended_s < end_s
        for sample in samples
        if sample.outcome in _USEFUL
    )


def _summarize_phase(
    phase: str,
    samples: Sequence[Sample],
    useful_per_s: float,
) -> PhaseFigures:
    useful = [sample for sample in samples if sample.outcome in _USEFUL]
    times = sorted(sample.elapsed_ms for sample in useful)
    lags = sorted(sample.lag_ms for sample in samples)
    asked = sum(sample.asked for sample in useful) or 1
    complete = sum(sample.outcome == 'complete' for sample in useful)
    outcomes = Counter(
        f'{sample.outcome} {sample.reason}'.strip() for sample in samples
    )
    return PhaseFigures(
        phase=phase,
        queries=len(samples),
        useful_per_s=round(useful_per_s, 1),
        p50_ms=round(read_quantile(times, 0.5), 1),
        p99_ms=round(read_quantile(times, 0.99), 1),
        p999_ms=round(read_quantile(times, 0.999), 1),
        coverage=round(sum(sample.answered for sample in useful) / asked, 5),
        complete=round(complete / (len(useful) or 1), 5),
        attempts_per_shard=round(
            sum(sample.attempts for sample in useful) / asked,
            4,
        ),
        generator_lag_p99_ms=round(read_quantile(lags, 0.99), 1),
        generator_late=sum(lag_ms > LATE_MS for lag_ms in lags),
        outcomes=dict(outcomes),
    )


def format_table(figures: Sequence[PhaseFigures]) -> str:
    """Return a table with one line for each phase."""
    header = (
        f'{"phase":<12}{"queries":>8}{"useful/s":>10}{"p50":>8}{"p99":>8}'
        f'{"p99.9":>8}{"coverage":>10}{"extra":>8}'
        f'{"lag p99":>9}{"late":>6}  outcomes'
    )
    lines = [header]
    for row in figures:
        extra = (row.attempts_per_shard - 1) * 100
        lines.append(
            f'{row.phase:<12}{row.queries:>8}{row.useful_per_s:>10}'
            f'{row.p50_ms:>8}{row.p99_ms:>8}{row.p999_ms:>8}'
            f'{row.coverage:>10.4f}{extra:>7.1f}%'
            f'{row.generator_lag_p99_ms:>9}{row.generator_late:>6}'
            f'  {row.outcomes}',
        )
    return '\n'.join(lines)


def write_results(
    folder: Path,
    label: str,
    content: Mapping[str, object],
    samples: Sequence[Sample],
) -> None:
    """Write LABEL.json and LABEL.png."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f'{label}.json').write_text(
        json.dumps(dict(content), indent=1, default=asdict),
    )
    _plot(folder / f'{label}.png', label, samples)


def _plot(path: Path, label: str, samples: Sequence[Sample]) -> None:
    # Imported late: it takes a second and only the plot needs it.
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    for outcome in sorted({sample.outcome for sample in samples}):
        chosen = [sample for sample in samples if sample.outcome == outcome]
        axes.plot(
            [sample.due_s for sample in chosen],
            [sample.elapsed_ms for sample in chosen],
            '.',
            markersize=2,
            label=outcome,
        )
    axes.set(title=label, xlabel='due (s)', ylabel='time to answer (ms)')
    axes.legend()
    figure.savefig(path)
