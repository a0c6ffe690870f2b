"""Keeps the assignment up to date with the state and the live entries."""

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

# Longest uninterrupted work of the planner; heartbeats are answered between
# slices.
TIME_SLICE_S = 0.02
# Period of the sweep, which improves services whose targets didn't change. With
# one slice per period it takes 4% of a core.
_SWEEP_PERIOD_S = 0.4

_Item = TypeVar('_Item')


class OwnerTracker:
    """Tracks the state and the live entries in bounded time slices.

    A service is reassigned when its targets or owners change, or when an entry
    chosen for it is lost. All services are swept after the set of live entries
    has changed and on a new leader.

    Until then the assignment is the goal and stays unchanged. If it were
    recomputed after each change of an owner, two targets that should be swapped
    could move back and forth for ever, because they don't move simultaneously.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.placement = Placement()
        self.index = OwnerIndex(self.placement)
        self._assignment = Assignment(self.placement)
        self.applied = TierState().read()
        self._versions: Versions | None = None
        self._reload_steps: Iterator[None] | None = None
        self._candidates: frozenset[OwnerCandidate] = frozenset()
        self._last_candidates: Sequence[OwnerCandidate] | None = None
        # Entries that joined or left.
        self._changed_owners: deque[Owner] = deque()
        # Services with targets that need an owner, as an ordered set.
        self._pending_services: dict[str, None] = {}
        self._sweep_queue: deque[str] = deque()
        self._rounds_left = 0
        self._swept_at = float('-inf')
        self._has_improved = False

    @property
    def has_more_work(self) -> bool:
        """Whether the next slice should follow soon."""
        return bool(
            self._reload_steps or self._changed_owners or self._can_assign
        )

    @property
    def _can_assign(self) -> bool:
        return bool(self._pending_services and self._candidates)

    def sync(
        self,
        state: TierState,
        candidates: Sequence[OwnerCandidate],
    ) -> bool:
        """Apply changes for one time slice; return whether the state is loaded.

        While it returns false, the index is incomplete and must not be used.
        """
        ends_at = self._clock() + TIME_SLICE_S
        if not self._sync_state(state, ends_at):
            return False
        self._set_candidates(candidates)
        for owner in self._pop_until(self._changed_owners, ends_at):
            self._update_owner(owner)
        while self._can_assign and self._clock() < ends_at:
            service = next(iter(self._pending_services))
            self._pending_services.pop(service)
            self._assignment.assign_missing(service)
            self._assignment.improve_service(service)
        self._reclassify_changed()
        return True

    def improve(self, now: float) -> None:
        """Continue the sweep through all services for one time slice."""
        if self.has_more_work or now < self._swept_at + _SWEEP_PERIOD_S:
            return
        self._swept_at = now
        ends_at = self._clock() + TIME_SLICE_S
        while self._rounds_left > 0 and self._clock() < ends_at:
            for service in self._pop_until(self._sweep_queue, ends_at):
                self._assignment.assign_missing(service)
                if self._assignment.improve_service(service):
                    self._has_improved = True
            if not self._sweep_queue:
                self._end_round()
        self._reclassify_changed()

    def _end_round(self) -> None:
        self._rounds_left -= 1
        if not self._has_improved:
            self._rounds_left = 0
        if self._rounds_left > 0:
            self._sweep_queue.extend(sorted(self.placement.services))
            self._has_improved = False

    def _start_sweep(self) -> None:
        # A round in progress continues and another one follows it. Restarting
        # it on frequent changes would never reach the last services.
        self._rounds_left = MAX_ROUNDS
        self._has_improved = True
        if not self._sweep_queue:
            self._sweep_queue.extend(sorted(self.placement.services))

    def _sync_state(self, state: TierState, ends_at: float) -> bool:
        if self._reload_steps is None and self._apply_changes(state):
            return True
        if self._reload_steps is None:
            self._reload_steps = self._reload(state.read())
        for _ in self._reload_steps:
            if self._clock() >= ends_at:
                return False
        self._reload_steps = None
        return self._apply_changes(state)

    def _apply_changes(self, state: TierState) -> bool:
        """Apply the changes since the last known versions.

        Returns false if the log of recent changes doesn't reach back to them.
        """
        if self._versions is None:
            return False
        changes = state.list_changes(self._versions)
        if changes.catalogue is None or changes.ownership is None:
            self._versions = None
            return False
        self._versions = changes.applied.versions
        self.applied = changes.applied
        self.index.ownership = changes.applied.ownership
        changed_targets = set(changes.ownership)
        changed_targets |= self._apply_service_changes(changes)
        self.index.update(changed_targets)
        self._queue_ungranted(changed_targets)
        return True

    def _apply_service_changes(self, changes: StateChanges) -> set[str]:
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
        # A target may move from one changed service to another, so all changed
        # services are removed before their new definitions are added.
        desired_owners = {
            target: placement.get_owner(target) for target in places
        }
        for removed in names:
            placement.remove_service(removed)
        for name in names:
            service = changes.applied.catalogue.services.get(name)
            if service is None:
                continue
            present = {
                target.name: desired_owners.get(target.name)
                or self.index.owners_by_target.get(target.name)
                for target in service.targets
            }
            placement.add_service(name, _list_places(name, service), present)
            self._pending_services[name] = None
        if placement.update_limits():
            self._start_sweep()
        return {*places, *placement.changed_targets}

    def _reload(self, applied: AppliedState) -> Iterator[None]:
        """Load the whole state; yields after each item."""
        self.placement = Placement()
        self.index = OwnerIndex(self.placement)
        self._assignment = Assignment(self.placement)
        self._candidates = frozenset()
        self._last_candidates = None
        self._changed_owners.clear()
        self._pending_services.clear()
        self._sweep_queue.clear()
        for name, service in applied.catalogue.services.items():
            places = _list_places(name, service)
            self.placement.add_service(name, places, {})
            yield
        self.index.ownership = applied.ownership
        for target in applied.ownership:
            self.index.update((target,))
            yield
        # All targets are classified below.
        self.placement.changed_targets.clear()
        for target_name in tuple(self.placement.places):
            self.index.reclassify(target_name)
            self._queue_ungranted((target_name,))
            yield
        self.placement.update_limits()
        self._start_sweep()
        self._versions = applied.versions

    def _set_candidates(self, candidates: Sequence[OwnerCandidate]) -> None:
        if candidates is self._last_candidates:
            return
        self._last_candidates = candidates
        present = frozenset(candidates)
        former = self._candidates
        self._candidates = present
        self.placement.set_candidates(candidates)
        self._changed_owners.extend(
            candidate.owner
            for candidate in sorted(
                former ^ present,
                key=operator.attrgetter(
                    'owner.instance',
                    'owner.start_id',
                ),
            )
        )
        # Targets that are chosen but not granted yet may go to new entries.
        self._queue_ungranted(self.index.moving | self.index.grantable)
        self._start_sweep()

    def _update_owner(self, owner: Owner) -> None:
        """Keep what a new entry owns; reassign the targets of a lost one."""
        if owner in self.placement.candidates_by_owner:
            self._assignment.keep_present_owner(
                owner, self.index.targets_by_owner.get(owner, ())
            )
            return
        for service in sorted(self._assignment.remove_owner(owner)):
            self._pending_services[service] = None

    def _queue_ungranted(self, targets: Collection[str]) -> None:
        for target in targets:
            place = self.placement.places.get(target)
            if place is not None and self.index.needs_grant(target):
                self._pending_services[place.service_name] = None

    def _pop_until(
        self, queue: deque[_Item], ends_at: float
    ) -> Iterator[_Item]:
        while queue and self._clock() < ends_at:
            yield queue.popleft()

    def _reclassify_changed(self) -> None:
        for target in self.placement.changed_targets:
            self.index.reclassify(target)
        self.placement.changed_targets.clear()


def _list_places(name: str, service: Service) -> Sequence[TargetPlace]:
    return [TargetPlace(name, service, target) for target in service.targets]
