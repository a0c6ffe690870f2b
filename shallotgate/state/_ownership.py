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
class OwnershipContent:
    """The part's snapshot."""

    version: int
    owners: Sequence[Ownership]


class OwnershipTable:
    """Applies moves and grants that were decided on the current epoch.

    A target passes to another owner by a move and then a grant. The control
    leader proposes the grant only after the former owner has released the
    target or can no longer hold it. Epochs of one target never repeat, also
    when its entry was dropped meanwhile: a new entry starts at the version of
    the table, which is at least as large as all epochs given before.
    """

    def __init__(self) -> None:
        self.version = 0
        self._owners: dict[str, Ownership] = {}
        self.published: Mapping[str, Ownership] = MappingProxyType({})
        # By target name.
        self.recent: RecentChanges[str] = RecentChanges()

    def move(self, command: MoveOwners, now: float) -> Done:
        """Ask owners to release targets."""
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
        """Give free targets to owners.

        A grant to an owner without an instance drops the target's entry; it
        serves targets that are no longer in the catalogue.
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

    def dump(self) -> OwnershipContent:
        """Return the snapshot."""
        return OwnershipContent(self.version, tuple(self._owners.values()))

    def load(self, content: OwnershipContent) -> None:
        """Take over a snapshot."""
        self.version = content.version
        self.recent.clear(content.version)
        self._owners = {owned.target: owned for owned in content.owners}
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
        self.recent.note(self.version, [*puts, *drops])
        self.published = MappingProxyType(dict(self._owners))
        return Done(changed=True)
