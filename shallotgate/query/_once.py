"""Executes once-only requests: claim, dispatch and record."""

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
from shallotgate.query._dispatcher import NOT_RUN, AttemptDispatcher, Shard
from shallotgate.query._merge import InvalidMatchesError, decode_matches
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.query._trial import get_screening_state, request_trial
from shallotgate.routing import Candidate
from shallotgate.state import ANSWER_LIMIT_BYTES

_POLL_INTERVAL_S = 0.1
_MAX_CLAIM_RETRIES = 4
# Claim statuses which guarantee that the key was not claimed.
_REJECTED_CLAIM_STATUSES = frozenset(('from_future', 'mismatch', 'table_full'))
_CLAIM_FAULTS = MappingProxyType(
    {
        'from_future': 'the time of the key is in the future',
        'mismatch': 'the key was used with other content',
    }
)


class OnceRun:
    """Claims a key, dispatches once and records the outcome.

    A refusal means that this request has not run; an earlier request with the
    same key may have run.
    """

    def __init__(self, deps: QueryDependencies, task: Task) -> None:
        self._deps = deps
        self._task = task
        self.dispatcher = AttemptDispatcher(deps, task)
        # Unique across all instances, like the request id.
        self._claim = task.request_id

    def answer(self) -> Answer:
        """Run the request, or return the answer recorded for its key."""
        try:
            claimed = self._claim_key()
        except CommitUnknownError:
            # The claim is in doubt: an earlier request with this key may have
            # run.
            self._release()
            return self._task.make_answer('unknown', 'claim_unknown')
        except (ConsensusError, TransportError):
            return self._task.make_answer('refused', 'no_leader')
        if claimed.status == 'claimed' and claimed.claim == self._claim:
            return self._dispatch()
        return self._answer_unclaimed(claimed)

    def _claim_key(self) -> OnceResult:
        """Claim the key; waits while another request with it is running."""
        command = ClaimOnce(
            key=self._task.request.key,
            caller=self._task.caller,
            digest=self._task.digest,
            claim=self._claim,
            time=0,
        )
        pause_s = _POLL_INTERVAL_S
        result = self._propose(command)
        for _ in range(_MAX_CLAIM_RETRIES):
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
        if result.status in _REJECTED_CLAIM_STATUSES:
            fault = _CLAIM_FAULTS.get(result.status)
            findings = []
            if fault is not None:
                findings.append(AnswerFinding(path='key', reason=fault))
            return self._task.make_answer(
                'refused',
                f'key_{result.status}',
                findings=findings,
            )
        # Status is in_progress or too_old: the outcome is not known.
        return self._task.make_answer('unknown', f'key_{result.status}')

    def _dispatch(self) -> Answer:
        """Send the only attempt for a claimed key."""
        candidate = self._choose_target()
        refusal = 'no_target'
        trial = ''
        if candidate is not None:
            trial, refusal = self._authorize_content(candidate)
        if candidate is None or refusal:
            return self._abandon_claim(refusal)
        sent = self.dispatcher.send(Shard(-1, ()), candidate, 0, trial=trial)
        if sent is None:
            return self._abandon_claim('deadline')
        reply = self._wait_for_reply()
        check(
            self.dispatcher.usage.sent == 1,
            'one-dispatch-for-each-once-only-key',
            key=self._task.request.key,
        )
        if reply is not None and reply.status in NOT_RUN:
            return self._abandon_claim(reply.reason or reply.status)
        if reply is None:
            self.dispatcher.cancel_all()
        answer = self._interpret_reply(reply)
        self._record(answer)
        return answer

    def _abandon_claim(self, reason: str) -> Answer:
        """Release the key of a request that is known not to have run."""
        self._release()
        check(
            not self.dispatcher.usage.may_have_run,
            'refusal-only-if-not-run',
            request_id=self._task.request_id,
        )
        return self._task.make_answer(
            'failed' if reason == 'quarantined' else 'refused',
            reason,
            attempts=self.dispatcher.usage.sent,
        )

    def _authorize_content(self, candidate: Candidate) -> tuple[str, str]:
        """Return the trial to run under and the reason for a rejection.

        A once-only request is dispatched only once, so that the dispatch of
        suspect content is itself the trial.
        """
        state = get_screening_state(self._deps, self._task)
        if state.status == 'quarantined':
            return '', 'quarantined'
        if state.status == 'trial':
            return '', 'suspect'
        if state.status != 'suspect':
            return '', ''
        decision = request_trial(
            self._deps,
            self._task,
            candidate.target,
            has_local_loss=False,
        )
        if decision.status == 'quarantined':
            return '', 'quarantined'
        is_free = decision.status in {'granted', 'cleared', 'unknown'}
        return decision.trial, '' if is_free else 'suspect'

    def _choose_target(self) -> Candidate | None:
        route = self._deps.chooser.get_route(self._task.request.group)
        while route is None or not route.candidates:
            if self._task.remaining_s() <= _POLL_INTERVAL_S:
                return None
            time.sleep(_POLL_INTERVAL_S)
            route = self._deps.chooser.get_route(self._task.request.group)
        return self._deps.chooser.choose(route.candidates)

    def _wait_for_reply(self) -> AttemptReply | None:
        while True:
            remaining_s = self._task.remaining_s()
            if remaining_s <= 0:
                return None
            received = self.dispatcher.receive(remaining_s)
            if received is not None:
                return received[1]

    def _interpret_reply(self, reply: AttemptReply | None) -> Answer:
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
        except InvalidMatchesError:
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
            elapsed_ms=self._task.compute_elapsed_ms(),
            attempts=1,
        )

    def _record(self, answer: Answer) -> None:
        self._commit(
            RecordOutcome(
                key=self._task.request.key,
                caller=self._task.caller,
                claim=self._claim,
                answer=_encode_bounded(answer),
                time=0,
            )
        )

    def _release(self) -> None:
        self._commit(
            ReleaseClaim(
                key=self._task.request.key,
                caller=self._task.caller,
                claim=self._claim,
                time=0,
            )
        )

    def _commit(self, command: object) -> None:
        """Commit before the deadline, or hand over to the commit retrier."""
        remaining_s = self._task.remaining_s()
        if remaining_s > 0:
            with contextlib.suppress(ConsensusError, TransportError):
                self._deps.commands.propose(command, remaining_s)
                return
        self._deps.commit_retrier.submit(self._deps.commands, command)

    def _propose(self, command: ClaimOnce) -> OnceResult:
        result = self._deps.commands.propose(
            command,
            max(self._task.remaining_s(), 0),
        )
        if not isinstance(result, OnceResult):
            raise CommitUnknownError(f'unexpected result {result!r}')
        return result


def _encode_bounded(answer: Answer) -> bytes:
    """Encode an answer for its record; drops matches beyond the size limit."""
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
