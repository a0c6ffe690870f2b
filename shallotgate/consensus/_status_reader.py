"""Reads the status of a member."""

import time

from shallotgate.consensus._elector import Elector
from shallotgate.consensus._member_state import Core
from shallotgate.consensus._status import (
    DamageReport,
    GroupStatus,
    MemberStatus,
    Role,
)


class StatusReader:
    """Collects the state of this member and what it knows of others."""

    def __init__(self, core: Core, elector: Elector) -> None:
        self._core = core
        self._elector = elector
        self.damage: DamageReport | None = None

    def read(self) -> GroupStatus:
        """Return the status as of now."""
        core = self._core
        with core.changed:
            return GroupStatus(
                instance=core.instance,
                identity=core.identity,
                term=core.term,
                role=self._read_role(),
                leader=core.leader,
                commit=core.commit,
                applied=core.applied,
                last_index=core.journal.last_index,
                snapshot_index=core.journal.snapshot.index,
                log_syncs=core.folder.log.syncs,
                members=tuple(self._list_members()),
                damage=self.damage,
            )

    def _read_role(self) -> Role:
        if self.damage is not None:
            return 'damaged'
        if self._core.leadership is not None:
            return 'leader'
        if not self._core.is_voter:
            return 'learner'
        return 'candidate' if self._elector.is_candidate else 'follower'

    def _list_members(self) -> list[MemberStatus]:
        core = self._core
        members = [
            self._describe(member.instance, member.identity, member.voter)
            for member in core.journal.group.members
        ]
        if core.leadership is None:
            return members
        admitted = {member.identity for member in members}
        members.extend(
            self._describe(instance, identity, voter=False)
            for instance, identity in core.leadership.identities.items()
            if identity not in admitted
        )
        return members

    def _describe(
        self,
        instance: str,
        identity: str,
        voter: bool,
    ) -> MemberStatus:
        core = self._core
        match_index = 0
        heard_at = core.mailbox.last_received_at(instance)
        if identity == core.identity:
            match_index = core.journal.synced_index
            heard_at = time.monotonic()
        elif core.leadership is not None:
            progress = core.leadership.progress.get(identity)
            match_index = progress.match if progress else 0
            heard_at = progress.acked_at if progress else float('-inf')
        return MemberStatus(
            instance=instance,
            identity=identity,
            voter=voter,
            match_index=match_index,
            last_heard_s=time.monotonic() - heard_at,
        )
