"""Second attempts next to slow or stalled ones, and their budgets."""

from shallotgate.query._exchange import Sent
from shallotgate.query._task import MS_PER_S, QueryParts, Task, Usage
from shallotgate.routing import Candidate

# An attempt to an owner without any sign of life is sent elsewhere after
# this time, well before the deadlines of most classes.
STALL_S = 0.3


class ExtraAttempts:
    """Decides on extra load for one query."""

    def __init__(self, parts: QueryParts, task: Task, usage: Usage) -> None:
        self._parts = parts
        self._usage = usage
        self._is_hedged = task.policy.hedge and parts.policy.hedging

    def read_slow_s(self, candidate: Candidate) -> float:
        """Return the age after which an attempt is hedged, in seconds."""
        if not self._is_hedged:
            return float('inf')
        slow_ms = self._parts.latency.quantile_ms(
            candidate.service,
            self._parts.policy.hedge_quantile,
        )
        return float('inf') if slow_ms is None else slow_ms / MS_PER_S

    def is_slow(self, sent: Sent, now: float) -> bool:
        """Return whether an attempt may be hedged."""
        return now - sent.sent_at >= self.read_slow_s(sent.candidate)

    def is_stalled(self, sent: Sent, now: float) -> bool:
        """Return whether an attempt's owner may be lost."""
        if now - sent.sent_at < STALL_S:
            return False
        return self._parts.port.is_silent(sent.candidate.owner, sent.sent_at)

    def try_spend(self, is_stalled: bool) -> bool:
        """Take a second attempt from the budgets.

        One next to a stalled attempt is a retry: its owner is most likely
        lost. Hedges alone can't cover a third of the owners.
        """
        if is_stalled and self._parts.retries.try_spend():
            self._usage.retries += 1
            return True
        if self._is_hedged and self._parts.hedges.try_spend():
            self._usage.hedges += 1
            return True
        return False
