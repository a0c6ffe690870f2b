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
from shallotgate.consensus._member_state import Core
from shallotgate.errors import (
    ConsensusError,
    NotLeaderError,
)
from shallotgate.generated.messages import MemberIdentity, TimeoutNow
from shallotgate.logs import get_logger
from shallotgate.timers import read_lease_clock

_LOGGER = get_logger('consensus')
# Time for one attempt to finish a replacement, and between two.
_RESUME_S = 1.0


class Changes:
    """Changes of the group, one at a time."""

    def __init__(self, core: Core, leader: Leader) -> None:
        self._core = core
        self._leader = leader
        self._lock = threading.Lock()

    def replace_member(self, instance: str, timeout_s: float) -> None:
        """Give the vote of an instance to its new identity.

        The former identity loses its vote with a first committed record and
        the new one gets it with a second: majorities before and after each
        record overlap, which a single record for both would not ensure.
        """
        deadline = time.monotonic() + timeout_s
        if not self._lock.acquire(timeout=max(timeout_s, 0)):
            raise ConsensusError('another change of the group is under way')
        try:
            self._replace(instance, deadline)
        finally:
            self._lock.release()

    def admit(self, leadership: Leadership, instance: str) -> None:
        """Add a member without a vote; it gets one once it caught up.

        Raises ``ConsensusError`` if that was not committed in time.
        """
        with self._exclusive():
            with self._core.changed:
                group = self._core.journal.group
                identity = leadership.identities.get(instance)
            if identity is None or group.find(instance) is not None:
                return
            self._commit_group(
                leadership,
                group.with_learner(instance, identity),
                time.monotonic() + _RESUME_S,
            )
        self._leader.replicate_to(leadership, instance)

    def remove(self, leadership: Leadership, instance: str) -> None:
        """Remove a member; raises ``ConsensusError`` if it can't be done."""
        with self._exclusive():
            self._require_live_majority(leadership, instance)
            with self._core.changed:
                group = self._core.journal.group
            self._commit_group(
                leadership,
                group.without(instance),
                time.monotonic() + _RESUME_S,
            )

    def follow_leadership(self, is_leading: bool) -> None:
        """Begin to resume replacements when this member leads.

        The leader that began one may be lost between its two records.
        """
        with self._core.changed:
            leadership = self._core.leadership
        if not is_leading or leadership is None:
            return
        threading.Thread(
            target=self._resume,
            args=(leadership,),
            name='resume-replacement',
            daemon=True,
        ).start()

    def transfer(self, timeout_s: float) -> bool:
        """Hand leadership to the follower that is furthest."""
        core = self._core
        deadline = time.monotonic() + timeout_s
        with core.changed:
            leadership = core.leadership
            if leadership is None:
                return False
            followers = leadership.list_caught_up(
                core.journal.group,
                core.options.lease_s,
            )
            best = next(iter(followers), None)
            if best is None:
                return False
            leadership.is_transferring = True
        core.wait_until(
            lambda: leadership.is_closed or _holds_all(core, best),
            deadline,
        )
        if leadership.is_closed or not _holds_all(core, best):
            leadership.is_transferring = False
            return False
        # From here on the lease must not be used again in this term: the
        # follower may start its election at any later time.
        send_or_drop(
            core.mailbox,
            best.instance,
            TimeoutNow(term=leadership.term),
        )
        core.worker.post(partial(_end, core, leadership))
        return core.wait_until(
            lambda: leadership.is_closed and core.leader is not None,
            deadline,
        )

    @contextmanager
    def _exclusive(self) -> Iterator[None]:
        if not self._lock.acquire(timeout=_RESUME_S):
            raise ConsensusError('another change of the group is under way')
        try:
            yield
        finally:
            self._lock.release()

    def _resume(self, leadership: Leadership) -> None:
        """Finish replacements until the end of a leadership."""
        core = self._core
        while not leadership.is_closed:
            deadline = time.monotonic() + _RESUME_S
            member = self._find_unfinished()
            # A call of an operator goes first.
            if member is not None and self._lock.acquire(blocking=False):
                try:
                    self._try_finish(leadership, member, deadline)
                finally:
                    self._lock.release()
            core.wait_until(partial(getattr, leadership, 'is_closed'), deadline)

    def _find_unfinished(self) -> MemberIdentity | None:
        with self._core.changed:
            members = self._core.journal.group.members
        return next((one for one in members if not one.voter), None)

    def _try_finish(
        self,
        leadership: Leadership,
        member: MemberIdentity,
        deadline: float,
    ) -> None:
        instance = member.instance
        try:
            identity = self._await_caught_up(leadership, instance, deadline)
            # A member whose disk was lost again needs an operator's word.
            if identity == member.identity:
                deadline += _RESUME_S
                self._commit(leadership, instance, identity, True, deadline)
        except ConsensusError as error:
            _LOGGER.info('A replacement is not finished yet: %s.', error)
            return
        if identity == member.identity:
            _LOGGER.info(
                'Replacement of a member resumed.',
                extra={'member': instance, 'identity': identity},
            )

    def _replace(self, instance: str, deadline: float) -> None:
        core = self._core
        with core.changed:
            leadership = self._leader.require_leadership()
            member = core.journal.group.find(instance)
        if member is None or instance == core.instance:
            raise ConsensusError(f'{instance} is no other member of the group')
        identity = self._await_caught_up(leadership, instance, deadline)
        if member.identity == identity and member.voter:
            return
        if member.identity != identity:
            self._require_live_majority(leadership, instance)
            self._commit(leadership, instance, identity, False, deadline)
        self._commit(leadership, instance, identity, True, deadline)
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
        core = self._core
        # An answer from before the call may stem from a disk that was lost.
        is_caught_up = partial(
            self._is_caught_up,
            leadership,
            instance,
            read_lease_clock(),
        )
        if not core.wait_until(is_caught_up, deadline):
            raise ConsensusError(f'{instance} has not caught up in time')
        with core.changed:
            if leadership.is_closed:
                raise NotLeaderError(core.leader)
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
        is_live = progress.acked_at >= called_at
        return is_live and progress.match >= self._core.commit

    def _require_live_majority(
        self,
        leadership: Leadership,
        instance: str,
    ) -> None:
        """Refuse a removal after which nothing could be committed."""
        core = self._core
        with core.changed:
            others = core.journal.group.without(instance)
            live = leadership.list_caught_up(others, core.options.lease_s)
            live_instances = {progress.instance for progress in live}
        if len(live_instances) + 1 < others.quorum:
            raise ConsensusError('too few other members answer')

    def _commit(
        self,
        leadership: Leadership,
        instance: str,
        identity: str,
        voter: bool,
        deadline: float,
    ) -> None:
        with self._core.changed:
            group = self._core.journal.group
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
        self._leader.propose(
            Proposal('members', encode_group(group)),
            deadline - time.monotonic(),
            expected=leadership,
        )


def _end(core: Core, leadership: Leadership) -> None:
    if core.leadership is leadership:
        core.step_down()


def _holds_all(core: Core, progress: Progress) -> bool:
    last_index = core.journal.last_index
    return progress.match == last_index == core.commit
