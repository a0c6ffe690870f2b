"""Decisions on moves and grants of targets."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from shallotgate.control._assignment import Candidate, assign_owners
from shallotgate.control._sessions import SessionView
from shallotgate.generated.catalogue import Catalogue
from shallotgate.generated.messages import (
    Owner,
    OwnerGrant,
    OwnerMove,
    Ownership,
)
from shallotgate.invariants import check
from shallotgate.membership import TargetPlace, list_places
from shallotgate.state import AppliedState

# Targets without an owner are granted when the instances have had the time
# for two heartbeats, so that the first one doesn't get them all.
_FIRST_GRANTS_S = 1.0
# Targets that move at one time for no pressing reason.
_MOVING_SHARE = 0.05
_NOBODY = Owner(instance='', start_id='')


@dataclass(frozen=True)
class OwnerPlan:
    """What to propose in one step."""

    moves: tuple[OwnerMove, ...]
    grants: tuple[OwnerGrant, ...]


@dataclass(frozen=True)
class _Moment:
    """All that one step is decided on."""

    sessions: SessionView
    state: AppliedState
    places: Mapping[str, TargetPlace]
    # Owners that should have the targets.
    wanted: Mapping[str, Owner]
    # Entries that may own targets.
    candidates: frozenset[Owner]
    # Entries with a lease.
    live: frozenset[Owner]


@dataclass(frozen=True)
class _Assigned:
    """An assignment, which stays the aim until targets or entries change.

    If it was made anew from each owner that has changed, then two targets that
    should change places could follow each other to and fro for ever, because
    they are not moved at the same moment.
    """

    places: Mapping[str, TargetPlace]
    candidates: tuple[Candidate, ...]
    wanted: Mapping[str, Owner]

    def is_for(
        self,
        places: Mapping[str, TargetPlace],
        candidates: tuple[Candidate, ...],
    ) -> bool:
        """Return whether it was made for these targets and entries."""
        return self.places is places and self.candidates == candidates


def _get_owner(owned: Ownership) -> Owner:
    return Owner(instance=owned.instance, start_id=owned.start_id)


def _list_candidates(
    catalogue: Catalogue,
    sessions: SessionView,
) -> tuple[Candidate, ...]:
    drained = {
        name
        for name, domain in catalogue.domains.items()
        if domain.taken_out and domain.drain_entries
    }
    candidates = []
    for session in sessions.list_live():
        record = session.record
        is_ready = record.readiness == 'ready' and 'entry' in record.roles
        if is_ready and record.domain not in drained:
            candidates.append(Candidate(session.owner, record.domain))
    return tuple(sorted(candidates, key=lambda entry: entry.owner.instance))


class OwnerPlanner:
    """Plans moves and grants from the applied state and the sessions.

    A target is moved at once when its owner is lost, and soon when its owner
    leaves or its domain is drained. Other moves, which only improve the
    spread, are limited to a share of the targets at one time and wait until
    every instance that may have a lease was heard. A target is granted on
    when its owner has released it or can no longer hold it.
    """

    def __init__(self) -> None:
        self._placed: tuple[Catalogue, Mapping[str, TargetPlace]] | None = None
        self._assigned: _Assigned | None = None

    def plan(self, state: AppliedState, sessions: SessionView) -> OwnerPlan:
        """Return the moves and grants to propose now."""
        places = self._list_places(state.catalogue)
        candidates = _list_candidates(state.catalogue, sessions)
        moment = _Moment(
            sessions=sessions,
            state=state,
            places=places,
            wanted=self._assign(state, places, candidates),
            candidates=frozenset(entry.owner for entry in candidates),
            live=frozenset(entry.owner for entry in sessions.list_live()),
        )
        return OwnerPlan(
            moves=tuple(self._plan_moves(moment)),
            grants=tuple(self._plan_grants(moment)),
        )

    def _assign(
        self,
        state: AppliedState,
        places: Mapping[str, TargetPlace],
        candidates: tuple[Candidate, ...],
    ) -> Mapping[str, Owner]:
        former = self._assigned
        if former is not None and former.is_for(places, candidates):
            return former.wanted
        present = {
            target: _get_owner(owned)
            for target, owned in state.ownership.items()
        }
        wanted = assign_owners(places, candidates, present)
        self._assigned = _Assigned(places, candidates, wanted)
        return wanted

    def _list_places(
        self,
        catalogue: Catalogue,
    ) -> Mapping[str, TargetPlace]:
        if self._placed is None or self._placed[0] is not catalogue:
            self._placed = (catalogue, list_places(catalogue))
        return self._placed[1]

    def _plan_moves(self, moment: _Moment) -> Iterator[OwnerMove]:
        pressing = []
        optional = []
        for owned in moment.state.ownership.values():
            if owned.state == 'moving':
                continue
            if self._is_idle(owned, moment):
                yield OwnerMove(target=owned.target, epoch=owned.epoch)
            elif self._is_leaving(owned, moment):
                pressing.append(owned)
            elif self._is_misplaced(owned, moment):
                optional.append(owned)
        # Moves to entries with few targets come first: two that change places
        # would otherwise take the fuller one above its bound.
        loads = Counter(
            map(_get_owner, moment.state.ownership.values()),
        )
        optional.sort(key=lambda entry: loads[moment.wanted[entry.target]])
        limiter = _MoveLimiter(moment, self._count_serving(moment))
        yield from limiter.choose(pressing, optional)

    def _is_idle(self, owned: Ownership, moment: _Moment) -> bool:
        """Return whether the owner does nothing for the target any more."""
        if owned.target not in moment.places:
            return True
        owner = _get_owner(owned)
        if owner in moment.candidates:
            # It holds what it is granted, whatever it has said of an earlier
            # opening of the target.
            return False
        is_released = moment.sessions.find_release(owned) is not None
        return is_released or moment.sessions.is_lost(owner)

    def _is_leaving(self, owned: Ownership, moment: _Moment) -> bool:
        owner = _get_owner(owned)
        if owner in moment.candidates or not moment.candidates:
            # With nobody to take it over, a target stays where it is.
            return False
        return owner in moment.live

    def _is_misplaced(self, owned: Ownership, moment: _Moment) -> bool:
        wanted = moment.wanted.get(owned.target)
        return (
            moment.sessions.all_heard
            and wanted is not None
            and wanted != _get_owner(owned)
        )

    def _count_serving(self, moment: _Moment) -> Counter[str]:
        """Return how many replicas of each service have a working owner."""
        serving: Counter[str] = Counter()
        for owned in moment.state.ownership.values():
            place = moment.places.get(owned.target)
            if place is None or owned.state == 'moving':
                continue
            if not self._is_idle(owned, moment):
                serving[place.service_name] += 1
        return serving

    def _plan_grants(self, moment: _Moment) -> Iterator[OwnerGrant]:
        for owned in moment.state.ownership.values():
            if owned.state == 'moving':
                yield from self._plan_regrant(owned, moment)
        sessions = moment.sessions
        if sessions.now < sessions.elected_at + _FIRST_GRANTS_S:
            return
        for target, owner in moment.wanted.items():
            if target not in moment.state.ownership:
                yield OwnerGrant(target=target, epoch=0, owner=owner)

    def _plan_regrant(
        self,
        owned: Ownership,
        moment: _Moment,
    ) -> Iterator[OwnerGrant]:
        former = _get_owner(owned)
        release = moment.sessions.find_release(owned)
        if release is None and moment.sessions.may_hold(former):
            return
        is_listed = owned.target in moment.places
        owner = moment.wanted.get(owned.target) if is_listed else _NOBODY
        if owner is not None:
            yield OwnerGrant(
                target=owned.target,
                epoch=owned.epoch,
                owner=owner,
                learnt=None if release is None else release.learnt,
            )


class _MoveLimiter:
    """Keeps enough replicas of each service at work."""

    def __init__(self, moment: _Moment, serving: Counter[str]) -> None:
        self._moment = moment
        self._serving = serving
        ownership = moment.state.ownership
        moving = sum(owned.state == 'moving' for owned in ownership.values())
        share = math.ceil(len(moment.places) * _MOVING_SHARE)
        self._budget = max(share - moving, 0)

    def choose(
        self,
        pressing: list[Ownership],
        optional: list[Ownership],
    ) -> Iterator[OwnerMove]:
        """Yield the moves that may begin now."""
        for owned in pressing:
            if self._take_replica(owned):
                yield OwnerMove(target=owned.target, epoch=owned.epoch)
        for owned in optional:
            if self._budget > 0 and self._take_replica(owned):
                self._budget -= 1
                yield OwnerMove(target=owned.target, epoch=owned.epoch)

    def _take_replica(self, owned: Ownership) -> bool:
        place = self._moment.places[owned.target]
        name = place.service_name
        is_single = len(place.service.targets) == 1
        if self._serving[name] <= 1 and not is_single:
            return False
        self._serving[name] -= 1
        return True


def check_grant(
    grant: OwnerGrant,
    state: AppliedState,
    sessions: SessionView,
) -> bool:
    """Check before it is proposed that nobody else may hold the target.

    A former owner that comes back after this moment can't dispatch either:
    its new lease waits for the version in which the target is moving.
    """
    owned = state.ownership.get(grant.target)
    if owned is None:
        return True
    is_released = sessions.find_release(owned) is not None
    is_free = is_released or not sessions.may_hold(_get_owner(owned))
    return check(
        is_free and owned.state == 'moving',
        'owner-granted-while-held',
        owned=owned,
        grant=grant,
    )
