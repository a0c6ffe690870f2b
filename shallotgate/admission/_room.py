"""Pressure on a target: its work compared with its room."""

from collections.abc import Iterable
from dataclasses import dataclass

from shallotgate.admission._load import LoadEstimate

# Occupancy at which refusals begin if a request may not wait at all. Arrivals
# are irregular: at 0.93 of the room of 8 slots more than half of the requests
# wait for a tenth of a work duration or longer, at 0.7 a fifth.
_BUSY_OCCUPANCY = 0.65
# Part of the tolerable queue at which refusals begin.
_BEGIN_SHARE = 0.5
# Least width of the range of occupancies over which the pressure grows from 0
# to 1. Narrower ones make the refused part vary between nothing and all.
_MIN_RANGE = 0.35
# Queue that is tolerated, in durations of work, if no kind of request can be
# served within its objective: late requests do no harm to each other until
# their queue grows.
_LATE_ROUNDS = 2.0
# Part of the objective that is left for queue and work on a target.
_TARGET_SHARE = 0.85
# Upper bound of the pressure.
MAX_PRESSURE = 1.25


@dataclass(frozen=True)
class WorkNeed:
    """What a kind of request needs of a service, in milliseconds."""

    usual_ms: float
    objective_ms: float

    def count_rounds(self, slowness: float, mean_ms: float) -> float:
        """Return how many durations of mean work a request may wait.

        Negative if even the work alone takes longer than the objective.
        """
        room_ms = self.objective_ms * _TARGET_SHARE - self.usual_ms * slowness
        return room_ms / max(mean_ms * slowness, 1)


def measure_pressure(
    load: LoadEstimate, needs: Iterable[WorkNeed], mean_ms: float
) -> float:
    """Return 0 if all work fits, 1 if the queue exceeds what drains in time.

    ``needs`` are those of all kinds of requests of the service: the one that
    may wait least decides, unless it can't be served in time at all.
    ``mean_ms`` is the usual duration of the work of all kinds.
    """
    if not mean_ms:
        return 0
    begin, end = _find_range(needs, load.slowness, mean_ms)
    pressure = (load.occupancy - begin) / (end - begin)
    return min(max(pressure, 0), MAX_PRESSURE)


def find_begin(
    needs: Iterable[WorkNeed], slowness: float, mean_ms: float
) -> float:
    """Return the occupancy at which refusals begin."""
    return _find_range(needs, slowness, mean_ms)[0]


def _find_range(
    needs: Iterable[WorkNeed], slowness: float, mean_ms: float
) -> tuple[float, float]:
    """Return the occupancies at which the pressure is 0 and 1."""
    rounds = min(
        (
            room
            for need in needs
            if (room := need.count_rounds(slowness, mean_ms)) >= 0
        ),
        default=_LATE_ROUNDS,
    )
    busy = _BUSY_OCCUPANCY + (1 - _BUSY_OCCUPANCY) * min(rounds, 1)
    begin = busy + max(rounds - 1, 0) * _BEGIN_SHARE
    return begin, max(1 + rounds, begin + _MIN_RANGE)
