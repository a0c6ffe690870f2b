"""Entry point for queries; each runs synchronously on its caller's thread."""

import itertools
import threading
import time

from shallotgate.generated.answers import Answer, QueryRequest
from shallotgate.generated.catalogue import ClassPolicy
from shallotgate.invariants import check
from shallotgate.query._admission import Admission, RefusedError
from shallotgate.query._once import OnceRun
from shallotgate.query._run import QueryRun
from shallotgate.query._task import MS_PER_S, QueryDependencies, Task, Usage
from shallotgate.query._trial import Screener
from shallotgate.query._validation import (
    canonicalize_request,
    parse_cutoff,
    validate_request,
)

# Part of the deadline reserved for the merge and for returning the answer.
_RESERVE_RATIO = 0.05
_MAX_RESERVE_S = 0.005
# Outcomes that are excluded from latency statistics.
_UNMEASURED_OUTCOMES = frozenset(('refused',))


class QueryService:
    """Validates, admits and runs queries across all shards of a group."""

    def __init__(self, deps: QueryDependencies) -> None:
        self._deps = deps
        self._metrics = deps.metrics
        self._sequence = itertools.count(1)
        self._idle = threading.Condition()
        self._running = 0
        self._is_stopping = False
        self._admission = Admission(max_queries=deps.max_queries)
        self._metrics.register_gauge(
            'admission_limit', self._admission.current_limit
        )
        self._metrics.register_gauge(
            'admission_queued', self._admission.count_queued
        )
        self._metrics.register_gauge('queries_in_flight', self.count_running)

    def answer(self, request: QueryRequest, caller: str) -> Answer:
        """Return the answer to a request; invalid requests don't raise."""
        received_at = time.monotonic()
        request_id = self.make_request_id()
        findings = validate_request(
            self._deps.view.current().catalogue,
            caller,
            request,
        )
        if findings:
            answer = Answer(
                request_id=request_id,
                outcome='refused',
                reason='invalid',
                findings=findings,
            )
        else:
            answer = self._answer_valid(
                request,
                caller,
                request_id,
                received_at,
            )
        self._count_answer(answer, request, caller, received_at)
        return answer

    def make_request_id(self) -> str:
        """Return a request id that is unique across all instances."""
        return f'{self._deps.start_id}-{next(self._sequence)}'

    def stop_accepting(self) -> None:
        """Reject new queries; running queries continue."""
        with self._idle:
            self._is_stopping = True

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no query runs and all outcomes are recorded.

        Returns False on timeout.
        """
        give_up_at = time.monotonic() + timeout_s
        with self._idle:
            self._idle.wait_for(lambda: not self._running, timeout_s)
            if self._running:
                return False
        remaining_s = max(give_up_at - time.monotonic(), 0)
        return self._deps.commit_retrier.wait_idle(remaining_s)

    def count_running(self) -> int:
        """Return the number of queries that are queued or running."""
        return self._running

    def _answer_valid(
        self,
        request: QueryRequest,
        caller: str,
        request_id: str,
        received_at: float,
    ) -> Answer:
        catalogue = self._deps.view.current().catalogue
        policy = catalogue.classes.get(request.class_name)
        entry = catalogue.callers.get(caller)
        if policy is None or entry is None:
            # The class or caller was removed after validation.
            return Answer(
                request_id=request_id,
                outcome='refused',
                reason='catalogue_changed',
            )
        task = _make_task(request, caller, policy, request_id, received_at)
        with self._idle:
            reason = self._find_refusal(task)
            if not reason:
                self._running += 1
        if reason:
            return task.make_answer('refused', reason)
        try:
            self._admission.admit(
                caller,
                entry,
                request.class_name,
                policy,
                task.deadline,
            )
        except RefusedError as error:
            return task.make_answer('refused', error.reason)
        else:
            return self._answer_admitted(task)
        finally:
            self._finish_query()

    def _finish_query(self) -> None:
        with self._idle:
            self._running -= 1
            if not self._running:
                self._idle.notify_all()

    def _find_refusal(self, task: Task) -> str:
        if self._is_stopping:
            return 'stopping'
        if self._deps.lease.remaining_s() <= 0:
            return 'no_lease'
        if task.remaining_s() <= 0:
            return 'cutoff_passed'
        domain = self._deps.view.current().catalogue.domains.get(
            self._deps.domain
        )
        if domain is not None and domain.taken_out and domain.drain_entries:
            return 'domain_taken_out'
        return ''

    def _answer_admitted(self, task: Task) -> Answer:
        admitted_at = time.monotonic()
        usage = Usage()
        is_counted = False
        try:
            answer, usage = self._run(task)
            is_counted = answer.outcome not in _UNMEASURED_OUTCOMES
        finally:
            self._admission.release(
                task.caller,
                task.request.class_name,
                time.monotonic() - admitted_at,
                usage.service_ms,
                is_counted=is_counted,
            )
        self._count_usage(task, usage)
        return answer

    def _run(self, task: Task) -> tuple[Answer, Usage]:
        if self._deps.lease.remaining_s() <= 0:
            # It may have ended while the query was queued.
            return task.make_answer('refused', 'no_lease'), Usage()
        self._deps.report_scope.record_use(task.request.group)
        if task.policy.once_only:
            once = OnceRun(self._deps, task)
            return once.answer(), once.dispatcher.usage
        run = QueryRun(self._deps, task)
        answer = self._run_fan_out(run, Screener(self._deps, run))
        return answer, run.dispatcher.usage

    def _run_fan_out(self, run: QueryRun, screener: Screener) -> Answer:
        while True:
            if not run.bind():
                return run.task.make_answer(
                    run.dispatcher.usage.derive_outcome(),
                    'no_target',
                    attempts=run.dispatcher.usage.sent,
                )
            answer = screener.screen()
            if answer is not None:
                return answer
            if not run.driver.needs_restart:
                run.run_all()
            if not run.driver.needs_restart:
                return run.finish()
            run.restart()

    def _count_usage(self, task: Task, usage: Usage) -> None:
        class_name = task.request.class_name
        counts = (
            ('attempts_total', usage.sent),
            ('hedges_total', usage.hedges),
            ('retries_total', usage.retries),
            ('replies_discarded_total', usage.discarded),
            ('version_restarts_total', usage.restarts),
            ('targets_lost_total', len(usage.lost_targets)),
        )
        for name, amount in counts:
            if amount:
                self._metrics.count(name, amount, class_name=class_name)

    def _count_answer(
        self,
        answer: Answer,
        request: QueryRequest,
        caller: str,
        received_at: float,
    ) -> None:
        class_name = request.class_name
        if answer.reason == 'invalid':
            # Names that are not in the catalogue would make the number of
            # label values unbounded.
            caller = ''
            class_name = ''
        self._metrics.count(
            'answers_total',
            outcome=answer.outcome,
            caller=caller,
            class_name=class_name,
        )
        if answer.outcome != 'refused':
            self._metrics.record_ms(
                'answer_ms',
                (time.monotonic() - received_at) * MS_PER_S,
                caller=caller,
                class_name=class_name,
            )
            return
        self._metrics.count(
            'refusals_total',
            reason=answer.reason,
            caller=caller,
            class_name=class_name,
        )
        check(
            answer.shards is None or not answer.shards.answered,
            'refusal-only-if-not-run',
            request_id=answer.request_id,
        )


def _make_task(
    request: QueryRequest,
    caller: str,
    policy: ClassPolicy,
    request_id: str,
    received_at: float,
) -> Task:
    deadline_ms = request.deadline_ms or policy.deadline_ms
    allowed_s = deadline_ms / MS_PER_S
    if request.cutoff:
        # Only absolute cut-offs are compared with the wall clock.
        until_cutoff_s = parse_cutoff(request.cutoff) - time.time()
        allowed_s = min(allowed_s, until_cutoff_s)
    reserve_s = min(allowed_s * _RESERVE_RATIO, _MAX_RESERVE_S)
    deadline = received_at + allowed_s - max(reserve_s, 0)
    soft_deadline = deadline
    if policy.mode == 'latency':
        soft_s = policy.soft_limit_ms / MS_PER_S
        soft_deadline = min(deadline, received_at + soft_s)
    digest, body = canonicalize_request(request)
    return Task(
        request_id=request_id,
        request=request,
        caller=caller,
        policy=policy,
        digest=digest,
        body=body,
        started_at=received_at,
        deadline=deadline,
        soft_deadline=soft_deadline,
        deadline_ms=max(int(allowed_s * MS_PER_S), 0),
    )
