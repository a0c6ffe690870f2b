"""How parts of an instance reach the control group."""

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

# A commit takes a few milliseconds; a leader that is silent for this long is
# given up, and the command goes to another member.
_TRY_S = 1.0
_PAUSE_S = 0.05
_MS_PER_S = 1000

Operation = Literal[
    'status',
    'history',
    'quarantine',
    'members',
    'replace_member',
]


class LeaderCallError(ConsensusError):
    """The control leader could not carry out an operator's call."""


class CommandPort(Protocol):
    """Commits commands of the replicated log through the leader."""

    def propose(self, command: object, timeout_s: float) -> object:
        """Commit a command and return its result message.

        The leader sets the command's ``time``. A command may be sent more
        than once: all commands are idempotent by the ids that they carry.
        Raises ``NoLeaderError`` if it was certainly not taken and
        ``CommitUnknownError`` if it may have been.
        """


@dataclass
class _Progress:
    """One call while it is sent to one member after another."""

    # Monotonic time in seconds.
    deadline: float
    # Whether a member may have taken it without an answer.
    in_doubt: bool = False

    def remaining_s(self) -> float:
        """Return the time left in seconds."""
        return self.deadline - time.monotonic()

    def pause(self) -> None:
        """Wait a little before the next member is asked."""
        time.sleep(max(min(_PAUSE_S, self.remaining_s()), 0))

    def make_error(self) -> ConsensusError:
        """Return what the call has come to when the time is over."""
        if self.in_doubt:
            return CommitUnknownError('no answer that settles it in time')
        return NoLeaderError('no leader took it in time')


class ControlClient:
    """Sends commands and operators' calls to the control leader."""

    def __init__(self, link: ControlLink) -> None:
        self._link = link

    def propose(self, command: object, timeout_s: float) -> object:
        """Commit a command; see ``CommandPort``."""
        encoded = encode_tagged(command)
        progress = _Progress(time.monotonic() + timeout_s)
        while progress.remaining_s() > 0:
            message = Propose(
                command=encoded,
                time_left_ms=int(progress.remaining_s() * _MS_PER_S),
            )
            # The leader gets the whole time, but is waited for only so long.
            reply = self._ask(message, progress, _TRY_S)
            if not isinstance(reply, ProposeReply):
                continue
            if reply.status == 'done' and reply.outcome is not None:
                result: object = decode_tagged(reply.outcome)
                return result
            if reply.status == 'unknown':
                progress.in_doubt = True
                progress.pause()
        raise progress.make_error()

    def call_leader(
        self,
        operation: Operation,
        argument: object,
        timeout_s: float,
    ) -> Any:
        """Return the leader's answer to an operator's call.

        Argument and answer are JSON values. Raises ``LeaderCallError`` if
        the leader could not do it, ``NoLeaderError`` if there was no answer,
        and ``CommitUnknownError`` if a change may have been made.
        """
        message = LeaderCall(
            operation=operation,
            argument=encode_json(argument),
        )
        progress = _Progress(time.monotonic() + timeout_s)
        # A membership change takes a while and is not sent twice.
        is_change = operation == 'replace_member'
        try_s = timeout_s if is_change else _TRY_S
        while progress.remaining_s() > 0:
            reply = self._ask(message, progress, try_s)
            if isinstance(reply, LeaderCallReply):
                if reply.status == 'failed':
                    raise LeaderCallError(reply.body.decode())
                return msgspec.json.decode(reply.body)
        # Without an answer nothing is in doubt where nothing was asked for.
        progress.in_doubt = progress.in_doubt and is_change
        raise progress.make_error()

    def _ask(
        self,
        message: object,
        progress: _Progress,
        try_s: float,
    ) -> object:
        """Return the leader's reply, or None if there is none."""
        peer = self._link.choose()
        wait_s = min(max(progress.remaining_s(), 0), try_s)
        try:
            reply = self._link.call(peer, message, wait_s)
        except PeerUnreachableError:
            self._link.mark_refused(peer, '')
            progress.pause()
            return None
        except CallTimeoutError:
            progress.in_doubt = True
            self._link.mark_refused(peer, '')
            return None
        return self._sift(peer, reply, progress)

    def _sift(self, peer: str, reply: Any, progress: _Progress) -> object:
        if reply.status != 'not_leader':
            self._link.mark_leader(peer)
            return reply
        self._link.mark_refused(peer, reply.leader)
        if not reply.leader or reply.leader == peer:
            progress.pause()
        return None
