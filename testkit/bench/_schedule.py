"""When queries are due, and which sender process sends each."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from testkit.bench._scenario import Scenario


@dataclass(frozen=True)
class Arrival:
    """One query that is due."""

    # Position in the whole schedule; entries are taken in turn by it.
    number: int
    # Seconds after the start of the measured load.
    due_s: float
    content: int


def plan_arrivals(
    scenario: Scenario,
    rate_per_s: float,
    seed: int,
) -> list[Arrival]:
    """Return a Poisson schedule of the scenario, warm-up included."""
    generator = random.Random(seed)
    arrivals: list[Arrival] = []
    fresh = 0
    due_s = generator.expovariate(rate_per_s) - scenario.warm_up_s
    while due_s < scenario.duration_s:
        repeat = fresh and generator.random() < scenario.repeated
        if not repeat:
            fresh += 1
        content = generator.randrange(fresh) if repeat else fresh
        arrivals.append(Arrival(len(arrivals), due_s, content))
        due_s += generator.expovariate(rate_per_s)
    return arrivals


def split_arrivals(
    arrivals: Sequence[Arrival],
    shares: int,
) -> list[Sequence[Arrival]]:
    """Return the share of each sender; each arrival is in exactly one.

    >>> split_arrivals([Arrival(number, 0, 1) for number in range(3)], 2)[1]
    [Arrival(number=1, due_s=0, content=1)]
    """
    return [arrivals[first::shares] for first in range(shares)]
