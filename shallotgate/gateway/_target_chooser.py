"""Choice of the target for an attempt."""

import random
from collections.abc import Collection, Sequence

from shallotgate.gateway._directory import Target

# Cost of a target in another failure domain, in milliseconds, besides the
# time of the way, which replies show: traffic between domains is paid for.
_REMOTE_MS = 2.0
# Cost of a reply that fails, in milliseconds: the time of another attempt.
_FAILURE_MS = 60.0
# Cold targets take longer by about this factor.
_COLD_FACTOR = 2.0
# Spread of the costs at random, so that entries with the same view do not all
# choose the same target.
_JITTER = 0.1


class TargetChooser:
    """Picks the target that is expected to answer first."""

    def __init__(self, domain: str, generator: random.Random) -> None:
        """Choose for an entry in a failure domain."""
        self._domain = domain
        self._generator = generator

    def choose(
        self,
        targets: Sequence[Target],
        tried: Collection[Target],
        peers_ms: float,
        now: float,
    ) -> Target | None:
        """Return the best target that was not tried, None without one.

        ``peers_ms`` is the usual time of a reply in milliseconds.
        """
        best = None
        best_cost = float('inf')
        for target in targets:
            if target in tried or target.health.is_down(now):
                continue
            cost = self._estimate_ms(target, peers_ms, now)
            if cost < best_cost:
                best = target
                best_cost = cost
        return best

    def _estimate_ms(
        self,
        target: Target,
        peers_ms: float,
        now: float,
    ) -> float:
        """Return the expected time of a reply, in milliseconds."""
        health = target.health
        factor, failures = health.judge(now)
        if now < target.cold_until:
            factor = max(factor, _COLD_FACTOR)
        work_ms = peers_ms * factor
        slots = target.listed.slots or 1
        cost = work_ms * (1 + health.read_queue(now) / slots)
        if health.in_flight:
            # An attempt that waits for longer than usual is a sign of a
            # pause, which on average lasts about as long again.
            cost += max(health.read_stall_ms(now) - work_ms, 0)
        cost += failures * _FAILURE_MS + target.pool.wait_ms
        if target.listed.domain != self._domain:
            cost += _REMOTE_MS
        return cost * (1 + _JITTER * self._generator.random())
