"""Screening of unproven content and trials of suspect content."""

import time
from collections.abc import Iterable
from dataclasses import dataclass
from types import MappingProxyType

from shallotgate.errors import ConsensusError, TransportError
from shallotgate.generated.answers import Answer
from shallotgate.generated.messages import Done, GrantTrial, Judgement
from shallotgate.query._digests import rank_targets
from shallotgate.query._dispatcher import Shard
from shallotgate.query._run import QueryRun
from shallotgate.query._selectors import ScreeningSelector, TrialSelector
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.routing import Candidate

# The request for a trial may reach the control group before the owner's
# report of the lost target, so it is retried for this long.
_TRIAL_REQUEST_TIMEOUT_S = 1.0
_TRIAL_REQUEST_INTERVAL_S = 0.05
# Screening attempts whose target turns out to be lost already before the
# content is left unscreened.
_MAX_SCREENING_ROUNDS = 3
# Content that is not proven is quarantined after this many lost targets.
_MAX_LOST_TARGETS = 2
# Status of a trial request by the reason for which it was rejected.
_REJECTION_STATUSES = MappingProxyType(
    {
        'not a suspect': 'unknown',
        'status is cleared': 'cleared',
        'status is quarantined': 'quarantined',
    }
)


@dataclass(frozen=True)
class ScreeningState:
    """Screening status of a digest before it is run."""

    # One of proven, unproven, suspect, trial and quarantined.
    status: str
    # Targets that were lost while running the content.
    lost: tuple[str, ...] = ()
    # Whether the content had completed on a target before the first loss.
    was_proven: bool = False


@dataclass(frozen=True)
class TrialDecision:
    """Reply of the control group to a trial request."""

    # One of granted, unknown, unreachable, cleared, quarantined and suspect.
    status: str
    # Id and target of a granted trial.
    trial: str = ''
    target: str = ''


