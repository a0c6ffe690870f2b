"""Options of a gateway."""

import dataclasses

from shallotgate.aio import ReplyLimits
from shallotgate.extras import RetryBudgetPolicy
from shallotgate.routes import Route

# Size of a record in the replies of shards.
RECORD_BYTES = 16
# Limit on the reply of a shard, as a multiple of the records that the answer
# holds: a target may send more of them than are asked for.
_PART_SIZE_FACTOR = 64
_MIN_PART_LIMIT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class GatewayOptions:
    """Settings that apply to all requests of an entry."""

    # Failure domain of the entry.
    domain: str
    retry_budget_policy: RetryBudgetPolicy
    reply_limits: ReplyLimits

    def make_reply_limits(self, route: Route) -> ReplyLimits:
        """Return the limits for the replies to a request on a route."""
        limits = self.reply_limits
        if not route.shards:
            return limits
        part_bytes = max(
            route.top_count * RECORD_BYTES * _PART_SIZE_FACTOR,
            _MIN_PART_LIMIT_BYTES,
        )
        return dataclasses.replace(
            limits,
            max_body_bytes=min(limits.max_body_bytes, part_bytes),
        )
