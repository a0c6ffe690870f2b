"""Owners of targets and their epochs."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType

from shallotgate.generated.messages import (
    Done,
    GrantOwners,
    MoveOwners,
    OwnerGrant,
    Ownership,
)
from shallotgate.state._recent import RecentChanges


@dataclass(frozen=True)
class OwnershipSnapshot:
    """Snapshot of the target ownership."""

    version: int
    owners: Sequence[Ownership]


class OwnershipTable:
    """Applies moves and grants that refer to the current epoch of a target.

    A target changes its owner by a move followed by a grant. The control leader
    proposes the grant only after the former owner has released the target or
    can no longer hold it. Epochs of a target never repeat, even if its record
    was removed in between: a new record starts above the previous version of
    the table, which is at least as large as all epochs assigned before.
    """

    def __init__(self) -> None:
        self.version = 0
        self._owners: dict[str, Ownership] = {}
        self.published: Mapping[str, Ownership] = MappingProxyType({})
        # By target name.
        self.recent: RecentChanges[str] = RecentChanges()

    def move(self, command: MoveOwners, now: float) -> Done:
        """Mark targets as moving, so that their owners release them."""
        moved = []
        for move in command.moves:
            owned = self._owners.get(move.target)
            if owned is None or owned.epoch != move.epoch:
                continue
            if owned.state == 'held':
                moved.append(
                    replace(owned, state='moving', epoch=owned.epoch + 1)
                )
        return self._put(moved, ())

    def grant(self, command: GrantOwners, now: float) -> Done:
        """Grant unowned or moving targets to owners.

        A grant to an owner without an instance removes the target's record. It
        is used for targets that are no longer in the catalogue.
        """
        granted = []
        dropped = []
        for grant in command.grants:
            if not self._is_current(grant):
                continue
            if grant.owner.instance:
                granted.append(self._make_owned(grant))
            elif grant.target in self._owners:
                dropped.append(grant.target)
        return self._put(granted, dropped)

    def dump(self) -> OwnershipSnapshot:
        """Return the snapshot."""
        return OwnershipSnapshot(self.version, tuple(self._owners.values()))

    def load(self, snapshot: OwnershipSnapshot) -> None:
        """Restore a snapshot."""
        self.version = snapshot.version
        self.recent.clear(snapshot.version)
        self._owners = {owned.target: owned for owned in snapshot.owners}
        self.published = MappingProxyType(dict(self._owners))

    def _is_current(self, grant: OwnerGrant) -> bool:
        owned = self._owners.get(grant.target)
        if owned is None:
            return grant.epoch == 0
        return owned.epoch == grant.epoch and owned.state == 'moving'

    def _make_owned(self, grant: OwnerGrant) -> Ownership:
        owned = self._owners.get(grant.target)
        epoch = self.version + 1 if owned is None else owned.epoch + 1
        return Ownership(
            target=grant.target,
            instance=grant.owner.instance,
            start_id=grant.owner.start_id,
            epoch=epoch,
            state='held',
            learnt=grant.learnt,
        )

    def _put(self, owners: Sequence[Ownership], drops: Sequence[str]) -> Done:
        if not owners and not drops:
            return Done(changed=False, reason='no current epoch')
        puts = {owned.target: owned for owned in owners}
        self._owners.update(puts)
        for target in drops:
            self._owners.pop(target, None)
        self.version += 1
        self.recent.add(self.version, [*puts, *drops])
        self.published = MappingProxyType(dict(self._owners))
        return Done(changed=True)
