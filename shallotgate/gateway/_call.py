"""Context of a caller request while it is being served."""

import time
from dataclasses import dataclass, field, replace
from typing import Protocol

from shallotgate.aio import IncomingRequest, ReplyLimits
from shallotgate.gateway._crashes import CrashEvidence, RequestContent
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._trace import RequestTrace
from shallotgate.gateway._wire import CallerRequest
from shallotgate.routes import ClientAccount, Route

_MS_PER_S = 1000
# An answer is sent this long before the caller's timeout, in seconds.
_ANSWER_MARGIN_S = 0.01
# Part of the latency objective, and times in seconds, reserved for the
# processing of this entry at the end: merging, scheduling delays and, for each
# shard, assembling and sending its signature.
_PROCESSING_SHARE = 0.05
_PROCESSING_S = 0.002
_PROCESSING_PER_SHARD_S = 0.00006
# Part of the objective reserved for the network if the round-trip time is
# unknown.
_NETWORK_SHARE = 0.1


class SentAttempts(Protocol):
    """Attempts of a call on one service."""

    @property
    def sent_count(self) -> int:
        """Number of attempts that ran or may have run."""


@dataclass(frozen=True, eq=False)
class Call:
    """A request, its route and its deadlines in monotonic seconds."""

    caller: CallerRequest
    content: RequestContent
    route: Route
    # Version of the routing table that contains the route.
    version: int
    received_at: float
    # Earliest of the caller's and the route's timeout, less the time that the
    # answer needs to reach the caller.
    deadline: float
    # Latest time to send the answer and still meet the latency objective.
    answer_by: float
    reply_limits: ReplyLimits = field(default_factory=ReplyLimits)
    trace: RequestTrace = field(default_factory=RequestTrace)
    crashes: CrashEvidence = field(default_factory=CrashEvidence)
    # Account of the caller; None if the table has no accounts.
    account: ClientAccount | None = None
    # One for each service that the call was sent to.
    dispatches: list[SentAttempts] = field(default_factory=list)

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest.

        That of the account takes precedence over that of the route.
        """
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()

    def remaining_ms(self) -> int:
        """Return the whole milliseconds until the deadline, at least one."""
        return max(int(self.remaining_s() * _MS_PER_S), 1)


def make_single_attempt(call: Call) -> Call:
    """Return a call that is sent to one target of each service at most."""
    return replace(call, route=replace(call.route, max_attempts=1))


def make_call(
    request: IncomingRequest,
    caller: CallerRequest,
    route: Route,
    version: int,
    options: GatewayOptions,
) -> Call:
    """Return the context of a request; ``version`` is that of the table."""
    timeout_ms: float = route.timeout_ms
    if caller.timeout_ms is not None:
        timeout_ms = min(timeout_ms, caller.timeout_ms)
    objective_s = route.objective_ms / _MS_PER_S
    network_s = request.network_s or objective_s * _NETWORK_SHARE
    processing_s = (
        objective_s * _PROCESSING_SHARE
        + _PROCESSING_S
        + len(route.shards) * _PROCESSING_PER_SHARD_S
    )
    received_at = request.received_at
    return Call(
        caller=caller,
        content=RequestContent(
            request.method,
            caller.host,
            request.path,
            request.body,
        ),
        route=route,
        version=version,
        received_at=received_at,
        deadline=received_at + timeout_ms / _MS_PER_S - _ANSWER_MARGIN_S,
        answer_by=received_at + objective_s - network_s - processing_s,
        reply_limits=options.make_reply_limits(route),
        trace=RequestTrace(len(route.shards)),
    )
