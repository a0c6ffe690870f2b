"""Second attempts next to slow or stalled ones, and their budgets."""

from shallotgate.query._exchange import Sent, Shard
from shallotgate.query._task import MS_PER_S, QueryDependencies, Task, Usage
from shallotgate.routing import Candidate

# An attempt to an owner that replies to none is sent elsewhere after this
# time, well before the deadlines of most classes, or this multiple of what
# slow attempts take.
STALL_S = 0.3
_STALL_FACTOR = 3


class ExtraAttempts:
    """Decides on extra load for one query."""

    def __init__(
        self, parts: QueryDependencies, task: Task, usage: Usage
    ) -> None:
        self._parts = parts
        self._usage = usage
        self._is_hedged = task.policy.hedge and parts.policy.hedging

    def read_slow_s(self, candidate: Candidate) -> float:
        """Return the age after which an attempt is hedged, in seconds."""
        slow_ms = self._read_quantile_ms(candidate) if self._is_hedged else 0
        return slow_ms / MS_PER_S if slow_ms else float('inf')

    def is_slow(self, sent: Sent, now: float) -> bool:
        """Return whether an attempt may be hedged."""
        return now - sent.sent_at >= self.read_slow_s(sent.candidate)

    def is_stalled(self, sent: Sent, now: float) -> bool:
        """Return whether an attempt's owner may be lost."""
        age_s = now - sent.sent_at
        if age_s < STALL_S:
            return False
        usual_ms = self._read_quantile_ms(sent.candidate)
        if age_s * MS_PER_S < _STALL_FACTOR * usual_ms:
            return False
        return self._parts.port.is_silent(sent.candidate.owner, sent.sent_at)

    def may_send(self, shard: Shard) -> bool:
        """Return whether an attempt may be sent; spends a retry if it is one.

        The first is free, and one after a refusal that reached no target.
        """
        is_free = not shard.sends or shard.is_untouched
        return is_free or self._parts.retries.try_spend()

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

    def _read_quantile_ms(self, candidate: Candidate) -> float:
        """Return the latency of slow attempts, 0 if unknown."""
        slow_ms = self._parts.latency.quantile_ms(
            candidate.service,
            self._parts.policy.hedge_quantile,
        )
        return slow_ms or 0
