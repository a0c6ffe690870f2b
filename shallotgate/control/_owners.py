"""Decisions on moves and grants of targets."""

import math
import operator
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from shallotgate.control._owner_index import OwnerIndex
from shallotgate.control._placement import Placement
from shallotgate.control._ranking import OwnerCandidate
from shallotgate.control._sessions import SessionSnapshot
from shallotgate.control._tracker import OwnerTracker
from shallotgate.generated.catalogue import Catalogue
from shallotgate.generated.messages import (
    InstanceRecord,
    Owner,
    OwnerGrant,
    OwnerMove,
    Ownership,
)
from shallotgate.invariants import check
from shallotgate.membership import TargetPlace
from shallotgate.state import AppliedState, TierState

# Targets without an owner are granted when the instances have had the time
# for two heartbeats, so that the first one doesn't get them all.
_FIRST_GRANTS_S = 1.0
# Moves and grants in one step. The record of recent changes holds 8,192 names.
BATCH = 2000
# Targets that move at one time for no pressing reason.
_MOVING_SHARE = 0.05
_NOBODY = Owner(instance='', start_id='')


@dataclass(frozen=True)
class OwnerPlan:
    """What to propose in one step."""

    # The state on which it was decided.
    applied: AppliedState
    moves: tuple[OwnerMove, ...] = ()
    grants: tuple[OwnerGrant, ...] = ()
    # Whether the next step should follow soon.
    has_more_work: bool = False


@dataclass(frozen=True)
class _Moment:
    """All that one step is decided on."""

    sessions: SessionSnapshot
    index: OwnerIndex
    placement: Placement
    # Entries that may own targets.
    candidates: frozenset[Owner]
    # Entries with a lease.
    live: frozenset[Owner]

    def is_live(self, owned: Ownership) -> bool:
        """Return whether the owner has a lease."""
        return self.index.owners[owned.target] in self.live

    def is_idle(self, owned: Ownership) -> bool:
        """Return whether the owner does nothing for the target any more."""
        if owned.target not in self.placement.places:
            return True
        owner = self.index.owners[owned.target]
        if owner in self.candidates:
            # It holds what it is granted, whatever it has said of an earlier
            # opening of the target.
            return False
        is_released = self.sessions.find_release(owned) is not None
        return is_released or self.sessions.is_lost(owner)


def _get_owner(owned: Ownership) -> Owner:
    return Owner(instance=owned.instance, start_id=owned.start_id)


