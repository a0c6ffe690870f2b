"""Times at which a second attempt is sooner than waiting."""

import math
from collections.abc import Callable

from shallotgate.gateway._call import Call
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
# Quantile of recent replies that a hedge needs to be in time for the objective,
# and the least delay of one that is sent for that, in medians.
_HEDGE_REPLY_QUANTILE = 0.8
_HEDGE_MIN_MEDIANS = 1.4
# Minimum hedge delay in milliseconds: the resolution of timers.
HEDGE_MIN_MS = 3.0


class HedgeTiming:
    """Compares the attempts of one dispatch with another one sent now."""

    def __init__(self, context: DispatchContext, call: Call) -> None:
        self._context = context
        self._objective_ms = call.route.objective_ms
        # Latest monotonic time to answer within the objective.
        self._answer_by = call.answer_by
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
            wait_ms = min(wait_ms, self._get_useful_ms(now))
        return max(wait_ms, HEDGE_MIN_MS) / _MS_PER_S

    def _get_useful_ms(self, now: float) -> float:
        """Return the delay after which a hedge would be too late."""
        latency = self._context.latency
        left_ms = (self._answer_by - now) * _MS_PER_S
        latest_ms = left_ms - latency.quantile(_HEDGE_REPLY_QUANTILE)
        if latest_ms <= 0:
            return math.inf
        return max(latest_ms, latency.quantile(0.5) * _HEDGE_MIN_MEDIANS)

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
        left_ms = (self._answer_by - now) * _MS_PER_S
        if other_ms < left_ms < other_ms + min(remaining_ms):
            # The remaining time is an estimate, and a hedge that is sent after
            # it would miss the objective.
            return 0
        return max(min(remaining_ms), HEDGE_MIN_MS) / _MS_PER_S
