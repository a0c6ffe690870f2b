"""Screening of unproven content and trials of suspects."""

import time
from collections.abc import Iterable
from dataclasses import dataclass
from types import MappingProxyType

from shallotgate.errors import ConsensusError, TransportError
from shallotgate.generated.answers import Answer
from shallotgate.generated.messages import Done, GrantTrial, Judgement
from shallotgate.query._exchange import Shard
from shallotgate.query._pick import ScreeningPick, TrialPick
from shallotgate.query._run import QueryRun
from shallotgate.query._screening import rank_targets
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.routing import Candidate

# The owner's report of a lost target may reach the control group after our
# question.
_GRANT_PATIENCE_S = 1.0
_GRANT_PAUSE_S = 0.05
# Times a first target may turn out to be lost before content is given up.
_SCREENING_ROUNDS = 3
# Two lost targets are the most that one request may cost.
_MAX_LOST = 2
# Reasons of the control group for not granting a trial.
_GRANT_REASONS = MappingProxyType(
    {
        'not a suspect': 'unknown',
        'status is cleared': 'cleared',
        'status is quarantined': 'quarantined',
    }
)


@dataclass(frozen=True)
class Standing:
    """What is known of a digest before it is run."""

    # One of proven, unproven, suspect, trial and quarantined.
    status: str
    # Targets that were lost while they ran it.
    lost: tuple[str, ...] = ()
    # Whether it had completed on some target before one was lost.
    was_proven: bool = False


@dataclass(frozen=True)
class Grant:
    """Answer of the control group to the wish for a trial."""

    # One of granted, unknown, unreachable, cleared, quarantined and suspect.
    status: str
    # Id of a granted trial and its target.
    trial: str = ''
    target: str = ''


