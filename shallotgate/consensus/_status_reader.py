"""Status of the group as seen by one member."""

import time

from shallotgate.consensus._elector import Elector
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._membership import MembershipManager
from shallotgate.consensus._status import (
    DamageReport,
    GroupStatus,
    MemberStatus,
    Role,
)


class StatusReader:
    """Collects the status of this member and of the other members."""

    def __init__(
        self,
        state: MemberState,
        elector: Elector,
        membership: MembershipManager,
    ) -> None:
        self._state = state
        self._elector = elector
        self._membership = membership
        self.damage: DamageReport | None = None

    def read(self) -> GroupStatus:
        """Return the current status."""
        state = self._state
        with state.changed:
            return GroupStatus(
                instance=state.instance,
                identity=state.identity,
                term=state.term,
                role=self._read_role(),
                leader=state.leader,
                commit=state.commit_index,
                applied=state.applied_index,
                last_index=state.journal.last_index,
                snapshot_index=state.journal.snapshot.index,
                log_syncs=state.folder.log.sync_count,
                members=tuple(self._list_members()),
                waits=self._membership.list_waits(),
                damage=self.damage,
            )

    def _read_role(self) -> Role:
        if self.damage is not None:
            return 'damaged'
        if self._state.worker.guard.is_suspended:
            return 'suspended'
        if self._state.leadership is not None:
            return 'leader'
        if not self._state.is_voter:
            return 'learner'
        return 'candidate' if self._elector.is_candidate else 'follower'

    def _list_members(self) -> list[MemberStatus]:
        state = self._state
        members = [
            self._make_member_status(
                member.instance, member.identity, member.voter
            )
            for member in state.journal.group.members
        ]
        if state.leadership is None:
            return members
        admitted = {member.identity for member in members}
        members.extend(
            self._make_member_status(instance, identity, voter=False)
            for instance, identity in state.leadership.identities.items()
            if identity not in admitted
        )
        return members

    def _make_member_status(
        self,
        instance: str,
        identity: str,
        voter: bool,
    ) -> MemberStatus:
        state = self._state
        match_index = 0
        last_contact = state.mailbox.last_received_at(instance)
        if identity == state.identity:
            match_index = state.journal.synced_index
            last_contact = time.monotonic()
        elif state.leadership is not None:
            progress = state.leadership.progress.get(identity)
            match_index = progress.match_index if progress else 0
            last_contact = progress.acked_at if progress else float('-inf')
        return MemberStatus(
            instance=instance,
            identity=identity,
            voter=voter,
            match_index=match_index,
            last_heard_s=time.monotonic() - last_contact,
        )
