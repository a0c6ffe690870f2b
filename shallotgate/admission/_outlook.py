"""Expected durations and pressure of shards and of fan-outs."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from shallotgate.admission._load import UNKNOWN, LoadEstimate
from shallotgate.admission._room import WorkNeed, measure_pressure


@dataclass(frozen=True)
class ShardOutlook:
    """Expected service of the next request by one shard."""

    service: str
    # Expected duration at the best target; infinite without a target.
    expected_ms: float
    # Pressure, occupancy and slowness of the best target in each respect.
    pressure: float = 0
    occupancy: float = 0
    slowness: float = 1
    # Age of the newest report; infinite without one.
    age_s: float = math.inf
    # Whether all targets fail, or there is none.
    is_failing: bool = False

    @property
    def order(self) -> tuple[bool, float]:
        """Order in which shards are expected to answer."""
        return self.is_failing, self.expected_ms


@dataclass(frozen=True)
class ServiceWork:
    """Usual durations of the work of a service."""

    # Needs of all kinds of requests.
    needs: Sequence[WorkNeed] = ()
    # Usual duration over all kinds; 0 if it is unknown.
    mean_ms: float = 0


def estimate_shard(
    service: str,
    loads: Sequence[LoadEstimate],
    work: ServiceWork,
    usual_ms: float,
    *,
    is_failing: bool = False,
) -> ShardOutlook:
    """Return the outlook of a shard with one load for each usable target.

    ``usual_ms`` is the duration of the request without a queue.
    """
    pressures = [
        measure_pressure(load, work.needs, work.mean_ms) for load in loads
    ]
    return ShardOutlook(
        service,
        min(
            (_estimate_ms(load, work.mean_ms, usual_ms) for load in loads),
            default=math.inf,
        ),
        pressure=_expect_least(loads, pressures, UNKNOWN.occupancy),
        occupancy=_expect_least(
            loads, [load.occupancy for load in loads], UNKNOWN.occupancy
        ),
        slowness=_expect_least(
            loads, [load.slowness for load in loads], UNKNOWN.slowness
        ),
        age_s=min((load.age_s for load in loads), default=math.inf),
        is_failing=is_failing,
    )


def find_deciding(
    shards: Collection[ShardOutlook], needed: int
) -> ShardOutlook:
    """Return the shard whose reply completes an answer of ``needed`` shards."""
    ordered = sorted(shards, key=lambda shard: shard.order)
    return ordered[min(needed, len(ordered)) - 1]


def find_pressed(shards: Collection[ShardOutlook], needed: int) -> ShardOutlook:
    """Return the most pressed of the ``needed`` shards that reply first.

    An answer lacks the others, like one whose only replica hangs.
    """
    ordered = sorted(shards, key=lambda shard: shard.order)
    return max(ordered[:needed], key=lambda shard: shard.pressure)


def _estimate_ms(load: LoadEstimate, mean_ms: float, usual_ms: float) -> float:
    """Return the expected duration of a request at a target."""
    # Replies count their target's requests when one of them has ended.
    rounds = max(load.occupancy - 1, 0)
    known_ms = (usual_ms + rounds * mean_ms) * load.slowness
    expected_ms = usual_ms + (known_ms - usual_ms) * load.certainty
    return max(expected_ms, load.silence_ms)


def _expect_least(
    loads: Sequence[LoadEstimate], figures: Sequence[float], good: float
) -> float:
    """Return the least expected figure of all targets.

    Of a target of which nothing is known, the mean of all is assumed, in which
    the unknown ones count as good: entries choose the best replica, so the ones
    that they hear of are not the worst.
    """
    if not loads:
        return good
    assumed = sum(
        load.certainty * (figure - good)
        for load, figure in zip(loads, figures, strict=True)
    ) / len(loads)
    return good + min(
        load.certainty * (figure - good) + (1 - load.certainty) * assumed
        for load, figure in zip(loads, figures, strict=True)
    )
