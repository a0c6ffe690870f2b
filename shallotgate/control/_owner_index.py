"""Index of target ownership by the action that the leader has to take."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from shallotgate.control._placement import Placement
from shallotgate.generated.messages import Owner, Ownership


class OwnerIndex:
    """Targets by owner and by pending action, updated incrementally.

    A step of the leader reads only the sets of targets that need an action, so
    its cost doesn't grow with the number of targets that need none.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self.ownership: Mapping[str, Ownership] = {}
        # Current owner by target, also while the target is moving.
        self.owners_by_target: dict[str, Owner] = {}
        self.targets_by_owner: defaultdict[Owner, set[str]] = defaultdict(set)
        self.moving: set[str] = set()
        # Targets of the catalogue that are granted to no owner.
        self.unowned: set[str] = set()
        # Unowned targets for which an owner is chosen.
        self.grantable: set[str] = set()
        # Targets with an owner that are not in the catalogue.
        self.unlisted: set[str] = set()
        # Held targets whose chosen owner is another entry.
        self.misplaced: set[str] = set()
        # Interned owners by instance and start id.
        self._owners_by_id: dict[tuple[str, str], Owner] = {}

    def update(self, targets: Iterable[str]) -> None:
        """Update the index from the current ownership of some targets."""
        for target in targets:
            self._update_owner(target, self.ownership.get(target))
            self.reclassify(target)

    def reclassify(self, target: str) -> None:
        """Update the sets after the state of a target has changed."""
        owned = self.ownership.get(target)
        is_listed = target in self._placement.places
        if owned is None:
            self.moving.discard(target)
            self.unlisted.discard(target)
            self.misplaced.discard(target)
            is_ready = (
                is_listed and self._placement.get_owner(target) is not None
            )
            _set_member(self.unowned, target, is_member=is_listed)
            _set_member(self.grantable, target, is_member=is_ready)
            return
        self.unowned.discard(target)
        self.grantable.discard(target)
        is_held = owned.state == 'held'
        _set_member(self.moving, target, is_member=not is_held)
        _set_member(self.unlisted, target, is_member=not is_listed)
        desired = self._placement.get_owner(target) if is_held else None
        is_misplaced = (
            desired is not None and desired != self.owners_by_target[target]
        )
        _set_member(self.misplaced, target, is_member=is_misplaced)

    def needs_grant(self, target: str) -> bool:
        """Return whether a target waits for a grant."""
        return target in self.moving or target in self.unowned

    def _update_owner(self, target: str, owned: Ownership | None) -> None:
        former = self.owners_by_target.get(target)
        owner = None if owned is None else self._find_owner(owned)
        if owner == former:
            return
        if former is not None:
            self._remove_owner(target, former)
        if owner is not None:
            self.owners_by_target[target] = owner
            self.targets_by_owner[owner].add(target)

    def _remove_owner(self, target: str, former: Owner) -> None:
        self.owners_by_target.pop(target)
        targets = self.targets_by_owner[former]
        targets.discard(target)
        if not targets:
            self.targets_by_owner.pop(former)
            self._owners_by_id.pop((former.instance, former.start_id), None)

    def _find_owner(self, owned: Ownership) -> Owner:
        key = (owned.instance, owned.start_id)
        owner = self._owners_by_id.get(key)
        if owner is None:
            owner = Owner(instance=owned.instance, start_id=owned.start_id)
            self._owners_by_id[key] = owner
        return owner


def _set_member(targets: set[str], target: str, *, is_member: bool) -> None:
    if is_member:
        targets.add(target)
    else:
        targets.discard(target)
