"""Planning of moves and grants of targets."""

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

# Delay after an election until unowned targets are granted. It leaves instances
# the time for two heartbeats, so that the first one doesn't get all targets.
_FIRST_GRANT_DELAY_S = 1.0
# Most moves and most grants in one step. It stays well below the 8,192 names
# that the log of recent changes holds.
MAX_BATCH = 2000
# Largest share of the targets that may be in optional moves at one time.
_MAX_MOVING_SHARE = 0.05
_NO_OWNER = Owner(instance='', start_id='')


@dataclass(frozen=True)
class OwnerPlan:
    """Moves and grants to propose in one step."""

    # Applied state on which the plan is based.
    applied: AppliedState
    moves: tuple[OwnerMove, ...] = ()
    grants: tuple[OwnerGrant, ...] = ()
    # Whether the next step should follow soon.
    has_more_work: bool = False


@dataclass(frozen=True)
class _PlanningContext:
    """Input of one planning step."""

    sessions: SessionSnapshot
    index: OwnerIndex
    placement: Placement
    # Entries that may own targets.
    candidates: frozenset[Owner]
    # Entries with a valid lease.
    live: frozenset[Owner]

    def is_live(self, owned: Ownership) -> bool:
        """Return whether the owner has a valid lease."""
        return self.index.owners_by_target[owned.target] in self.live

    def is_idle(self, owned: Ownership) -> bool:
        """Return whether the owner no longer serves the target."""
        if owned.target not in self.placement.places:
            return True
        owner = self.index.owners_by_target[owned.target]
        if owner in self.candidates:
            # A candidate serves what it is granted; a release that it sent may
            # refer to an earlier grant of the target.
            return False
        is_released = self.sessions.find_release(owned) is not None
        return is_released or self.sessions.is_lost(owner)


def _get_owner(owned: Ownership) -> Owner:
    return Owner(instance=owned.instance, start_id=owned.start_id)


class _EntryCache:
    """Reads the live entries; creates new objects only when they change."""

    def __init__(self) -> None:
        self._entries_by_id: dict[tuple[str, str], OwnerCandidate] = {}
        self.candidates: tuple[OwnerCandidate, ...] = ()
        # Candidates as owners, and all entries with a lease as owners.
        self.owners: frozenset[Owner] = frozenset()
        self.live: frozenset[Owner] = frozenset()
        self._live: list[OwnerCandidate] = []

    def read(self, catalogue: Catalogue, sessions: SessionSnapshot) -> None:
        """Update the entries with a lease and those that may own targets."""
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
        # Unchanged lists hold identical objects, so this comparison is fast and
        # doesn't hash.
        if live != self._live:
            self._live = live
            self.live = frozenset(entry.owner for entry in live)
            self._entries_by_id = {
                (entry.owner.instance, entry.owner.start_id): entry
                for entry in live
            }
        candidates.sort(key=operator.attrgetter('owner.instance'))
        if candidates != list(self.candidates):
            self.candidates = tuple(candidates)
            self.owners = frozenset(entry.owner for entry in candidates)

    def _find(self, record: InstanceRecord) -> OwnerCandidate:
        key = (record.instance, record.start_id)
        known = self._entries_by_id.get(key)
        if known is None or known.domain != record.domain:
            owner = Owner(instance=key[0], start_id=key[1])
            known = OwnerCandidate(owner, record.domain)
        return known


