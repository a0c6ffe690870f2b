"""Requests that run at most once."""

import contextlib
import dataclasses
import time
from types import MappingProxyType

from shallotgate.codec import CodecError, decode_json, encode_json
from shallotgate.errors import (
    CommitUnknownError,
    ConsensusError,
    TransportError,
)
from shallotgate.generated.answers import Answer, AnswerFinding, ShardCoverage
from shallotgate.generated.messages import (
    AttemptReply,
    ClaimOnce,
    OnceResult,
    RecordOutcome,
    ReleaseClaim,
)
from shallotgate.invariants import check
from shallotgate.query._exchange import NOT_RUN, Exchange, Shard
from shallotgate.query._merge import BadMatchesError, decode_matches
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.query._trial import read_standing, request_trial
from shallotgate.routing import Candidate
from shallotgate.state import ANSWER_LIMIT_BYTES

_PAUSE_S = 0.1
_CLAIM_ROUNDS = 4
# Claims that were certainly not granted, and the fault of the request.
_REFUSED_CLAIMS = frozenset(('from_future', 'mismatch', 'table_full'))
_CLAIM_FAULTS = MappingProxyType(
    {
        'from_future': 'the time of the key is in the future',
        'mismatch': 'the key was used with other content',
    }
)


class OnceRun:
    """Claims a key, dispatches once and records the outcome.

    A refusal says that this exchange has not run the request; an earlier one
    with the same key may have.
    """

    def __init__(self, parts: QueryDependencies, task: Task) -> None:
        self._parts = parts
        self._task = task
        self.exchange = Exchange(parts, task)
        # Unique in the tier, like the id of the request.
        self._claim = task.request_id

    def answer(self) -> Answer:
        """Run the request or return the recorded answer."""
        try:
            claimed = self._claim_key()
        except CommitUnknownError:
            # An earlier request with this key may have run.
            self._release()
            return self._task.make_answer('unknown', 'claim_unknown')
        except (ConsensusError, TransportError):
            return self._task.make_answer('refused', 'no_leader')
        if claimed.status == 'claimed' and claimed.claim == self._claim:
            return self._dispatch()
        return self._answer_unclaimed(claimed)

    def _claim_key(self) -> OnceResult:
        """Claim the key; waits for another entry that is running it."""
        command = ClaimOnce(
            key=self._task.request.key,
            caller=self._task.caller,
            digest=self._task.digest,
            claim=self._claim,
            time=0,
        )
        pause_s = _PAUSE_S
        result = self._propose(command)
        for _ in range(_CLAIM_ROUNDS):
            is_running = result.status == 'in_progress'
            if not is_running or self._task.remaining_s() < 2 * pause_s:
                break
            time.sleep(pause_s)
            pause_s *= 2
            result = self._propose(command)
        return result

    def _answer_unclaimed(self, result: OnceResult) -> Answer:
        if result.status == 'finished' and result.answer:
            try:
                recorded = decode_json(result.answer, Answer)
            except CodecError:
                return self._task.make_answer('unknown', 'record_unreadable')
            return dataclasses.replace(recorded, repeated=True)
        if result.status in _REFUSED_CLAIMS:
            fault = _CLAIM_FAULTS.get(result.status)
            findings = []
            if fault is not None:
                findings.append(AnswerFinding(path='key', reason=fault))
            return self._task.make_answer(
                'refused',
                f'key_{result.status}',
                findings=findings,
            )
        # in_progress, or too_old to tell.
        return self._task.make_answer('unknown', f'key_{result.status}')

    def _dispatch(self) -> Answer:
        """Send the one attempt of a claimed key."""
        candidate = self._choose()
        denied = 'no_target'
        trial = ''
        if candidate is not None:
            trial, denied = self._judge_content(candidate)
        if candidate is None or denied:
            return self._give_back(denied)
        sent = self.exchange.send(Shard(-1, ()), candidate, 0, trial=trial)
        if sent is None:
            return self._give_back('deadline')
        reply = self._wait()
        check(
            self.exchange.usage.sent == 1,
            'one-dispatch-for-each-once-only-key',
            key=self._task.request.key,
        )
        if reply is not None and reply.status in NOT_RUN:
            return self._give_back(reply.reason or reply.status)
        if reply is None:
            self.exchange.cancel_all()
        answer = self._judge(reply)
        self._record(answer)
        return answer

    def _give_back(self, reason: str) -> Answer:
        """Free the key of a request that was certainly not run."""
        self._release()
        check(
            not self.exchange.usage.may_have_run,
            'refusal-only-if-not-run',
            request_id=self._task.request_id,
        )
        return self._task.make_answer(
            'failed' if reason == 'quarantined' else 'refused',
            reason,
            attempts=self.exchange.usage.sent,
        )

    def _judge_content(self, candidate: Candidate) -> tuple[str, str]:
        """Return the trial to run under and why it may not run.

        The dispatch of a suspect is its trial, as there is only one.
        """
        standing = read_standing(self._parts, self._task)
        if standing.status == 'quarantined':
            return '', 'quarantined'
        if standing.status == 'trial':
            return '', 'suspect'
        if standing.status != 'suspect':
            return '', ''
        grant = request_trial(
            self._parts,
            self._task,
            candidate.target,
            is_lost_here=False,
        )
        if grant.status == 'quarantined':
            return '', 'quarantined'
        is_free = grant.status in {'granted', 'cleared', 'unknown'}
        return grant.trial, '' if is_free else 'suspect'

    def _choose(self) -> Candidate | None:
        route = self._parts.chooser.read_route(self._task.request.group)
        while route is None or not route.members:
            if self._task.remaining_s() <= _PAUSE_S:
                return None
            time.sleep(_PAUSE_S)
            route = self._parts.chooser.read_route(self._task.request.group)
        return self._parts.chooser.choose(route.members)

    def _wait(self) -> AttemptReply | None:
        while True:
            left_s = self._task.remaining_s()
            if left_s <= 0:
                return None
            received = self.exchange.receive(left_s)
            if received is not None:
                return received[1]

    def _judge(self, reply: AttemptReply | None) -> Answer:
        if reply is None:
            return self._task.make_answer('unknown', 'deadline', attempts=1)
        if reply.status == 'failed':
            reason = reply.reason or 'failed'
            return self._task.make_answer('failed', reason, attempts=1)
        if reply.status != 'ok':
            reason = reply.reason or reply.status
            return self._task.make_answer('unknown', reason, attempts=1)
        is_expected = reply.partition == -1 and reply.index_version == 0
        try:
            matches = decode_matches(reply.matches)
        except BadMatchesError:
            is_expected = False
        if not is_expected:
            return self._task.make_answer('unknown', 'mismatch', attempts=1)
        return Answer(
            request_id=self._task.request_id,
            outcome='complete',
            shards=ShardCoverage(asked=1, answered=1, missing=[]),
            matches=matches,
            matches_full=reply.covered and not reply.truncated,
            deadline_ms=self._task.deadline_ms,
            elapsed_ms=self._task.read_elapsed_ms(),
            attempts=1,
        )

    def _record(self, answer: Answer) -> None:
        self._settle(
            RecordOutcome(
                key=self._task.request.key,
                caller=self._task.caller,
                claim=self._claim,
                answer=_encode_bounded(answer),
                time=0,
            )
        )

    def _release(self) -> None:
        self._settle(
            ReleaseClaim(
                key=self._task.request.key,
                caller=self._task.caller,
                claim=self._claim,
                time=0,
            )
        )

    def _settle(self, command: object) -> None:
        """Commit in the time left, or go on after the answer."""
        left_s = self._task.remaining_s()
        if left_s > 0:
            with contextlib.suppress(ConsensusError, TransportError):
                self._parts.commands.propose(command, left_s)
                return
        self._parts.settler.submit(self._parts.commands, command)

    def _propose(self, command: ClaimOnce) -> OnceResult:
        result = self._parts.commands.propose(
            command,
            max(self._task.remaining_s(), 0),
        )
        if not isinstance(result, OnceResult):
            raise CommitUnknownError(f'unexpected result {result!r}')
        return result


def _encode_bounded(answer: Answer) -> bytes:
    """Return an answer as it is kept: without matches that are too large."""
    encoded = encode_json(answer)
    if len(encoded) <= ANSWER_LIMIT_BYTES:
        return encoded
    reason = f'{len(encoded)} bytes are too large to be kept for a resend'
    shortened = dataclasses.replace(
        answer,
        matches=[],
        matches_full=False,
        findings=[AnswerFinding(path='matches', reason=reason)],
    )
    return encode_json(shortened)
