"""Changes of the members of the group."""

import time
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

from shallotgate.consensus._group import encode_group
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import (
    Leadership,
    Proposal,
    ReplacementRequest,
)
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._membership_policy import (
    MembershipChange,
    make_view,
    plan_change,
)
from shallotgate.consensus._membership_waits import MembershipWaits
from shallotgate.consensus._status import MembershipWait
from shallotgate.errors import ConsensusError, NotLeaderError
from shallotgate.logs import get_logger
from shallotgate.timers import read_lease_clock

_LOGGER = get_logger('consensus')
# Interval of checks while nothing is due. It is short compared to the time
# within which a replaced member has to become a voter.
_IDLE_INTERVAL_S = 0.25
_COMMIT_MESSAGES: Mapping[str, str] = MappingProxyType(
    {
        'replace': 'Member replaced by its new identity without a vote.',
        'remove': 'Unresponsive member removed.',
        'promote': 'Member got its vote.',
        'add': 'Member added without a vote.',
    }
)


class MembershipManager:
    """Adds, replaces, promotes and removes members while this member leads.

    An instance that requests to join is added as a non-voting member and
    becomes a voter once it has caught up. Unresponsive members are removed as
    long as the group tolerates as many lost disks as before. A member whose
    disk was wiped returns with another identity and is replaced. Each step
    commits one record, and majorities before and after it overlap.

    All changes are made by one loop on the worker thread, which never waits for
    a reply: each turn plans anew from what the members are then. Calls of
    operators are requests that the loop serves.
    """

    def __init__(self, state: MemberState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        self._waits = MembershipWaits()
        self._leadership: Leadership | None = None
        # The newest change of this leadership, until it is committed.
        self._open: MembershipChange | None = None
        # Lease clock time of the next turn.
        self._next_turn_at: float = 0

    def tick(self) -> None:
        """Propose the next change of the group if one is due; worker only."""
        now = read_lease_clock()
        leadership = self._state.leadership
        if leadership is not self._leadership:
            self._leadership = leadership
            self._open = None
            self._next_turn_at = now
            self._waits.update((), now)
        if leadership is not None and now >= self._next_turn_at:
            self._take_turn(leadership, now)

    def replace_member(self, instance: str, timeout_s: float) -> None:
        """Request the vote of an instance for its new identity and wait.

        Returns at once if the identity that replies has the vote already.
        """
        state = self._state
        deadline = time.monotonic() + timeout_s
        request = ReplacementRequest(instance, read_lease_clock())
        with state.changed:
            leadership = self._leader.require_leadership()
            if instance == state.instance or not self._is_member(instance):
                raise ConsensusError(
                    f'{instance} is not a member of the group or is this member'
                )
            leadership.replacements.append(request)
        # The next turn serves it, although nothing was due until now.
        self._next_turn_at = 0
        try:
            self._await_replacement(leadership, request, deadline)
        finally:
            with state.changed:
                leadership.replacements.remove(request)

    def list_waits(self) -> tuple[MembershipWait, ...]:
        """Return the changes that wait; empty unless this member leads."""
        return self._waits.list_waits(read_lease_clock())

    def _take_turn(self, leadership: Leadership, now: float) -> None:
        state = self._state
        self._next_turn_at = now
        with state.changed:
            if not leadership.is_ready or leadership.is_transferring:
                return
            journal = state.journal
            if journal.groups.latest_index > state.commit_index:
                # Majorities before and after two changes need not overlap.
                self._report_open_change(now)
                return
            view = make_view(
                leadership,
                journal.group,
                state.instance,
                state.commit_index,
                state.options,
            )
        self._report_commit()
        plan = plan_change(view, state.options)
        self._waits.update(plan.waiting, now)
        if plan.change is not None:
            self._propose(leadership, plan.change)
        elif not plan.waiting:
            self._next_turn_at = now + _IDLE_INTERVAL_S

    def _propose(
        self, leadership: Leadership, change: MembershipChange
    ) -> None:
        with self._state.changed:
            if change.action == 'add':
                leadership.record_admission(
                    leadership.identities[change.instance]
                )
            leadership.pending.append(
                Proposal('members', encode_group(change.group))
            )
        self._open = change
        self._leader.flush()
        if change.action == 'add':
            self._leader.replicate_to(leadership, change.instance)

    def _report_open_change(self, now: float) -> None:
        if self._open is not None:
            reason = 'its record is not committed; all other changes wait'
            self._waits.update((replace(self._open, obstacle=reason),), now)

    def _report_commit(self) -> None:
        change = self._open
        self._open = None
        if change is None:
            return
        group = change.group
        log = _LOGGER.warning if change.action == 'remove' else _LOGGER.info
        log(
            _COMMIT_MESSAGES[change.action],
            extra={
                'member': change.instance,
                'members': len(group.members),
                'voters': len(group.voters),
                'min_voters': group.min_voters,
            },
        )

    def _await_replacement(
        self,
        leadership: Leadership,
        request: ReplacementRequest,
        deadline: float,
    ) -> None:
        state = self._state
        instance = request.instance
        state.wait_until(
            lambda: (
                leadership.is_closed
                or not self._is_member(instance)
                or self._is_replaced(leadership, request)
            ),
            deadline,
        )
        with state.changed:
            if leadership.is_closed:
                raise NotLeaderError(state.leader)
            if self._is_replaced(leadership, request):
                return
            if not self._is_member(instance):
                raise ConsensusError(f'{instance} was removed from the group')
        reason = self._waits.explain(instance) or 'its turn has not come'
        raise ConsensusError(f'{instance} is not replaced in time: {reason}')

    def _is_member(self, instance: str) -> bool:
        return self._state.journal.group.find(instance) is not None

    def _is_replaced(
        self, leadership: Leadership, request: ReplacementRequest
    ) -> bool:
        """Return whether the identity that replies now has a vote."""
        state = self._state
        if not leadership.has_replied_since(*request):
            return False
        identity = leadership.identities[request.instance]
        return (
            identity in state.journal.group.voters
            and state.journal.groups.latest_index <= state.commit_index
        )
