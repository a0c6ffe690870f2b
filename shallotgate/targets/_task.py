"""State of one attempt while the owner processes it."""

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
class AttemptTask:
    """An attempt; its fields are guarded by the lock of its pool."""

    attempt: Attempt
    on_reply: OnReply
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Whether the reply was claimed; only the claimant delivers it.
    answered: bool = False
    cancelled: bool = False
    dispatched_at: float = 0
    # Number of times it was passed to a connection that may have sent it.
    dispatches: int = 0
    # Attempts in flight on the target at dispatch, including this one.
    load: int = 0
    # Maximum number of attempts in flight while it ran.
    peak_load: int = 0
    # Reductions of the target's limit before its dispatch.
    reductions: int = 0
    # Whether it was dispatched during a streak of slow replies.
    during_slow_streak: bool = False
    # Start id of the target at dispatch.
    start_id: str = ''
    # Connection that it runs on; None if it is not running.
    connection: TargetConnection | None = None

    def claim_reply(self) -> bool:
        """Claim the reply; returns True to the first caller only."""
        is_first = not self.answered
        self.answered = True
        return is_first


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of an attempt.

    Reasons of ``not_run``: no_lease, not_owner, taken_out, draining,
    quarantined, suspect, unreachable, queue_full, late and cancelled from the
    owner; shed, draining and late from the target. Reasons of ``lost``:
    target_lost and connection_lost. Reasons of ``failed``: target_failed,
    bad_reply and internal.
    """

    status: Status
    # Reason code; see AttemptReply.
    reason: str = ''
    reply: TargetReply | None = None
    # Time on the connection in milliseconds.
    service_ms: float = 0
