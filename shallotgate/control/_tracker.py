"""The assignment, kept up to date with the state and the live entries."""

import operator
import time
from collections import deque
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import TypeVar

from shallotgate.control._assignment import MAX_ROUNDS, Assignment
from shallotgate.control._owner_index import OwnerIndex
from shallotgate.control._placement import Placement
from shallotgate.control._ranking import OwnerCandidate
from shallotgate.generated.catalogue import Service
from shallotgate.generated.messages import Owner, Versions
from shallotgate.membership import TargetPlace
from shallotgate.state import AppliedState, StateChanges, TierState

# Longest work at one time. The interpreter answers heartbeats between slices.
SLICE_S = 0.02
# Improvements without a cause in the targets' own services run this seldom,
# which is 4% of a core.
_SWEEP_PERIOD_S = 0.4

_Item = TypeVar('_Item')


class OwnerTracker:
    """Follows the state and the entries in slices of bounded length.

    A service is assigned anew when its targets or owners change, or when an
    entry that it was assigned to is gone. All services are gone through after
    the live entries have changed, and by a new leader.

    An assignment stays the aim until then. If it was made anew from each owner
    that has changed, two targets that should change places could follow each
    other to and fro for ever, because they are not moved at the same moment.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.placement = Placement()
        self.index = OwnerIndex(self.placement)
        self._assignment = Assignment(self.placement)
        self.applied = TierState().read()
        self._versions: Versions | None = None
        self._loading: Iterator[None] | None = None
        self._candidates: frozenset[OwnerCandidate] = frozenset()
        self._listed: Sequence[OwnerCandidate] | None = None
        # Entries that have joined or gone.
        self._changed: deque[Owner] = deque()
        # Services that wait for owners, as an ordered set.
        self._urgent: dict[str, None] = {}
        self._sweep: deque[str] = deque()
        self._rounds_left = 0
        self._swept_at = float('-inf')
        self._has_moved = False

    @property
    def has_more_work(self) -> bool:
        """Whether the next slice should follow soon."""
        return bool(self._loading or self._changed or self._can_choose)

    @property
    def _can_choose(self) -> bool:
        return bool(self._urgent and self._candidates)

    def follow(
        self,
        state: TierState,
        candidates: Sequence[OwnerCandidate],
    ) -> bool:
        """Take over what changed; return whether all of it is known."""
        ends_at = self._clock() + SLICE_S
        if not self._catch_up(state, ends_at):
            return False
        self._change_candidates(candidates)
        for owner in self._drain(self._changed, ends_at):
            self._change_owner(owner)
        while self._can_choose and self._clock() < ends_at:
            service = next(iter(self._urgent))
            self._urgent.pop(service)
            self._assignment.fill(service)
            self._assignment.improve_service(service)
        self._refresh_moved()
        return True

    def improve(self, now: float) -> None:
        """Go on through all services, for one slice."""
        if self.has_more_work or now < self._swept_at + _SWEEP_PERIOD_S:
            return
        self._swept_at = now
        ends_at = self._clock() + SLICE_S
        while self._rounds_left > 0 and self._clock() < ends_at:
            for service in self._drain(self._sweep, ends_at):
                self._assignment.fill(service)
                if self._assignment.improve_service(service):
                    self._has_moved = True
            if not self._sweep:
                self._end_round()
        self._refresh_moved()

    def _end_round(self) -> None:
        self._rounds_left -= 1
        if not self._has_moved:
            self._rounds_left = 0
        if self._rounds_left > 0:
            self._sweep.extend(sorted(self.placement.services))
            self._has_moved = False

    def _start_sweep(self) -> None:
        # A round that is under way goes on, so that frequent changes don't
        # keep the last services from their turn; another one follows it.
        self._rounds_left = MAX_ROUNDS
        self._has_moved = True
        if not self._sweep:
            self._sweep.extend(sorted(self.placement.services))

    def _catch_up(self, state: TierState, ends_at: float) -> bool:
        if self._loading is None and self._follow_changes(state):
            return True
        if self._loading is None:
            self._loading = self._load(state.read())
        for _ in self._loading:
            if self._clock() >= ends_at:
                return False
        self._loading = None
        return self._follow_changes(state)

    def _follow_changes(self, state: TierState) -> bool:
        """Take over differences; return whether they reached back so far."""
        if self._versions is None:
            return False
        changes = state.list_changes(self._versions)
        if changes.catalogue is None or changes.ownership is None:
            self._versions = None
            return False
        self._versions = changes.applied.versions
        self.applied = changes.applied
        self.index.ownership = changes.applied.ownership
        touched = set(changes.ownership)
        touched |= self._follow_services(changes)
        self.index.update(touched)
        self._note_waiting(touched)
        return True

    def _follow_services(self, changes: StateChanges) -> set[str]:
        names = sorted(
            name for kind, name in changes.catalogue or () if kind == 'services'
        )
        if not names:
            return set()
        placement = self.placement
        places = {
            place.target.name: place
            for name in names
            for place in placement.list_places(name)
        }
        # A target may move from one changed service to another, so that all
        # former services are removed before the new ones are put.
        aims = {target: placement.get(target) for target in places}
        for removed in names:
            placement.remove_service(removed)
        for name in names:
            service = changes.applied.catalogue.services.get(name)
            if service is None:
                continue
            present = {
                target.name: aims.get(target.name)
                or self.index.owners.get(target.name)
                for target in service.targets
            }
            placement.put_service(name, _list_places(name, service), present)
            self._urgent[name] = None
        if placement.update_limits():
            self._start_sweep()
        return {*places, *placement.moved}

    def _load(self, applied: AppliedState) -> Iterator[None]:
        """Take over the whole state; yields after each entry."""
        self.placement = Placement()
        self.index = OwnerIndex(self.placement)
        self._assignment = Assignment(self.placement)
        self._candidates = frozenset()
        self._listed = None
        self._changed.clear()
        self._urgent.clear()
        self._sweep.clear()
        for name, service in applied.catalogue.services.items():
            places = _list_places(name, service)
            self.placement.put_service(name, places, {})
            yield
        self.index.ownership = applied.ownership
        for target in applied.ownership:
            self.index.update((target,))
            yield
        # All targets are sorted below.
        self.placement.moved.clear()
        for placed in tuple(self.placement.places):
            self.index.refresh(placed)
            self._note_waiting((placed,))
            yield
        self.placement.update_limits()
        self._start_sweep()
        self._versions = applied.versions

    def _change_candidates(self, candidates: Sequence[OwnerCandidate]) -> None:
        if candidates is self._listed:
            return
        self._listed = candidates
        present = frozenset(candidates)
        former = self._candidates
        self._candidates = present
        self.placement.change_candidates(candidates)
        self._changed.extend(
            candidate.owner
            for candidate in sorted(
                former ^ present,
                key=operator.attrgetter(
                    'owner.instance',
                    'owner.start_id',
                ),
            )
        )
        # What was chosen and not granted yet is spread over those who joined.
        self._note_waiting(self.index.moving | self.index.ready)
        self._start_sweep()

    def _change_owner(self, owner: Owner) -> None:
        """Leave an entry what it owns, or find others if it is gone."""
        if owner in self.placement.by_owner:
            self._assignment.adopt(owner, self.index.by_owner.get(owner, ()))
            return
        for service in sorted(self._assignment.release(owner)):
            self._urgent[service] = None

    def _note_waiting(self, targets: Collection[str]) -> None:
        for target in targets:
            place = self.placement.places.get(target)
            if place is not None and self.index.is_waiting(target):
                self._urgent[place.service_name] = None

    def _drain(self, queue: deque[_Item], ends_at: float) -> Iterator[_Item]:
        while queue and self._clock() < ends_at:
            yield queue.popleft()

    def _refresh_moved(self) -> None:
        for target in self.placement.moved:
            self.index.refresh(target)
        self.placement.moved.clear()


def _list_places(name: str, service: Service) -> Sequence[TargetPlace]:
    return [TargetPlace(name, service, target) for target in service.targets]
