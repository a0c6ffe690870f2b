"""Times at which a second attempt is sooner than waiting."""

from collections.abc import Callable

from shallotgate.gateway._directory import Target
from shallotgate.gateway._dispatch_contexts import DispatchContext

_MS_PER_S = 1000
# The hedge delay is this quantile of recent replies, multiplied by the factor
# below.
_HEDGE_QUANTILE = 0.9
_HEDGE_FACTOR = 1.3
# Upper bound of the hedge delay, in medians of recent replies. If a tenth of
# the targets or more are slow, the quantile above is the duration of a slow
# reply.
_HEDGE_MEDIANS = 2.2
# Upper bound of the hedge delay for an attempt that is expected to take longer
# than usual, as a share of the objective: the rest is left for the hedge.
_HEDGE_OBJECTIVE_SHARE = 0.4
# Minimum hedge delay in milliseconds: the resolution of timers.
HEDGE_MIN_MS = 3.0


class HedgeTiming:
    """Compares the attempts of one dispatch with another one sent now."""

    def __init__(self, context: DispatchContext, objective_ms: float) -> None:
        self._context = context
        self._objective_ms = objective_ms
        # Monotonic times at which the attempts at targets that report their
        # speed are expected to end.
        self._expected_ends: dict[Target, float] = {}

    def plan(self, target: Target, now: float) -> float:
        """Return the hedge delay in seconds of an attempt that starts now."""
        latency = self._context.latency
        median_ms = latency.quantile(0.5)
        wait_ms = min(
            latency.quantile(_HEDGE_QUANTILE) * _HEDGE_FACTOR,
            median_ms * _HEDGE_MEDIANS,
        )
        expected_ms = self._context.estimate_ms(target, self._objective_ms, now)
        if expected_ms is not None:
            self._expected_ends[target] = now + expected_ms / _MS_PER_S
            bound_ms = self._objective_ms * _HEDGE_OBJECTIVE_SHARE
            factor = max(expected_ms / max(median_ms, HEDGE_MIN_MS), 1)
            wait_ms = min(wait_ms * factor, max(wait_ms, bound_ms))
        return max(wait_ms, HEDGE_MIN_MS) / _MS_PER_S

    def remove(self, target: Target) -> None:
        """Forget an attempt that has ended."""
        self._expected_ends.pop(target, None)

    def get_wait_s(
        self, find_other: Callable[[], Target | None], now: float
    ) -> float:
        """Return how long to wait, as that is sooner than a hedge; else 0.

        ``find_other`` returns the target of the hedge.
        """
        remaining_ms = [
            self._context.pauses.estimate_remaining_ms(
                max(now - expected_end, 0) * _MS_PER_S
            )
            for expected_end in self._expected_ends.values()
        ]
        other = find_other() if remaining_ms else None
        if other is None:
            return 0
        other_ms = self._context.estimate_ms(other, self._objective_ms, now)
        if other_ms is None or other_ms < min(remaining_ms):
            return 0
        return max(min(remaining_ms), HEDGE_MIN_MS) / _MS_PER_S
