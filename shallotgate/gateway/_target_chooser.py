"""Load balancing: selection of the target for an attempt."""

import random
from collections.abc import Collection, Sequence

from shallotgate.gateway._directory import Target

# Penalty for a target in another failure domain, in milliseconds, on top of the
# latency seen in replies: traffic between domains is billed.
_REMOTE_PENALTY_MS = 2.0
# Penalty for an expected failure, in milliseconds: the duration of another
# attempt.
_FAILURE_PENALTY_MS = 60.0
# Approximate slowdown of a target that is still warming up.
_COLD_FACTOR = 2.0
# Random spread of the costs, so that entries with the same view do not all
# select the same target.
_JITTER = 0.1


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
        median_ms: float,
        now: float,
    ) -> Target | None:
        """Return the best untried target, or None if there is none.

        ``median_ms`` is the median duration of recent replies.
        """
        best = None
        best_cost = float('inf')
        for target in targets:
            if target in tried or target.health.is_down(now):
                continue
            cost = self._estimate_ms(target, median_ms, now)
            if cost < best_cost:
                best = target
                best_cost = cost
        return best

    def _estimate_ms(
        self,
        target: Target,
        median_ms: float,
        now: float,
    ) -> float:
        """Return the expected response time in milliseconds."""
        health = target.health
        factor, failures = health.estimate_condition(now)
        if now < target.cold_until:
            factor = max(factor, _COLD_FACTOR)
        work_ms = median_ms * factor
        slots = target.listed.slots or 1
        cost = work_ms * (1 + health.estimate_queue(now) / slots)
        if health.in_flight:
            # An attempt that takes longer than usual indicates a stalled
            # target. The remaining stall is on average about as long as the
            # elapsed one.
            cost += max(health.get_stall_ms(now) - work_ms, 0)
        cost += failures * _FAILURE_PENALTY_MS + target.pool.acquire_ms
        if target.listed.domain != self._domain:
            cost += _REMOTE_PENALTY_MS
        return cost * (1 + _JITTER * self._generator.random())
