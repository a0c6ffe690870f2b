"""Load balancing: selection of the target for an attempt."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from shallotgate.gateway._directory import Target
from shallotgate.gateway._pauses import PauseEstimate

# Penalty for a target in another failure domain, as shares of the median and of
# the latency objective, whichever is less: traffic between domains is billed.
# Above the usual differences between replicas, so that requests stay in the
# domain of the entry unless its targets are clearly slower, fail or have a
# queue; the objective bounds how much later an answer may be for that.
_REMOTE_MEDIAN_SHARE = 1.0
_REMOTE_OBJECTIVE_SHARE = 0.15
# Penalty for an expected failure: a fixed part in milliseconds and a multiple
# of the median. It costs another attempt, and without one the request.
_FAILURE_PENALTY_MS = 60.0
_FAILURE_PENALTY_MEDIANS = 4.0
# Penalty for a target that states a limit, in medians: it needs a permit, and
# should be left to requests that have no other target.
_LIMITED_MEDIANS = 1.5
# Approximate slowdown of a target that is still warming up.
_COLD_FACTOR = 2.0
# Random spread of the costs, so that entries with the same view do not all
# select the same target.
_JITTER = 0.1


@dataclass(frozen=True)
class Pace:
    """Usual and expected durations of the requests of one route."""

    # Median duration of recent replies in milliseconds.
    median_ms: float
    # Latency objective in milliseconds.
    objective_ms: float
    # Pauses of the targets of the route.
    pauses: PauseEstimate = field(default_factory=PauseEstimate)

    @property
    def remote_penalty_ms(self) -> float:
        """Penalty for a target in another failure domain."""
        return min(
            self.median_ms * _REMOTE_MEDIAN_SHARE,
            self.objective_ms * _REMOTE_OBJECTIVE_SHARE,
        )

    @property
    def failure_penalty_ms(self) -> float:
        """Penalty for a certain failure."""
        return _FAILURE_PENALTY_MS + self.median_ms * _FAILURE_PENALTY_MEDIANS


class TargetChooser:
    """Selects the target with the lowest expected response time."""

    def __init__(self, domain: str, generator: random.Random) -> None:
        """``domain`` is the failure domain of this entry."""
        self._domain = domain
        self._generator = generator

    def choose(
        self,
        targets: Sequence[Target],
        tried: Collection[Target],
        pace: Pace,
        now: float,
    ) -> Target | None:
        """Return the best untried target, or None if there is none."""
        return min(
            _list_open(targets, tried, now),
            key=lambda target: self._estimate_ms(target, pace, now),
            default=None,
        )

    def rank(
        self,
        targets: Sequence[Target],
        tried: Collection[Target],
        pace: Pace,
        now: float,
    ) -> list[Target]:
        """Return the untried targets, best first."""
        return sorted(
            _list_open(targets, tried, now),
            key=lambda target: self._estimate_ms(target, pace, now),
        )

    def _estimate_ms(
        self,
        target: Target,
        pace: Pace,
        now: float,
    ) -> float:
        """Return the expected response time and the penalties, in ms."""
        cost = estimate_duration_ms(target, pace, now)
        _, failures = target.health.estimate_condition(now)
        cost += failures * pace.failure_penalty_ms
        if target.listed.domain != self._domain:
            cost += pace.remote_penalty_ms
        if target.limit_per_s is not None:
            cost += pace.median_ms * _LIMITED_MEDIANS
        return cost * (1 + _JITTER * self._generator.random())


def estimate_duration_ms(target: Target, pace: Pace, now: float) -> float:
    """Return the expected time until the reply to a request sent now."""
    health = target.health
    factor, _ = health.estimate_condition(now)
    if now < target.cold_until:
        factor = max(factor, _COLD_FACTOR)
    work_ms = pace.median_ms * factor
    slots = target.listed.slots or 1
    duration_ms = work_ms * (1 + health.estimate_queue(now) / slots)
    # An attempt that takes longer than usual indicates a stalled target.
    delay_ms = health.get_stall_ms(now) - work_ms
    if health.in_flight and delay_ms > 0:
        if health.speed.is_reported:
            duration_ms += pace.pauses.estimate_remaining_ms(delay_ms)
        else:
            # The remaining stall is on average about as long as the elapsed.
            duration_ms += delay_ms
    return duration_ms + target.pool.acquire_ms


def _list_open(
    targets: Sequence[Target], tried: Collection[Target], now: float
) -> list[Target]:
    """Return the targets that may be chosen."""
    return [
        target
        for target in targets
        if target not in tried and not target.health.is_down(now)
    ]