class _EntryReader:
    """Reads the live entries; makes new objects only when they change."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], OwnerCandidate] = {}
        self.candidates: tuple[OwnerCandidate, ...] = ()
        # Owners among the candidates, and all with a lease.
        self.owners: frozenset[Owner] = frozenset()
        self.live: frozenset[Owner] = frozenset()
        self._live: list[OwnerCandidate] = []

    def read(self, catalogue: Catalogue, sessions: SessionSnapshot) -> None:
        """Find the entries with a lease and those that may own targets."""
        drained = {
            name
            for name, domain in catalogue.domains.items()
            if domain.taken_out and domain.drain_entries
        }
        live = []
        candidates = []
        for session in sessions.list_live():
            entry = self._find(session.record)
            live.append(entry)
            record = session.record
            is_ready = record.readiness == 'ready' and 'entry' in record.roles
            if is_ready and record.domain not in drained:
                candidates.append(entry)
        # Equal lists hold the same objects, so that this takes no hashing.
        if live != self._live:
            self._live = live
            self.live = frozenset(one.owner for one in live)
            self._known = {
                (one.owner.instance, one.owner.start_id): one for one in live
            }
        candidates.sort(key=operator.attrgetter('owner.instance'))
        if candidates != list(self.candidates):
            self.candidates = tuple(candidates)
            self.owners = frozenset(one.owner for one in candidates)

    def _find(self, record: InstanceRecord) -> OwnerCandidate:
        key = (record.instance, record.start_id)
        known = self._known.get(key)
        if known is None or known.domain != record.domain:
            owner = Owner(instance=key[0], start_id=key[1])
            known = OwnerCandidate(owner, record.domain)
        return known


class OwnerPlanner:
    """Plans moves and grants from the applied state and the sessions.

    A target is moved at once when its owner is lost, and soon when its owner
    leaves or its domain is drained. Other moves, which only improve the
    spread, are limited to a share of the targets at one time and wait until
    every instance that may have a lease was heard. A target is granted on
    when its owner has released it or can no longer hold it.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._tracker = OwnerTracker(clock)
        self._entries = _EntryReader()

    def plan(self, state: TierState, sessions: SessionSnapshot) -> OwnerPlan:
        """Return the moves and grants to propose now.

        It holds ``BATCH`` of each at most, so that one record stays small and
        the record of recent changes reaches back over it.
        """
        tracker = self._tracker
        entries = self._entries
        entries.read(state.read().catalogue, sessions)
        if not tracker.follow(state, entries.candidates):
            return OwnerPlan(applied=state.read(), has_more_work=True)
        if sessions.all_heard:
            tracker.improve(sessions.now)
        moment = _Moment(
            sessions=sessions,
            index=tracker.index,
            placement=tracker.placement,
            candidates=entries.owners,
            live=entries.live,
        )
        moves = tuple(islice(self._plan_moves(moment), BATCH))
        grants = tuple(islice(self._plan_grants(moment), BATCH))
        return OwnerPlan(
            moves=moves,
            grants=grants,
            applied=tracker.applied,
            has_more_work=tracker.has_more_work
            or BATCH in {len(moves), len(grants)},
        )

    def _plan_moves(self, moment: _Moment) -> Iterator[OwnerMove]:
        index = moment.index
        unlisted = index.unlisted - index.moving
        for removed in _list_owned(index, unlisted):
            yield _make_move(removed)
        pressing = []
        for owned in self._list_abandoned(moment):
            if moment.is_idle(owned):
                yield _make_move(owned)
            elif moment.candidates and moment.is_live(owned):
                # With nobody to take it over, a target stays where it is.
                pressing.append(owned)
        limiter = _MoveLimiter(moment)
        yield from limiter.choose_pressing(pressing)
        yield from limiter.choose(self._list_misplaced(moment))

    def _list_abandoned(self, moment: _Moment) -> Iterator[Ownership]:
        """Yield the held targets of owners that may own none now."""
        index = moment.index
        for owner in _sort_owners(index.by_owner.keys() - moment.candidates):
            targets = index.by_owner[owner] - index.moving
            yield from _list_owned(index, targets - index.unlisted)

    def _list_misplaced(self, moment: _Moment) -> Sequence[Ownership]:
        """Return the targets to move, those to entries with few first.

        Two that change places would otherwise take the fuller entry above its
        bound.
        """
        if not moment.sessions.all_heard:
            return ()
        index = moment.index
        found = []
        for owned in _list_owned(index, index.misplaced):
            wanted = moment.placement.get(owned.target)
            is_staying = index.owners[owned.target] in moment.candidates
            if wanted is not None and is_staying:
                found.append((len(index.by_owner.get(wanted, ())), owned))
        found.sort(key=operator.itemgetter(0))
        return [misplaced for _, misplaced in found]

    def _plan_grants(self, moment: _Moment) -> Iterator[OwnerGrant]:
        index = moment.index
        for owned in _list_owned(index, index.moving):
            yield from self._plan_regrant(owned, moment)
        sessions = moment.sessions
        if sessions.now < sessions.elected_at + _FIRST_GRANTS_S:
            return
        for target in index.ready:
            owner = moment.placement.get(target)
            if owner is not None:
                yield OwnerGrant(target=target, epoch=0, owner=owner)

    def _plan_regrant(
        self,
        owned: Ownership,
        moment: _Moment,
    ) -> Iterator[OwnerGrant]:
        former = moment.index.owners[owned.target]
        release = moment.sessions.find_release(owned)
        if release is None and moment.sessions.may_hold(former):
            return
        is_listed = owned.target in moment.placement.places
        owner = moment.placement.get(owned.target) if is_listed else _NOBODY
        if owner is not None:
            yield OwnerGrant(
                target=owned.target,
                epoch=owned.epoch,
                owner=owner,
                learnt=None if release is None else release.learnt,
            )


def _list_owned(
    index: OwnerIndex,
    targets: Iterable[str],
) -> Iterator[Ownership]:
    for target in sorted(targets):
        yield index.ownership[target]


def _sort_owners(owners: Iterable[Owner]) -> Sequence[Owner]:
    return sorted(
        owners,
        key=operator.attrgetter('instance', 'start_id'),
    )


def _make_move(owned: Ownership) -> OwnerMove:
    return OwnerMove(target=owned.target, epoch=owned.epoch)


class _MoveLimiter:
    """Keeps enough replicas of each service at work."""

    def __init__(self, moment: _Moment) -> None:
        self._moment = moment
        # Replicas with a working owner, for the services that were asked for.
        self._serving: dict[str, int] = {}
        share = math.ceil(len(moment.placement.places) * _MOVING_SHARE)
        self._budget = max(share - len(moment.index.moving), 0)

    def choose_pressing(
        self,
        pressing: Iterable[Ownership],
    ) -> Iterator[OwnerMove]:
        """Yield the moves that may begin now, whatever their number."""
        for owned in pressing:
            if self._take_replica(owned):
                yield _make_move(owned)

    def choose(self, optional: Iterable[Ownership]) -> Iterator[OwnerMove]:
        """Yield the moves that may begin now and fit into the share."""
        for owned in optional:
            if self._budget <= 0:
                return
            if self._take_replica(owned):
                self._budget -= 1
                yield _make_move(owned)

    def _take_replica(self, owned: Ownership) -> bool:
        place = self._moment.placement.places[owned.target]
        name = place.service_name
        serving = self._serving.get(name)
        if serving is None:
            serving = self._count_serving(place)
        is_single = len(place.service.targets) == 1
        is_taken = serving > 1 or is_single
        self._serving[name] = serving - int(is_taken)
        return is_taken

    def _count_serving(self, place: TargetPlace) -> int:
        """Return how many replicas of a service have a working owner."""
        index = self._moment.index
        owned = [
            index.ownership.get(target.name) for target in place.service.targets
        ]
        return sum(
            one is not None
            and one.state == 'held'
            and not self._moment.is_idle(one)
            for one in owned
        )


def check_grant(
    grant: OwnerGrant,
    state: AppliedState,
    sessions: SessionSnapshot,
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