def _list_lost(
    judgement: Judgement | None,
    lost_here: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the targets lost to a digest that is not cleared."""
    if judgement is None:
        return lost_here
    # The view takes over what it knows, so that lifting takes effect.
    is_known = set(lost_here) <= set(judgement.targets)
    if judgement.status == 'cleared':
        return () if is_known else lost_here
    return tuple({*judgement.targets, *lost_here})


def read_standing(parts: QueryDependencies, task: Task) -> Standing:
    """Return what the view and this entry's own tables say of a digest."""
    judgement = parts.view.current().quarantine.get(task.digest)
    status = judgement.status if judgement else ''
    lost = _list_lost(judgement, parts.suspects.get(task.digest) or ())
    was_proven = judgement is not None and judgement.proven
    # Two may be lost at once where a hedge was sent. Of proven content the
    # control group decides which losses count.
    is_at_limit = len(lost) >= _MAX_LOST and not was_proven
    if status == 'quarantined' or is_at_limit:
        return Standing('quarantined', lost)
    if status == 'trial':
        return Standing('trial', lost)
    if lost or status == 'suspect':
        return Standing('suspect', lost, was_proven)
    is_screened = task.policy.screen and parts.policy.screening
    is_proven = status == 'cleared' or parts.proven.get(task.digest)
    return Standing('unproven' if is_screened and not is_proven else 'proven')


def request_trial(
    parts: QueryDependencies,
    task: Task,
    target: str,
    *,
    is_lost_here: bool,
) -> Grant:
    """Ask the control group to permit one run alone on a target.

    Repeats the question for a while where the control group can't be
    reached or, with ``is_lost_here``, knows of no loss yet.
    """
    command = GrantTrial(
        digest=task.digest,
        target=target,
        holder=task.request_id,
        time=0,
    )
    repeated = {'unreachable', 'unknown'} if is_lost_here else {'unreachable'}
    patience_s = min(_GRANT_PATIENCE_S, task.remaining_s() - _GRANT_PAUSE_S)
    give_up_at = time.monotonic() + patience_s
    grant = Grant('unreachable')
    while time.monotonic() < give_up_at:
        grant = _propose_trial(parts, task, command)
        if grant.status not in repeated:
            break
        time.sleep(_GRANT_PAUSE_S)
    return grant


def _propose_trial(
    parts: QueryDependencies,
    task: Task,
    command: GrantTrial,
) -> Grant:
    try:
        outcome = parts.commands.propose(command, task.remaining_s())
    except (ConsensusError, TransportError):
        return Grant('unreachable')
    return _read_grant(outcome, command)


def _read_grant(outcome: object, command: GrantTrial) -> Grant:
    if not isinstance(outcome, Done):
        return Grant('suspect')
    if outcome.changed:
        return Grant('granted', command.holder, command.target)
    return Grant(_GRANT_REASONS.get(outcome.reason, 'suspect'))


class Screener:
    """Runs content that is not proven, first on one target."""

    def __init__(self, parts: QueryDependencies, run: QueryRun) -> None:
        self._parts = parts
        self._run = run
        self._task = run.task

    def screen(self) -> Answer | None:
        """Try the content on one target; an answer if it went no further.

        Returns None if the content is proven, or if the run has to be bound
        again.
        """
        standing = read_standing(self._parts, self._task)
        if standing.status == 'proven':
            return None
        if standing.status == 'suspect':
            return self._try_alone(standing)
        if standing.status != 'unproven':
            return self._deny(standing.status)
        return self._try_first()

    def _try_first(self) -> Answer | None:
        """Try the content on the target that all entries try first."""
        asked: frozenset[str] = frozenset()
        shard = self._run.shards[0]
        for _ in range(_SCREENING_ROUNDS):
            lost = self._read_lost()
            first, shard = self._find_first(lost)
            if first in lost and not lost <= asked:
                asked = lost
                grant = self._ask_before(first)
                if grant is not None:
                    return self._follow_grant(grant, tuple(lost))
            pick = ScreeningPick(
                self._task.digest,
                self._run.exchange,
                self._list_domains(lost & {first}),
            )
            self._run.run_shards([shard], pick)
            if shard.matches is not None:
                self._parts.proven.put(self._task.digest, True)
                return None
            if not self._is_in_doubt(shard):
                break
        return self._give_up_first()

    def _give_up_first(self) -> Answer | None:
        if self._run.driver.restart_due:
            return None
        if self._run.exchange.usage.lost_targets:
            return self._try_alone(Standing('suspect'))
        return self._run.finish('not_screened')

    def _read_lost(self) -> frozenset[str]:
        route = self._run.driver.read_route()
        return frozenset(route.lost if route else ())

    def _is_in_doubt(self, shard: Shard) -> bool:
        """Return whether a target was found lost that did not run it now."""
        if self._run.exchange.usage.lost_targets or shard.sends == 0:
            return False
        return bool(shard.passed & self._read_lost())

    def _ask_before(self, first: str) -> Grant | None:
        """Ask whether the content is what the first target was lost to.

        Until a loss is in the view of every instance, a resend on another
        entry would be tried on one target after the other. None if the
        control group knows of no loss.
        """
        place = self._find_other((first,))
        if place is None:
            return None
        grant = request_trial(
            self._parts,
            self._task,
            place[0].target,
            is_lost_here=False,
        )
        return None if grant.status == 'unknown' else grant

    def _find_first(self, lost: frozenset[str]) -> tuple[str, Shard]:
        """Return the target that all entries try first, and its shard.

        If that target was lost, the shard is the one of the next target.
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

    def _try_alone(self, standing: Standing) -> Answer | None:
        """Run a suspect once alone, if the control group permits it."""
        usage = self._run.exchange.usage
        lost = tuple({*standing.lost, *usage.lost_targets})
        self._parts.proven.drop(self._task.digest)
        if not standing.was_proven:
            self._parts.suspects.put(self._task.digest, lost)
            if len(lost) >= _MAX_LOST:
                return self._deny('quarantined')
        place = self._find_other(lost, was_proven=standing.was_proven)
        if place is None:
            return self._deny('suspect')
        grant = request_trial(
            self._parts,
            self._task,
            place[0].target,
            is_lost_here=True,
        )
        return self._follow_grant(grant, () if standing.was_proven else lost)

    def _follow_grant(
        self,
        grant: Grant,
        lost: tuple[str, ...],
    ) -> Answer | None:
        if grant.status == 'cleared':
            self._clear()
            return None
        if grant.status != 'granted':
            return self._deny(grant.status)
        self._parts.suspects.put(self._task.digest, lost)
        return self._run_trial(grant)

    def _run_trial(self, grant: Grant) -> Answer | None:
        place = self._find_target(grant.target)
        if place is None:
            return self._deny('suspect')
        candidate, shard = place
        shard.losses = 0
        self._run.run_shards([shard], TrialPick(candidate, grant.trial))
        if shard.matches is not None:
            self._clear()
            return None
        if self._run.exchange.usage.lost_in_phase:
            lost = self._parts.suspects.get(self._task.digest) or ()
            self._parts.suspects.put(
                self._task.digest,
                (*lost, candidate.target),
            )
            return self._deny('quarantined')
        if self._run.driver.restart_due:
            return None
        return self._run.finish('suspect')

    def _find_target(self, target: str) -> tuple[Candidate, Shard] | None:
        for shard in self._run.shards:
            for candidate in shard.candidates:
                if candidate.target == target:
                    return candidate, shard
        return None

    def _find_other(
        self,
        lost: tuple[str, ...],
        *,
        was_proven: bool = False,
    ) -> tuple[Candidate, Shard] | None:
        """Return a target for a trial, if possible in another domain.

        The rest of a domain that is crashing may be lost a moment later.

        Unproven content is tried on another service if possible: a second
        replica of one service lost would endanger its coverage. Proven
        content can only be at fault on what it was lost to, so it is tried
        on a service that lost a target. Trials of many suspects spread over
        targets of equal load.
        """
        places = self._parts.view.current().places
        services = {places[one].service_name for one in lost if one in places}
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
            key=lambda place: (
                place[0].domain in domains,
                (place[0].service in services) != was_proven,
                place[0].observation.is_cold(),
                place[0].observation.read_load(now),
                ranked.index(place[0].target),
            ),
        )

    def _list_domains(self, targets: Iterable[str]) -> frozenset[str]:
        places = self._parts.view.current().places
        return frozenset(
            places[target].target.domain
            for target in targets
            if target in places
        )

    def _clear(self) -> None:
        self._parts.suspects.drop(self._task.digest)
        self._parts.proven.put(self._task.digest, True)

    def _deny(self, reason: str) -> Answer:
        """Answer without running it any further.

        Content in quarantine is a fault of the request and not refused for
        the time being; a suspect that this request has not run is.
        """
        self._run.exchange.cancel_all()
        usage = self._run.exchange.usage
        self._parts.metrics.count('quarantine_answers_total', reason=reason)
        is_refused = reason != 'quarantined' and not usage.may_have_run
        return self._task.make_answer(
            'refused' if is_refused else 'failed',
            'quarantined' if reason == 'quarantined' else 'suspect',
            attempts=usage.sent,
        )
