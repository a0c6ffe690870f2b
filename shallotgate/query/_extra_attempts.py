"""Decides when slow or stalled attempts are hedged, within budgets."""

from shallotgate.query._dispatcher import SentAttempt, Shard
from shallotgate.query._task import MS_PER_S, QueryDependencies, Task, Usage
from shallotgate.routing import Candidate

# An attempt counts as stalled if its owner has sent no reply for this long,
# well before the deadlines of most classes, and for this multiple of the
# latency quantile at which attempts are hedged.
STALL_TIMEOUT_S = 0.3
_STALL_LATENCY_FACTOR = 3


class ExtraAttempts:
    """Decides on retries and hedges of one query."""

    def __init__(
        self, deps: QueryDependencies, task: Task, usage: Usage
    ) -> None:
        self._deps = deps
        self._usage = usage
        self._is_hedged = task.policy.hedge and deps.policy.hedging

    def hedge_delay_s(self, candidate: Candidate) -> float:
        """Return the age at which an attempt is hedged, in seconds."""
        slow_ms = self._slow_latency_ms(candidate) if self._is_hedged else 0
        return slow_ms / MS_PER_S if slow_ms else float('inf')

    def is_slow(self, sent: SentAttempt, now: float) -> bool:
        """Return whether an attempt is old enough to be hedged."""
        return now - sent.sent_at >= self.hedge_delay_s(sent.candidate)

    def is_stalled(self, sent: SentAttempt, now: float) -> bool:
        """Return whether an attempt is overdue and its owner unresponsive."""
        age_s = now - sent.sent_at
        if age_s < STALL_TIMEOUT_S:
            return False
        typical_ms = self._slow_latency_ms(sent.candidate)
        if age_s * MS_PER_S < _STALL_LATENCY_FACTOR * typical_ms:
            return False
        return self._deps.port.is_silent(sent.candidate.owner, sent.sent_at)

    def may_send(self, shard: Shard) -> bool:
        """Return whether an attempt may be sent; charges retries.

        The first attempt is free, and so is one that follows a rejection
        before any target was reached.
        """
        is_free = not shard.attempts_sent or shard.is_retry_free
        return is_free or self._deps.retry_budget.try_spend()

    def try_spend(self, is_stalled: bool) -> bool:
        """Charge an additional attempt to the retry or hedge budget.

        An attempt that replaces a stalled one is charged as a retry, since
        the owner is most likely lost: the hedge budget alone is too small if
        a third of the owners fail.
        """
        if is_stalled and self._deps.retry_budget.try_spend():
            self._usage.retries += 1
            return True
        if self._is_hedged and self._deps.hedge_budget.try_spend():
            self._usage.hedges += 1
            return True
        return False

    def _slow_latency_ms(self, candidate: Candidate) -> float:
        """Return the hedging latency quantile in milliseconds, 0 if unknown."""
        slow_ms = self._deps.latency.quantile_ms(
            candidate.service,
            self._deps.policy.hedge_quantile,
        )
        return slow_ms or 0
