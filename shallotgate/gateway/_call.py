"""Context of a caller request while it is being served."""

import time
from dataclasses import dataclass, field

from shallotgate.aio import ReplyLimits
from shallotgate.gateway._crashes import CrashEvidence, RequestContent
from shallotgate.gateway._trace import RequestTrace
from shallotgate.gateway._wire import CallerRequest
from shallotgate.routes import Route

_MS_PER_S = 1000


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

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()

    def remaining_ms(self) -> int:
        """Return the whole milliseconds until the deadline, at least one."""
        return max(int(self.remaining_s() * _MS_PER_S), 1)