class OwnerPlanner:
    """Plans moves and grants from the applied state and the sessions.

    A target is moved at once if its owner is lost. If its owner leaves or its
    domain is drained, it is moved once another replica of its service is
    served, or at once if it is the only replica. Other moves, which only
    improve the distribution, are limited to a share of the targets at one time
    and wait until all leases are known. A moving target is granted to its next
    owner once the former owner has released it or can no longer hold it.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._tracker = OwnerTracker(clock)
        self._entry_cache = _EntryCache()

    def plan(self, state: TierState, sessions: SessionSnapshot) -> OwnerPlan:
        """Return the moves and grants to propose now.

        It holds at most ``MAX_BATCH`` of each, so that one log record stays
        small and the log of recent changes covers it.
        """
        tracker = self._tracker
        entries = self._entry_cache
        entries.read(state.read().catalogue, sessions)
        if not tracker.sync(state, entries.candidates):
            return OwnerPlan(applied=state.read(), has_more_work=True)
        if sessions.are_leases_known:
            tracker.improve(sessions.now)
        context = _PlanningContext(
            sessions=sessions,
            index=tracker.index,
            placement=tracker.placement,
            candidates=entries.owners,
            live=entries.live,
        )
        moves = tuple(islice(self._plan_moves(context), MAX_BATCH))
        grants = tuple(islice(self._plan_grants(context), MAX_BATCH))
        return OwnerPlan(
            moves=moves,
            grants=grants,
            applied=tracker.applied,
            has_more_work=tracker.has_more_work
            or MAX_BATCH in {len(moves), len(grants)},
        )

    def _plan_moves(self, context: _PlanningContext) -> Iterator[OwnerMove]:
        index = context.index
        unlisted = index.unlisted - index.moving
        for removed in _list_owned(index, unlisted):
            yield _make_move(removed)
        urgent = []
        for owned in self._list_orphaned(context):
            if context.is_idle(owned):
                yield _make_move(owned)
            elif context.candidates and context.is_live(owned):
                # Without a candidate to take over, a target keeps its owner.
                urgent.append(owned)
        limiter = _MoveLimiter(context)
        yield from limiter.choose_urgent(urgent)
        yield from limiter.choose(self._list_misplaced(context))

    def _list_orphaned(self, context: _PlanningContext) -> Iterator[Ownership]:
        """Yield the held targets of owners that are no longer candidates."""
        index = context.index
        for owner in _sort_owners(
            index.targets_by_owner.keys() - context.candidates
        ):
            targets = index.targets_by_owner[owner] - index.moving
            yield from _list_owned(index, targets - index.unlisted)

    def _list_misplaced(self, context: _PlanningContext) -> Sequence[Ownership]:
        """Return the targets to move, by ascending load of their new owner.

        Otherwise a swap of two targets could take the more loaded entry above
        its load limit.
        """
        if not context.sessions.are_leases_known:
            return ()
        index = context.index
        found = []
        for owned in _list_owned(index, index.misplaced):
            desired = context.placement.get_owner(owned.target)
            is_staying = (
                index.owners_by_target[owned.target] in context.candidates
            )
            if desired is not None and is_staying:
                found.append(
                    (len(index.targets_by_owner.get(desired, ())), owned)
                )
        found.sort(key=operator.itemgetter(0))
        return [misplaced for _, misplaced in found]

    def _plan_grants(self, context: _PlanningContext) -> Iterator[OwnerGrant]:
        index = context.index
        for owned in _list_owned(index, index.moving):
            yield from self._plan_regrant(owned, context)
        sessions = context.sessions
        if sessions.now < sessions.elected_at + _FIRST_GRANT_DELAY_S:
            return
        for target in index.grantable:
            owner = context.placement.get_owner(target)
            if owner is not None:
                yield OwnerGrant(target=target, epoch=0, owner=owner)

    def _plan_regrant(
        self,
        owned: Ownership,
        context: _PlanningContext,
    ) -> Iterator[OwnerGrant]:
        former = context.index.owners_by_target[owned.target]
        release = context.sessions.find_release(owned)
        if release is None and context.sessions.may_hold(former):
            return
        is_listed = owned.target in context.placement.places
        owner = (
            context.placement.get_owner(owned.target)
            if is_listed
            else _NO_OWNER
        )
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
    """Limits moves so that each service keeps a replica that is served.

    Services with a single replica are exempt, as they could never move.
    """

    def __init__(self, context: _PlanningContext) -> None:
        self._context = context
        # Cached number of replicas with a serving owner, by service.
        self._serving: dict[str, int] = {}
        share = math.ceil(len(context.placement.places) * _MAX_MOVING_SHARE)
        self._budget = max(share - len(context.index.moving), 0)

    def choose_urgent(
        self,
        urgent: Iterable[Ownership],
    ) -> Iterator[OwnerMove]:
        """Yield the urgent moves that may begin now, without a budget."""
        for owned in urgent:
            if self._reserve_replica(owned):
                yield _make_move(owned)

    def choose(self, optional: Iterable[Ownership]) -> Iterator[OwnerMove]:
        """Yield the optional moves that may begin now and fit the budget."""
        for owned in optional:
            if self._budget <= 0:
                return
            if self._reserve_replica(owned):
                self._budget -= 1
                yield _make_move(owned)

    def _reserve_replica(self, owned: Ownership) -> bool:
        place = self._context.placement.places[owned.target]
        name = place.service_name
        serving = self._serving.get(name)
        if serving is None:
            serving = self._count_serving(place)
        is_single = len(place.service.targets) == 1
        is_reserved = serving > 1 or is_single
        self._serving[name] = serving - int(is_reserved)
        return is_reserved

    def _count_serving(self, place: TargetPlace) -> int:
        """Return how many replicas of a service have a serving owner."""
        index = self._context.index
        owned = [
            index.ownership.get(target.name) for target in place.service.targets
        ]
        return sum(
            replica is not None
            and replica.state == 'held'
            and not self._context.is_idle(replica)
            for replica in owned
        )


def check_grant(
    grant: OwnerGrant,
    state: AppliedState,
    sessions: SessionSnapshot,
) -> bool:
    """Check before a grant is proposed that no other owner may hold the target.

    A former owner that returns after this check can't dispatch either: it only
    gets a new lease once it has the version in which the target is moving.
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
