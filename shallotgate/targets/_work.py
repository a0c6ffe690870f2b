"""One attempt on its way through the owner."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from shallotgate.generated.messages import Attempt, AttemptReply
from shallotgate.targets._connector import TargetConnection, TargetReply

OnReply = Callable[[AttemptReply], None]
Status = Literal[
    'ok',
    'not_run',
    'failed',
    'lost',
    'timeout',
    'cancelled',
    'wrong_version',
]


@dataclass(eq=False, slots=True)
class Work:
    """An attempt; its fields change under the lock of its pool."""

    attempt: Attempt
    on_reply: OnReply
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Whether its reply was decided; only the one who sets it replies.
    answered: bool = False
    cancelled: bool = False
    dispatched_at: float = 0
    # Times it was handed to a connection that may have sent it.
    dispatches: int = 0
    # Attempts in flight on the target when it was dispatched, with itself.
    load: int = 0
    # Most that were in flight at once while it ran.
    peak: int = 0
    # Reductions of the target's limit when it was dispatched.
    reductions: int = 0
    # Whether replies of the target were slow when it was dispatched.
    is_later: bool = False
    # Start id of the target when it was dispatched.
    start_id: str = ''
    # Set while it runs.
    connection: TargetConnection | None = None

    def claim(self) -> bool:
        """Return True to the one who is to send the reply."""
        free = not self.answered
        self.answered = True
        return free


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.

    Reasons of ``not_run``: no_lease, not_owner, taken_out, draining,
    quarantined, suspect, unreachable, queue_full, late and cancelled from the
    owner; shed, draining and late from the target. Of ``lost``: target_lost
    or connection_lost. Of ``failed``: target_failed, bad_reply or internal.
    """

    status: Status
    # Short code; see AttemptReply.
    reason: str = ''
    reply: TargetReply | None = None
    # Time on the connection in milliseconds.
    service_ms: float = 0