def _list_lost(
    judgement: Judgement | None,
    local_losses: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the targets that count as lost to a digest."""
    if judgement is None:
        return local_losses
    # Once the view includes all local losses it takes precedence, so that a
    # lifted quarantine takes effect here.
    is_known = set(local_losses) <= set(judgement.targets)
    if judgement.status == 'cleared':
        return () if is_known else local_losses
    return tuple({*judgement.targets, *local_losses})


def get_screening_state(deps: QueryDependencies, task: Task) -> ScreeningState:
    """Return the status of a digest from the view and the local tables."""
    judgement = deps.view.current().quarantine.get(task.digest)
    status = judgement.status if judgement else ''
    lost = _list_lost(judgement, deps.suspect_digests.get(task.digest) or ())
    was_proven = judgement is not None and judgement.proven
    # A hedge can cause two losses at once. For proven content, the control
    # group decides which losses count.
    is_at_limit = len(lost) >= _MAX_LOST_TARGETS and not was_proven
    if status == 'quarantined' or is_at_limit:
        return ScreeningState('quarantined', lost)
    if status == 'trial':
        return ScreeningState('trial', lost)
    if lost or status == 'suspect':
        return ScreeningState('suspect', lost, was_proven)
    is_screened = task.policy.screen and deps.policy.screening
    is_proven = status == 'cleared' or deps.proven_digests.get(task.digest)
    return ScreeningState(
        'unproven' if is_screened and not is_proven else 'proven'
    )


def request_trial(
    deps: QueryDependencies,
    task: Task,
    target: str,
    *,
    has_local_loss: bool,
) -> TrialDecision:
    """Request permission to run the content on a target in isolation.

    Retries while the control group is unreachable or, with
    ``has_local_loss``, has not received the report of the loss yet.
    """
    command = GrantTrial(
        digest=task.digest,
        target=target,
        holder=task.request_id,
        time=0,
    )
    repeated = {'unreachable', 'unknown'} if has_local_loss else {'unreachable'}
    timeout_s = min(
        _TRIAL_REQUEST_TIMEOUT_S, task.remaining_s() - _TRIAL_REQUEST_INTERVAL_S
    )
    give_up_at = time.monotonic() + timeout_s
    decision = TrialDecision('unreachable')
    while time.monotonic() < give_up_at:
        decision = _propose_trial(deps, task, command)
        if decision.status not in repeated:
            break
        time.sleep(_TRIAL_REQUEST_INTERVAL_S)
    return decision


def _propose_trial(
    deps: QueryDependencies,
    task: Task,
    command: GrantTrial,
) -> TrialDecision:
    try:
        outcome = deps.commands.propose(command, task.remaining_s())
    except (ConsensusError, TransportError):
        return TrialDecision('unreachable')
    return _decode_decision(outcome, command)


def _decode_decision(outcome: object, command: GrantTrial) -> TrialDecision:
    if not isinstance(outcome, Done):
        return TrialDecision('suspect')
    if outcome.changed:
        return TrialDecision('granted', command.holder, command.target)
    return TrialDecision(_REJECTION_STATUSES.get(outcome.reason, 'suspect'))


class Screener:
    """Runs content that is not proven on a single target first."""

    def __init__(self, deps: QueryDependencies, run: QueryRun) -> None:
        self._deps = deps
        self._run = run
        self._task = run.task

    def screen(self) -> Answer | None:
        """Screen the content; returns an answer if it must not run further.

        Returns None if the content is proven, or if the query has to be bound
        to another version.
        """
        state = get_screening_state(self._deps, self._task)
        if state.status == 'proven':
            return None
        if state.status == 'suspect':
            return self._run_suspect(state)
        if state.status != 'unproven':
            return self._reject(state.status)
        return self._screen_first_target()

    def _screen_first_target(self) -> Answer | None:
        """Run the content on the target that all entries rank first."""
        asked: frozenset[str] = frozenset()
        shard = self._run.shards[0]
        for _ in range(_MAX_SCREENING_ROUNDS):
            lost = self._list_recently_lost()
            first, shard = self._find_screening_target(lost)
            if first in lost and not lost <= asked:
                asked = lost
                decision = self._request_trial_early(first)
                if decision is not None:
                    return self._apply_decision(decision, tuple(lost))
            selector = ScreeningSelector(
                self._task.digest,
                self._run.dispatcher,
                self._list_domains(lost & {first}),
            )
            self._run.run_shards([shard], selector)
            if shard.matches is not None:
                self._deps.proven_digests.put(self._task.digest, True)
                return None
            if not self._was_selected_target_lost(shard):
                break
        return self._finish_unscreened()

    def _finish_unscreened(self) -> Answer | None:
        if self._run.driver.needs_restart:
            return None
        if self._run.dispatcher.usage.lost_targets:
            return self._run_suspect(ScreeningState('suspect'))
        return self._run.finish('not_screened')

    def _list_recently_lost(self) -> frozenset[str]:
        route = self._run.driver.get_route()
        return frozenset(route.recently_lost if route else ())

    def _was_selected_target_lost(self, shard: Shard) -> bool:
        """Return whether a target was lost before it ran this query."""
        if self._run.dispatcher.usage.lost_targets or shard.attempts_sent == 0:
            return False
        return bool(shard.skipped_targets & self._list_recently_lost())

    def _request_trial_early(self, first: str) -> TrialDecision | None:
        """Request a trial in case the content caused the target's loss.

        Until a loss has reached the view of every instance, resends to other
        entries could otherwise crash one target after another. Returns None
        if the control group has no record of a loss.
        """
        placement = self._find_trial_target((first,))
        if placement is None:
            return None
        decision = request_trial(
            self._deps,
            self._task,
            placement[0].target,
            has_local_loss=False,
        )
        return None if decision.status == 'unknown' else decision

    def _find_screening_target(self, lost: frozenset[str]) -> tuple[str, Shard]:
        """Return the target that all entries rank first, and a shard.

        The shard belongs to the highest-ranked target that is usable.
        """
        places: dict[str, Shard] = {}
        for shard in self._run.shards:
            for candidate in shard.candidates:
                places.setdefault(candidate.target, shard)
        ranked = rank_targets(self._task.digest, {*places, *lost})
        usable = [target for target in ranked if target in places]
        if not usable:
            return '', self._run.shards[0]
        return ranked[0], places[usable[0]]

    def _run_suspect(self, state: ScreeningState) -> Answer | None:
        """Run suspect content in a trial if the control group grants one."""
        usage = self._run.dispatcher.usage
        lost = tuple({*state.lost, *usage.lost_targets})
        self._deps.proven_digests.remove(self._task.digest)
        if not state.was_proven:
            self._deps.suspect_digests.put(self._task.digest, lost)
            if len(lost) >= _MAX_LOST_TARGETS:
                return self._reject('quarantined')
        placement = self._find_trial_target(lost, was_proven=state.was_proven)
        if placement is None:
            return self._reject('suspect')
        decision = request_trial(
            self._deps,
            self._task,
            placement[0].target,
            has_local_loss=True,
        )
        return self._apply_decision(decision, () if state.was_proven else lost)

    def _apply_decision(
        self,
        decision: TrialDecision,
        lost: tuple[str, ...],
    ) -> Answer | None:
        if decision.status == 'cleared':
            self._mark_proven()
            return None
        if decision.status != 'granted':
            return self._reject(decision.status)
        self._deps.suspect_digests.put(self._task.digest, lost)
        return self._run_trial(decision)

    def _run_trial(self, decision: TrialDecision) -> Answer | None:
        placement = self._find_target(decision.target)
        if placement is None:
            return self._reject('suspect')
        candidate, shard = placement
        shard.lost_attempts = 0
        self._run.run_shards([shard], TrialSelector(candidate, decision.trial))
        if shard.matches is not None:
            self._mark_proven()
            return None
        if self._run.dispatcher.usage.lost_in_phase:
            lost = self._deps.suspect_digests.get(self._task.digest) or ()
            self._deps.suspect_digests.put(
                self._task.digest,
                (*lost, candidate.target),
            )
            return self._reject('quarantined')
        if self._run.driver.needs_restart:
            return None
        return self._run.finish('suspect')

    def _find_target(self, target: str) -> tuple[Candidate, Shard] | None:
        for shard in self._run.shards:
            for candidate in shard.candidates:
                if candidate.target == target:
                    return candidate, shard
        return None

    def _find_trial_target(
        self,
        lost: tuple[str, ...],
        *,
        was_proven: bool = False,
    ) -> tuple[Candidate, Shard] | None:
        """Return a target for a trial, preferably in another domain.

        Other targets of a failing domain may be lost shortly afterwards.

        Unproven content is preferably tried on another service: losing a
        second replica of the same service would endanger its coverage. Proven
        content can only be at fault on partitions whose targets were lost, so
        it is preferably tried on the same service. Rendezvous hashing spreads
        concurrent trials over targets of equal load.
        """
        places = self._deps.view.current().places
        services = {
            places[target].service_name for target in lost if target in places
        }
        domains = self._list_domains(lost)
        now = time.monotonic()
        found: list[tuple[Candidate, Shard]] = [
            (candidate, shard)
            for shard in self._run.shards
            for candidate in shard.candidates
            if candidate.target not in lost
        ]
        ranked = rank_targets(
            self._task.digest,
            {candidate.target for candidate, _ in found},
        )
        return min(
            found,
            default=None,
            key=lambda placement: (
                placement[0].domain in domains,
                (placement[0].service in services) != was_proven,
                placement[0].observation.is_cold(),
                placement[0].observation.estimate_load(now),
                ranked.index(placement[0].target),
            ),
        )

    def _list_domains(self, targets: Iterable[str]) -> frozenset[str]:
        places = self._deps.view.current().places
        return frozenset(
            places[target].target.domain
            for target in targets
            if target in places
        )

    def _mark_proven(self) -> None:
        self._deps.suspect_digests.remove(self._task.digest)
        self._deps.proven_digests.put(self._task.digest, True)

    def _reject(self, reason: str) -> Answer:
        """Answer without running the content any further.

        Quarantined content fails permanently and is not reported as refused.
        Suspect content is reported as refused if this request has not run.
        """
        self._run.dispatcher.cancel_all()
        usage = self._run.dispatcher.usage
        self._deps.metrics.count('quarantine_answers_total', reason=reason)
        is_refused = reason != 'quarantined' and not usage.may_have_run
        return self._task.make_answer(
            'refused' if is_refused else 'failed',
            'quarantined' if reason == 'quarantined' else 'suspect',
            attempts=usage.sent,
        )
