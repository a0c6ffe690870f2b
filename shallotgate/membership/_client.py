"""Client of the control group."""

import time
from dataclasses import dataclass
from typing import Any, Literal, Protocol

import msgspec

from shallotgate.codec import decode_tagged, encode_json, encode_tagged
from shallotgate.errors import (
    CallTimeoutError,
    CommitUnknownError,
    ConsensusError,
    NoLeaderError,
    PeerUnreachableError,
)
from shallotgate.generated.messages import (
    LeaderCall,
    LeaderCallReply,
    Propose,
    ProposeReply,
)
from shallotgate.membership._link import ControlLink

# A commit takes a few milliseconds. A leader that does not reply within this
# time is abandoned and the command is sent to another member.
_ATTEMPT_TIMEOUT_S = 1.0
_RETRY_DELAY_S = 0.05
_MS_PER_S = 1000

Operation = Literal[
    'status',
    'history',
    'quarantine',
    'members',
    'replace_member',
]


class LeaderCallError(ConsensusError):
    """The control leader failed to execute an operator's call."""


class CommandPort(Protocol):
    """Commits commands of the replicated log through the leader."""

    def propose(self, command: object, timeout_s: float) -> object:
        """Commit a command and return its result message.

        The leader sets the command's ``time``. A command may be sent more
        than once: all commands are idempotent by their ids. Raises
        ``NoLeaderError`` if it was certainly not committed and
        ``CommitUnknownError`` if it may have been.
        """


@dataclass
class _CallProgress:
    """State of a call that is retried over the members."""

    # Monotonic time in seconds.
    deadline: float
    # Whether a member may have executed it without a reply.
    is_outcome_unknown: bool = False

    def remaining_s(self) -> float:
        """Return the time left in seconds."""
        return self.deadline - time.monotonic()

    def wait_before_retry(self) -> None:
        """Back off before the next member is tried."""
        time.sleep(max(min(_RETRY_DELAY_S, self.remaining_s()), 0))

    def make_error(self) -> ConsensusError:
        """Return the error for a call whose deadline has passed."""
        if self.is_outcome_unknown:
            return CommitUnknownError('no conclusive reply before the deadline')
        return NoLeaderError('no leader accepted it before the deadline')


class ControlClient:
    """Sends commands and operators' calls to the control leader."""

    def __init__(self, link: ControlLink) -> None:
        self._link = link

    def propose(self, command: object, timeout_s: float) -> object:
        """Commit a command; see ``CommandPort``."""
        encoded = encode_tagged(command)
        progress = _CallProgress(time.monotonic() + timeout_s)
        while progress.remaining_s() > 0:
            message = Propose(
                command=encoded,
                time_left_ms=int(progress.remaining_s() * _MS_PER_S),
            )
            # The leader may use the whole remaining time, but a single attempt
            # waits only for the attempt timeout.
            reply = self._call(message, progress, _ATTEMPT_TIMEOUT_S)
            if not isinstance(reply, ProposeReply):
                continue
            if reply.status == 'done' and reply.outcome is not None:
                result: object = decode_tagged(reply.outcome)
                return result
            if reply.status == 'unknown':
                progress.is_outcome_unknown = True
                progress.wait_before_retry()
        raise progress.make_error()

    def call_leader(
        self,
        operation: Operation,
        argument: object,
        timeout_s: float,
    ) -> Any:
        """Return the leader's answer to an operator's call.

        Argument and answer are JSON values. Raises ``LeaderCallError`` if
        the leader failed, ``NoLeaderError`` if there was no reply,
        and ``CommitUnknownError`` if a change may have been made.
        """
        message = LeaderCall(
            operation=operation,
            argument=encode_json(argument),
        )
        progress = _CallProgress(time.monotonic() + timeout_s)
        # A membership change is slow and is sent only once.
        is_change = operation == 'replace_member'
        attempt_timeout_s = timeout_s if is_change else _ATTEMPT_TIMEOUT_S
        while progress.remaining_s() > 0:
            reply = self._call(message, progress, attempt_timeout_s)
            if isinstance(reply, LeaderCallReply):
                if reply.status == 'failed':
                    raise LeaderCallError(reply.body.decode())
                return msgspec.json.decode(reply.body)
        # The outcome of a read-only call is never unknown.
        progress.is_outcome_unknown = progress.is_outcome_unknown and is_change
        raise progress.make_error()

    def _call(
        self,
        message: object,
        progress: _CallProgress,
        attempt_timeout_s: float,
    ) -> object:
        """Return the leader's reply, or None on failure."""
        peer = self._link.choose()
        timeout_s = min(max(progress.remaining_s(), 0), attempt_timeout_s)
        try:
            reply = self._link.call(peer, message, timeout_s)
        except PeerUnreachableError:
            self._link.mark_refused(peer, '')
            progress.wait_before_retry()
            return None
        except CallTimeoutError:
            progress.is_outcome_unknown = True
            self._link.mark_refused(peer, '')
            return None
        return self._filter_reply(peer, reply, progress)

    def _filter_reply(
        self, peer: str, reply: Any, progress: _CallProgress
    ) -> object:
        if reply.status != 'not_leader':
            self._link.mark_leader(peer)
            return reply
        self._link.mark_refused(peer, reply.leader)
        if not reply.leader or reply.leader == peer:
            progress.wait_before_retry()
        return None
