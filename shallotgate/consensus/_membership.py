"""Automatic membership changes."""

import threading
import time
from functools import partial

from shallotgate.consensus._group import Group
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._membership_changes import MembershipChanges
from shallotgate.consensus._membership_policy import choose_removal, make_view
from shallotgate.errors import ConsensusError
from shallotgate.generated.messages import MemberIdentity
from shallotgate.logs import get_logger
from shallotgate.timers import read_lease_clock

_LOGGER = get_logger('consensus')
# Interval of membership checks. It is short compared to the time within which
# a replaced member has to become a voter.
_RECONCILE_INTERVAL_S = 0.25
# Timeout of the replacement of a member with a wiped disk; the next check
# retries it.
_REPLACE_TIMEOUT_S = 2.0


def make_membership_changes(
    state: MemberState, leader: Leader
) -> MembershipChanges:
    """Wire up requested and, if enabled, automatic membership changes."""
    changes = MembershipChanges(state, leader)
    state.notifier.subscribe(changes.on_leadership_change)
    if state.options.automatic_membership:
        state.notifier.subscribe(
            MembershipManager(state, changes).on_leadership_change
        )
    return changes


class MembershipManager:
    """Adds, replaces and removes members while this member leads.

    An instance that requests to join is added as a non-voting member and
    becomes a voter once it has caught up. Unresponsive members are removed as
    long as the group tolerates as many lost disks as before. A member whose
    disk was wiped returns with another identity and is replaced. Each step
    commits one record, and majorities before and after it overlap.
    """

    def __init__(self, state: MemberState, changes: MembershipChanges) -> None:
        self._state = state
        self._changes = changes

    def on_leadership_change(self, is_leading: bool) -> None:
        """Start to manage the membership when this member leads."""
        with self._state.changed:
            leadership = self._state.leadership
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
                self._reconcile(leadership)
            except ConsensusError as error:
                _LOGGER.info('Membership change failed: %s.', error)
            self._state.wait_until(
                partial(getattr, leadership, 'is_closed'),
                time.monotonic() + _RECONCILE_INTERVAL_S,
            )

    def _reconcile(self, leadership: Leadership) -> None:
        """Perform at most one membership change."""
        with self._state.changed:
            group = self._state.journal.group
            wiped = self._find_wiped(leadership, group)
            joining = self._find_joining(leadership, group)
            view = make_view(
                leadership,
                group,
                self._state.instance,
                self._state.options,
                has_newcomer=joining is not None,
            )
        removed = choose_removal(view, self._state.options)
        if wiped is not None:
            self._changes.replace_member(wiped.instance, _REPLACE_TIMEOUT_S)
        elif removed is not None:
            self._changes.remove_member(leadership, removed.instance)
            _LOGGER.warning(
                'Unresponsive member removed.',
                extra={
                    'member': removed.instance,
                    'newcomer': joining,
                    'voters': len(group.voters),
                    'min_voters': group.min_voters,
                },
            )
        elif joining is not None:
            self._changes.add_learner(leadership, joining)
            _LOGGER.info(
                'Member added without a vote.', extra={'member': joining}
            )

    def _find_wiped(
        self,
        leadership: Leadership,
        group: Group,
    ) -> MemberIdentity | None:
        """Return a member that replies with another identity."""
        for member in group.members:
            current_identity = leadership.identities.get(member.instance)
            if (
                current_identity is not None
                and current_identity != member.identity
            ):
                ack_age_s = leadership.read_member_ack_age_s(current_identity)
                if ack_age_s < self._state.options.replace_unresponsive_s:
                    return member
        return None

    def _find_joining(
        self,
        leadership: Leadership,
        group: Group,
    ) -> str | None:
        """Return a non-member with a valid join request."""
        oldest_valid = (
            read_lease_clock() - self._state.options.join_request_ttl_s
        )
        for instance, requested_at in leadership.join_requests.items():
            if requested_at > oldest_valid and group.find(instance) is None:
                return instance
        return None
