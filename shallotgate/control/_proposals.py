"""Commits commands proposed by instances and by the leader itself."""

import dataclasses
import time

from shallotgate.codec import CodecError, decode_tagged, encode_tagged
from shallotgate.control._log import ReplicatedLog
from shallotgate.errors import CommitUnknownError, NotLeaderError
from shallotgate.generated.messages import (
    ChangeCatalogue,
    ClaimOnce,
    Done,
    GrantTrial,
    JudgeTrial,
    LiftQuarantine,
    ProposeReply,
    RecordOutcome,
    ReleaseClaim,
    ReportSuspects,
)
from shallotgate.state import TierState

# Commands that instances may propose. Only the leader itself proposes moves and
# grants of targets and the advance of time.
_PERMITTED_COMMANDS = (
    ChangeCatalogue,
    ClaimOnce,
    GrantTrial,
    JudgeTrial,
    LiftQuarantine,
    RecordOutcome,
    ReleaseClaim,
    ReportSuspects,
)


class Proposer:
    """Commits commands stamped with the leader's time."""

    def __init__(self, log: ReplicatedLog, state: TierState) -> None:
        self._log = log
        self._state = state

    def read_time(self) -> float:
        """Return the wall-clock time, but at least the last applied time."""
        return max(time.time(), self._state.read().time)

    def propose(self, command: object, timeout_s: float) -> object:
        """Commit a command of the leader; raises the errors of the log."""
        return self._log.propose(encode_tagged(command), timeout_s)

    def answer(self, encoded: bytes, timeout_s: float) -> ProposeReply:
        """Commit a command of an instance and return the reply to it."""
        try:
            command = decode_tagged(encoded)
        except CodecError as error:
            return _refuse(str(error))
        if not isinstance(command, _PERMITTED_COMMANDS):
            return _refuse('only the leader proposes this command')
        timed = dataclasses.replace(command, time=self.read_time())
        try:
            result = self.propose(timed, timeout_s)
        except NotLeaderError as error:
            return ProposeReply(
                status='not_leader',
                leader=error.leader or '',
            )
        except CommitUnknownError:
            return ProposeReply(status='unknown')
        return ProposeReply(status='done', outcome=encode_tagged(result))


def _refuse(reason: str) -> ProposeReply:
    done = Done(changed=False, reason=reason)
    return ProposeReply(status='done', outcome=encode_tagged(done))
