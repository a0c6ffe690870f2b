"""Strategies that select the target of an attempt."""

import statistics
from collections.abc import Collection, Sequence
from typing import Protocol

from shallotgate.query._digests import rank_targets
from shallotgate.query._dispatcher import AttemptDispatcher
from shallotgate.routing import Candidate, ReplicaChooser, leave_out, prefer

# Targets slower than the median by this factor are not used for screening,
# since every query with new content waits for the screening attempt.
_SLOW_FACTOR = 3

# Limit on the targets that may run unproven content.
_MAX_EXPOSED = 2


class TargetSelector(Protocol):
    """Selects a target from the candidates of a shard."""

    # Whether the attempts carry unproven content.
    screening: bool
    # Id of the trial that attempts run under, or empty.
    trial: str

    def select(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        *,
        warm_only: bool,
    ) -> Candidate | None:
        """Return a target, or None if no candidate is eligible."""

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return whether no target can become eligible by waiting."""


class AnyReplicaSelector:
    """Selects any replica by load and latency; for proven content."""

    screening = False
    trial = ''

    def __init__(self, chooser: ReplicaChooser) -> None:
        self._chooser = chooser

    def select(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        *,
        warm_only: bool,
    ) -> Candidate | None:
        """Return the target that the replica chooser selects."""
        return self._chooser.choose(candidates, excluded, warm_only=warm_only)

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return False, since replicas may recover at any time."""
        return False


class ScreeningSelector:
    """Selects at most two targets, in the order of rendezvous hashing.

    The two targets are in different failure domains if possible: content is
    quarantined when both are lost, and the failure of a single domain must
    not cause that.
    """

    screening = True
    trial = ''

    def __init__(
        self,
        digest: str,
        dispatcher: AttemptDispatcher,
        lost_domains: Collection[str] = (),
    ) -> None:
        self._digest = digest
        self._dispatcher = dispatcher
        # Domains of lost targets that may have been running the content.
        self._lost_domains = frozenset(lost_domains)

    def select(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        *,
        warm_only: bool,
    ) -> Candidate | None:
        """Return the highest-ranked target that is not excluded."""
        if self.is_exhausted(excluded):
            return None
        # Free capacity is ignored here: instances would arrive at different
        # orders, and more targets would run unproven content.
        others = self._prefer_other_domains(leave_out(candidates, excluded))
        allowed = {
            one.target: one
            for one in _prefer_quick(others)
            if not (warm_only and one.observation.is_cold())
        }
        ranked = rank_targets(self._digest, allowed)
        return allowed[ranked[0]] if ranked else None

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return whether the limit of targets has been reached."""
        return len(self._dispatcher.exposed_domains) >= _MAX_EXPOSED

    def _prefer_other_domains(
        self,
        candidates: Sequence[Candidate],
    ) -> Sequence[Candidate]:
        reached = {
            *self._lost_domains,
            *self._dispatcher.exposed_domains.values(),
        }
        return prefer(candidates, lambda one: one.domain not in reached)


def _prefer_quick(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Leave out slow and cold targets if others remain.

    Owners report the same latencies to all entries, so that all entries rank
    the same candidates.
    """
    reported = [one.observation.reported_latency_ms() for one in candidates]
    known = [latency_ms for latency_ms in reported if latency_ms]
    if not known:
        return candidates
    limit_ms = statistics.median(known) * _SLOW_FACTOR
    return prefer(
        candidates,
        lambda one: (
            one.observation.reported_latency_ms() <= limit_ms
            and not one.observation.is_cold()
        ),
    )


class TrialSelector:
    """Selects the only target of a granted trial."""

    screening = True

    def __init__(self, candidate: Candidate, trial: str) -> None:
        self._candidate = candidate
        self.trial = trial

    def select(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        *,
        warm_only: bool,
    ) -> Candidate | None:
        """Return the target of the trial; trials are never hedged."""
        is_excluded = self._candidate.target in excluded
        return None if warm_only or is_excluded else self._candidate

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return whether the target of the trial is excluded."""
        return self._candidate.target in excluded
