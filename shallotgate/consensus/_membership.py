"""Membership changes that need no operator."""

import threading
import time
from functools import partial

from shallotgate.consensus._group import Group
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._member_state import Core
from shallotgate.consensus._membership_changes import Changes
from shallotgate.errors import ConsensusError
from shallotgate.generated.messages import MemberIdentity
from shallotgate.logs import get_logger
from shallotgate.timers import read_lease_clock

_LOGGER = get_logger('consensus')
# Seconds between two looks at the group; short against the time within which
# a replaced member has to count.
_LOOK_S = 0.25
# Seconds that a replacement of a lost disk may take before the next look.
_REPLACE_S = 2.0
# A group of this many members or fewer is never made smaller by itself.
_SMALLEST = 3


def make_changes(core: Core, leader: Leader) -> Changes:
    """Return what changes the group, on request and by itself."""
    changes = Changes(core, leader)
    core.notifier.subscribe(changes.follow_leadership)
    if core.options.automatic_membership:
        core.notifier.subscribe(
            MembershipManager(core, changes).follow_leadership
        )
    return changes


class MembershipManager:
    """Keeps the group made of instances that run, while this member leads.

    An instance that asks to join becomes a member without a vote and gets
    its vote once it holds everything. It takes the place of a member that is
    silent, if there is one. A member whose disk was lost comes back with
    another identity and is replaced. Each step is one committed record, and
    majorities before and after it overlap.
    """

    def __init__(self, core: Core, changes: Changes) -> None:
        self._core = core
        self._changes = changes

    def follow_leadership(self, is_leading: bool) -> None:
        """Begin to look after the group when this member leads."""
        with self._core.changed:
            leadership = self._core.leadership
        if not is_leading or leadership is None:
            return
        threading.Thread(
            target=self._run,
            args=(leadership,),
            name='membership',
            daemon=True,
        ).start()

    def _run(self, leadership: Leadership) -> None:
        while not leadership.is_closed:
            try:
                self._look(leadership)
            except ConsensusError as error:
                _LOGGER.info('The group was not changed: %s.', error)
            self._core.wait_until(
                partial(getattr, leadership, 'is_closed'),
                time.monotonic() + _LOOK_S,
            )

    def _look(self, leadership: Leadership) -> None:
        """Take the one step that is due, if any."""
        with self._core.changed:
            group = self._core.journal.group
            reborn = self._find_reborn(leadership, group)
            newcomer = self._find_newcomer(leadership, group)
            silent = self._find_silent(leadership, group)
        if reborn is not None:
            self._changes.replace_member(reborn.instance, _REPLACE_S)
        elif silent is not None and self._is_dispensable(
            leadership,
            group,
            silent,
            newcomer,
        ):
            self._changes.remove(leadership, silent.instance)
            _LOGGER.warning(
                'Silent member removed.',
                extra={'member': silent.instance, 'newcomer': newcomer},
            )
        elif newcomer is not None:
            self._changes.admit(leadership, newcomer)
            _LOGGER.info('Member admitted.', extra={'member': newcomer})

    def _find_reborn(
        self,
        leadership: Leadership,
        group: Group,
    ) -> MemberIdentity | None:
        """Return a member that answers with another identity."""
        for member in group.members:
            heard = leadership.identities.get(member.instance)
            if heard is not None and heard != member.identity:
                silence_s = leadership.read_member_silence_s(heard)
                if silence_s < self._core.options.replace_unresponsive_s:
                    return member
        return None

    def _find_newcomer(
        self,
        leadership: Leadership,
        group: Group,
    ) -> str | None:
        """Return an instance that asks to join and is no member."""
        oldest = read_lease_clock() - self._core.options.join_request_ttl_s
        for instance, asked_at in leadership.joins.items():
            if asked_at > oldest and group.find(instance) is None:
                return instance
        return None

    def _find_silent(
        self,
        leadership: Leadership,
        group: Group,
    ) -> MemberIdentity | None:
        """Return the member that has been silent for longest."""
        others = [
            member
            for member in group.members
            if member.instance != self._core.instance
        ]
        return max(
            others,
            key=lambda one: leadership.read_member_silence_s(one.identity),
            default=None,
        )

    def _is_dispensable(
        self,
        leadership: Leadership,
        group: Group,
        silent: MemberIdentity,
        newcomer: str | None,
    ) -> bool:
        """Return whether a silent member is to leave the group."""
        options = self._core.options
        silence_s = leadership.read_member_silence_s(silent.identity)
        if silence_s < options.replace_unresponsive_s:
            return False
        if newcomer is not None:
            return True
        if silence_s < options.remove_unresponsive_s:
            return False
        is_even = len(group.voters) % 2 == 0 and len(group.voters) > _SMALLEST
        return is_even or not silent.voter
