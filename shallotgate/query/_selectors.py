"""Ways to selector the target of an attempt."""

import statistics
from collections.abc import Collection, Sequence
from typing import Protocol

from shallotgate.query._digests import rank_targets
from shallotgate.query._dispatcher import AttemptDispatcher
from shallotgate.routing import Candidate, ReplicaChooser, leave_out, prefer

# A target slower than the median by this factor screens nothing: each query
# with new content waits for its screening.
_SLOW_FACTOR = 3

# Content that is not proven may reach no more targets.
_MAX_EXPOSED = 2


class TargetSelector(Protocol):
    """Picks a target among a shard's candidates."""

    # Whether the content of attempts is unproven.
    screening: bool
    # Trial that attempts run under, or empty.
    trial: str

    def select(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        *,
        warm_only: bool,
    ) -> Candidate | None:
        """Return a target, None if none may get the attempt."""

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return whether waiting gives no target either."""


class AnyReplicaSelector:
    """The chooser's word: any replica may run proven content."""

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
        """Return the chooser's choice."""
        return self._chooser.choose(candidates, excluded, warm_only=warm_only)

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Other replicas may come back at any time."""
        return False


class ScreeningSelector:
    """In the order of rendezvous hashing, at most two targets in all.

    The two are in different failure domains where the candidates are: if
    both are lost, the content is quarantined, and the crash of one domain
    must not cause that.
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
        # Domains of lost targets on which it may have been in flight.
        self._lost_domains = frozenset(lost_domains)

    def select(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        *,
        warm_only: bool,
    ) -> Candidate | None:
        """Return the first target of the order that is not excluded."""
        if self.is_exhausted(excluded):
            return None
        # Unlike for proven content room doesn't count: entries would come to
        # different orders, and more targets would run unproven content.
        others = self._prefer_other_domains(leave_out(candidates, excluded))
        allowed = {
            one.target: one
            for one in _prefer_quick(others)
            if not (warm_only and one.observation.is_cold())
        }
        ranked = rank_targets(self._digest, allowed)
        return allowed[ranked[0]] if ranked else None

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return whether two targets may have run the content."""
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

    Owners report latencies to all entries, so that these agree on the order
    of what is left.
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
    """The one target of a granted trial."""

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
        """Return the target of the trial; a trial is never hedged."""
        is_excluded = self._candidate.target in excluded
        return None if warm_only or is_excluded else self._candidate

    def is_exhausted(self, excluded: Collection[str]) -> bool:
        """Return whether the target of the trial gave no usable reply."""
        return self._candidate.target in excluded
