"""Ownership sorted by what the leader has to do about it."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from shallotgate.control._placement import Placement
from shallotgate.generated.messages import Owner, Ownership


class OwnerIndex:
    """Targets by owner and by need, kept up to date target by target.

    A step of the leader reads only the sets with something to do, so that its
    cost doesn't grow with the number of targets that are in order.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self.ownership: Mapping[str, Ownership] = {}
        # Present owner by target, also while the target is moving.
        self.owners: dict[str, Owner] = {}
        self.by_owner: defaultdict[Owner, set[str]] = defaultdict(set)
        self.moving: set[str] = set()
        # Targets of the catalogue that nobody was granted.
        self.unowned: set[str] = set()
        # Those of them for which an owner is chosen.
        self.ready: set[str] = set()
        # Targets with an owner that are not in the catalogue.
        self.unlisted: set[str] = set()
        # Held targets that another entry should own.
        self.misplaced: set[str] = set()
        # One object for each owner.
        self._known: dict[tuple[str, str], Owner] = {}

    def update(self, targets: Iterable[str]) -> None:
        """Take over the present ownership of some targets."""
        for target in targets:
            self._update_owner(target, self.ownership.get(target))
            self.refresh(target)

    def refresh(self, target: str) -> None:
        """Sort a target anew after its ownership, place or choice changed."""
        owned = self.ownership.get(target)
        is_listed = target in self._placement.places
        if owned is None:
            self.moving.discard(target)
            self.unlisted.discard(target)
            self.misplaced.discard(target)
            is_ready = is_listed and self._placement.get(target) is not None
            _set_member(self.unowned, target, is_member=is_listed)
            _set_member(self.ready, target, is_member=is_ready)
            return
        self.unowned.discard(target)
        self.ready.discard(target)
        is_held = owned.state == 'held'
        _set_member(self.moving, target, is_member=not is_held)
        _set_member(self.unlisted, target, is_member=not is_listed)
        wanted = self._placement.get(target) if is_held else None
        is_misplaced = wanted is not None and wanted != self.owners[target]
        _set_member(self.misplaced, target, is_member=is_misplaced)

    def is_waiting(self, target: str) -> bool:
        """Return whether a target waits for a grant."""
        return target in self.moving or target in self.unowned

    def _update_owner(self, target: str, owned: Ownership | None) -> None:
        former = self.owners.get(target)
        owner = None if owned is None else self._find_owner(owned)
        if owner == former:
            return
        if former is not None:
            self._forget(target, former)
        if owner is not None:
            self.owners[target] = owner
            self.by_owner[owner].add(target)

    def _forget(self, target: str, former: Owner) -> None:
        self.owners.pop(target)
        targets = self.by_owner[former]
        targets.discard(target)
        if not targets:
            self.by_owner.pop(former)
            self._known.pop((former.instance, former.start_id), None)

    def _find_owner(self, owned: Ownership) -> Owner:
        key = (owned.instance, owned.start_id)
        known = self._known.get(key)
        if known is None:
            known = Owner(instance=owned.instance, start_id=owned.start_id)
            self._known[key] = known
        return known


def _set_member(targets: set[str], target: str, *, is_member: bool) -> None:
    if is_member:
        targets.add(target)
    else:
        targets.discard(target)
