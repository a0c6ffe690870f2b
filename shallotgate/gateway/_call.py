"""One attempt of a caller while it is served."""

import time
from dataclasses import dataclass, field

from shallotgate.gateway._crashes import Content, CrashWatch
from shallotgate.gateway._trace import RequestTrace
from shallotgate.gateway._wire import CallerRequest
from shallotgate.routes import Route

_MS_PER_S = 1000


@dataclass(frozen=True, eq=False)
class Call:
    """A request, its route and its times in monotonic seconds."""

    caller: CallerRequest
    content: Content
    route: Route
    # Version of the table that the route is from.
    version: int
    received_at: float
    # When the caller or the operator no longer wants an answer.
    deadline: float
    # When the answer has to leave to be back within the objective.
    answer_by: float
    trace: RequestTrace = field(default_factory=RequestTrace)
    crashes: CrashWatch = field(default_factory=CrashWatch)

    def left_s(self) -> float:
        """Return the seconds left."""
        return self.deadline - time.monotonic()

    def left_ms(self) -> int:
        """Return the whole milliseconds left, at least one."""
        return max(int(self.left_s() * _MS_PER_S), 1)
