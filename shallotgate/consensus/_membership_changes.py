"""Replacement of members and transfer of leadership."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._group import Group, encode_group
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import Leadership, Progress, Proposal
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._membership_policy import make_view, may_promote
from shallotgate.errors import (
    ConsensusError,
    NotLeaderError,
)
from shallotgate.generated.messages import MemberIdentity, TimeoutNow
from shallotgate.logs import get_logger
from shallotgate.timers import read_lease_clock

_LOGGER = get_logger('consensus')
# Timeout of an attempt to finish a replacement, and interval between attempts.
_RESUME_INTERVAL_S = 1.0


class MembershipChanges:
    """Serializes membership changes and leadership transfers."""

    def __init__(self, state: MemberState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        self._lock = threading.Lock()
        # The change that holds the lock, and lease clock time since then.
        self._holder = ''
        self._held_since = 0.0
        # The last membership change that this member proposed.
        self._newest: Proposal | None = None

    def replace_member(self, instance: str, timeout_s: float) -> None:
        """Move the vote of an instance to its new identity.

        Two records are committed: the first removes the vote of the former
        identity, the second grants one to the new identity. Majorities before
        and after each record overlap; a single record for both would not
        ensure that.
        """
        deadline = time.monotonic() + timeout_s
        with self._serialize_changes(f'replace {instance}', timeout_s):
            self._replace_identity(instance, deadline)

    def add_learner(self, leadership: Leadership, instance: str) -> None:
        """Add a non-voting member; it is promoted once it has caught up.

        Raises ``ConsensusError`` if the record is not committed in time.
        """
        with self._serialize_changes(f'add {instance}'):
            with self._state.changed:
                group = self._state.journal.group
                identity = leadership.identities.get(instance)
            if identity is None or group.find(instance) is not None:
                return
            self._commit_group(
                leadership,
                group.with_learner(instance, identity),
                time.monotonic() + _RESUME_INTERVAL_S,
            )
        self._leader.replicate_to(leadership, instance)

    def remove_member(self, leadership: Leadership, instance: str) -> None:
        """Remove a member; raises ``ConsensusError`` on failure."""
        deadline = time.monotonic() + _RESUME_INTERVAL_S
        with self._serialize_changes(f'remove {instance}'):
            self._require_live_majority(leadership, instance, deadline)
            with self._state.changed:
                group = self._state.journal.group
            self._commit_group(leadership, group.without(instance), deadline)

    def on_leadership_change(self, is_leading: bool) -> None:
        """Start to resume unfinished replacements when this member leads.

        The former leader may have failed between the two records of one.
        """
        with self._state.changed:
            leadership = self._state.leadership
        if not is_leading or leadership is None:
            return
        threading.Thread(
            target=self._resume_replacements,
            args=(leadership,),
            name='resume-replacement',
            daemon=True,
        ).start()

    def transfer(self, timeout_s: float) -> bool:
        """Transfer leadership to the most up-to-date follower."""
        state = self._state
        deadline = time.monotonic() + timeout_s
        with state.changed:
            leadership = state.leadership
            if leadership is None:
                return False
            followers = leadership.list_live_voters(
                state.journal.group,
                state.options.lease_s,
            )
            successor = next(iter(followers), None)
            if successor is None:
                return False
            leadership.is_transferring = True
        state.wait_until(
            lambda: (
                leadership.is_closed or _is_fully_replicated(state, successor)
            ),
            deadline,
        )
        if leadership.is_closed or not _is_fully_replicated(state, successor):
            leadership.is_transferring = False
            return False
        # From here on, the lease must not be used again in this term: the
        # follower may start its election at any later time.
        send_or_drop(
            state.mailbox,
            successor.instance,
            TimeoutNow(term=leadership.term),
        )
        state.worker.post(partial(_step_down_from, state, leadership))
        return state.wait_until(
            lambda: leadership.is_closed and state.leader is not None,
            deadline,
        )

    @contextmanager
    def _serialize_changes(
        self, change: str, timeout_s: float = _RESUME_INTERVAL_S
    ) -> Iterator[None]:
        if not self._lock.acquire(timeout=max(timeout_s, 0)):
            held_s = read_lease_clock() - self._held_since
            raise ConsensusError(
                f'{change} is kept out by {self._holder}, which holds the '
                f'lock of changes for {held_s:.3f} s'
            )
        self._note_holder(change)
        try:
            yield
        finally:
            self._lock.release()

    def _note_holder(self, change: str) -> None:
        self._holder = change
        self._held_since = read_lease_clock()

    def _resume_replacements(self, leadership: Leadership) -> None:
        """Retry unfinished replacements until the leadership ends."""
        state = self._state
        while not leadership.is_closed:
            deadline = time.monotonic() + _RESUME_INTERVAL_S
            member = self._find_unfinished_replacement()
            # Skip if the lock is held: a change by an operator has priority.
            if member is not None and self._lock.acquire(blocking=False):
                self._note_holder(f'promote {member.instance}')
                try:
                    self._try_finish_replacement(leadership, member, deadline)
                finally:
                    self._lock.release()
            state.wait_until(
                partial(getattr, leadership, 'is_closed'), deadline
            )

    def _find_unfinished_replacement(self) -> MemberIdentity | None:
        state = self._state
        with state.changed:
            leadership = state.leadership
            if leadership is None:
                return None
            view = make_view(
                leadership, state.journal.group, state.instance, state.options
            )
        return next(
            (
                member
                for member in view.group.members
                if not member.voter and may_promote(view, member)
            ),
            None,
        )

    def _try_finish_replacement(
        self,
        leadership: Leadership,
        member: MemberIdentity,
        deadline: float,
    ) -> None:
        instance = member.instance
        try:
            identity = self._await_caught_up(leadership, instance, deadline)
            # If the disk was lost again, an operator has to request the
            # replacement of this identity as well.
            if identity == member.identity:
                deadline += _RESUME_INTERVAL_S
                self._commit_member(
                    leadership, instance, identity, True, deadline
                )
        except ConsensusError as error:
            _LOGGER.info(
                'Replacement of a member is not finished yet: %s.', error
            )
            return
        if identity == member.identity:
            _LOGGER.info(
                'Unfinished replacement of a member completed.',
                extra={'member': instance, 'identity': identity},
            )

    def _replace_identity(self, instance: str, deadline: float) -> None:
        state = self._state
        with state.changed:
            leadership = self._leader.require_leadership()
            member = state.journal.group.find(instance)
        if member is None or instance == state.instance:
            raise ConsensusError(
                f'{instance} is not a member of the group or is this member'
            )
        identity = self._await_caught_up(leadership, instance, deadline)
        if member.identity == identity and member.voter:
            return
        if member.identity != identity:
            self._require_live_majority(leadership, instance, deadline)
            self._commit_member(leadership, instance, identity, False, deadline)
        self._commit_member(leadership, instance, identity, True, deadline)
        _LOGGER.info(
            'Member replaced.',
            extra={'member': instance, 'identity': identity},
        )

    def _await_caught_up(
        self,
        leadership: Leadership,
        instance: str,
        deadline: float,
    ) -> str:
        state = self._state
        # A reply from before the call may come from a disk that was lost since.
        is_caught_up = partial(
            self._is_caught_up,
            leadership,
            instance,
            read_lease_clock(),
        )
        if not state.wait_until(is_caught_up, deadline):
            raise ConsensusError(f'{instance} did not catch up in time')
        with state.changed:
            if leadership.is_closed:
                raise NotLeaderError(state.leader)
            return leadership.identities[instance]

    def _is_caught_up(
        self,
        leadership: Leadership,
        instance: str,
        called_at: float,
    ) -> bool:
        if leadership.is_closed:
            return True
        identity = leadership.identities.get(instance, '')
        progress = leadership.progress.get(identity)
        if progress is None or not leadership.is_ready:
            return False
        has_recent_ack = progress.acked_at >= called_at
        return (
            has_recent_ack and progress.match_index >= self._state.commit_index
        )

    def _require_live_majority(
        self,
        leadership: Leadership,
        instance: str,
        deadline: float,
    ) -> None:
        """Raise if the remaining live voters could not commit anything.

        A voter that has just become reachable again is waited for: it replies
        within a lease.
        """
        state = self._state
        is_alive = partial(_has_live_majority, state, leadership, instance)
        waits_until = time.monotonic() + state.options.lease_s
        if not state.wait_until(is_alive, min(waits_until, deadline)):
            raise ConsensusError(
                'too few other members respond to form a majority'
            )

    def _commit_member(
        self,
        leadership: Leadership,
        instance: str,
        identity: str,
        voter: bool,
        deadline: float,
    ) -> None:
        with self._state.changed:
            group = self._state.journal.group
        self._commit_group(
            leadership,
            group.with_member(instance, identity, voter=voter),
            deadline,
        )

    def _commit_group(
        self,
        leadership: Leadership,
        group: Group,
        deadline: float,
    ) -> None:
        if self._newest is not None and not self._newest.future.done():
            # Majorities before and after two changes need not overlap.
            raise ConsensusError(
                'the former membership change is not committed yet'
            )
        self._newest = Proposal('members', encode_group(group))
        self._leader.propose(
            self._newest,
            deadline - time.monotonic(),
            expected=leadership,
        )


def _step_down_from(state: MemberState, leadership: Leadership) -> None:
    if state.leadership is leadership:
        state.step_down()


def _is_fully_replicated(state: MemberState, progress: Progress) -> bool:
    last_index = state.journal.last_index
    return progress.match_index == last_index == state.commit_index


def _has_live_majority(
    state: MemberState, leadership: Leadership, instance: str
) -> bool:
    """Return whether the other members, without one, could commit."""
    with state.changed:
        others = state.journal.group.without(instance)
        live_voters = leadership.list_live_voters(others, state.options.lease_s)
        live_instances = {progress.instance for progress in live_voters}
    return len(live_instances) + 1 >= others.quorum
