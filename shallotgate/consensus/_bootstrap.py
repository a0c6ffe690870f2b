"""Founding of a group and joining of members with a new identity."""

import threading
import time
from collections.abc import Sequence
from functools import partial

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._group import Group, encode_group
from shallotgate.consensus._member_state import Core
from shallotgate.errors import TransportError
from shallotgate.generated.messages import (
    FoundGroup,
    FoundGroupReply,
    JoinGroup,
    LogRecord,
    MemberIdentity,
    MemberList,
)
from shallotgate.generated.settings import Member
from shallotgate.logs import get_logger
from shallotgate.timers import read_lease_clock
from shallotgate.transport import Delivery

_LOGGER = get_logger('consensus')
_JOIN_S = 5
# Term of the first record. No member votes in it.
_FOUNDING_TERM = 1


class Founding:
    """Founds the group once, with the identities of all its members.

    Only the member with the smallest instance id founds. It asks all members
    and goes on only if each is empty and promises to take a list from no
    other identity. It stores the list itself before it sends it, so two lists
    never exist: a founder that lost its disk finds a member that is not
    empty, or one whose new promise makes it refuse the former list. A member
    with a wiped disk thus neither founds nor votes while any other member
    holds data.
    """

    def __init__(
        self,
        core: Core,
        members: Sequence[Member],
        *,
        bootstrap: bool,
    ) -> None:
        self._core = core
        self._instances = sorted(member.instance for member in members)
        self._bootstrap = bootstrap
        # Identity of the founder that this member waits for.
        self._promised = ''
        self._join_at: float = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='found',
            daemon=True,
        )
        core.worker.subscribe(core.mailbox, FoundGroup, self._on_found)
        core.worker.subscribe(core.mailbox, JoinGroup, self._on_join)

    def start(self) -> None:
        """Start founding if this member is the one to do it."""
        if self._bootstrap and self._core.instance == self._instances[0]:
            self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        if self._thread.ident is not None:
            self._thread.join(_JOIN_S)

    def tick(self) -> None:
        """Tell the leader of an identity that has no vote; worker only."""
        core = self._core
        now = time.monotonic()
        if now < self._join_at or not self._wants_to_join(now):
            return
        self._join_at = now + core.options.join_interval_s
        message = JoinGroup(instance=core.instance, identity=core.identity)
        known = {member.instance for member in core.journal.group.members}
        for instance in known.union(self._instances) - {core.instance}:
            send_or_drop(core.mailbox, instance, message)

    def _wants_to_join(self, now: float) -> bool:
        core = self._core
        if not core.is_voter:
            return True
        silence_s = now - core.heard_at
        return (
            core.leadership is None
            and silence_s > core.options.rejoin_timeout_s
        )

    def _list_others(self) -> list[str]:
        return [
            instance
            for instance in self._instances
            if instance != self._core.instance
        ]

    def _is_empty(self) -> bool:
        """Return whether nothing but the identity was ever stored."""
        return self._core.journal.last_index == 0 and self._core.term == 0

    def _run(self) -> None:
        """Found the group and spread its first record up to an election."""
        core = self._core
        while not self._stopped.is_set() and core.leader is None:
            if self._is_empty():
                self._found()
            elif core.journal.last_index == 1:
                self._spread()
            self._stopped.wait(core.options.join_interval_s)

    def _found(self) -> None:
        core = self._core
        identities = {core.instance: core.identity}
        for instance in self._list_others():
            reply = self._ask(instance, ())
            if reply is None or not reply.empty:
                return
            identities[instance] = reply.identity
        group = Group(
            tuple(
                MemberIdentity(instance=name, identity=identity, voter=True)
                for name, identity in identities.items()
            ),
        )
        core.worker.post(partial(self._store, group))
        core.wait_until(
            lambda: core.journal.synced_index > 0,
            time.monotonic() + core.options.join_interval_s,
        )
        if not self._is_empty():
            self._spread()

    def _spread(self) -> None:
        members = self._core.journal.group.members
        for member in members:
            if member.instance == self._core.instance:
                continue
            reply = self._ask(member.instance, ())
            if reply is not None and reply.empty:
                self._ask(member.instance, members)

    def _ask(
        self,
        instance: str,
        members: Sequence[MemberIdentity],
    ) -> FoundGroupReply | None:
        request = FoundGroup(
            identity=self._core.identity,
            members=MemberList(members=list(members)),
        )
        try:
            reply = self._core.mailbox.call(
                instance,
                request,
                self._core.options.join_interval_s,
            )
        except TransportError:
            return None
        return reply if isinstance(reply, FoundGroupReply) else None

    def _on_found(self, delivery: Delivery) -> None:
        message: FoundGroup = delivery.message
        core = self._core
        members = tuple(message.members.members)
        if self._bootstrap and self._is_empty():
            if not members:
                self._promised = message.identity
            elif self._promised == message.identity:
                self._store(Group(members))
        reply = FoundGroupReply(
            identity=core.identity,
            empty=self._bootstrap
            and self._is_empty()
            and self._promised == message.identity,
        )
        core.mailbox.reply(delivery, reply)

    def _store(self, group: Group) -> None:
        """Store the first record; worker only."""
        core = self._core
        if not self._is_empty() or core.identity not in group.voters:
            return
        record = LogRecord(
            index=1,
            term=_FOUNDING_TERM,
            kind='members',
            payload=encode_group(group),
        )
        with core.changed:
            core.journal.append([record])
        core.persist()
        core.store_vote(_FOUNDING_TERM, '')
        with core.changed:
            core.changed.notify_all()
        _LOGGER.info('Group founded.', extra={'identity': core.identity})

    def _on_join(self, delivery: Delivery) -> None:
        message: JoinGroup = delivery.message
        core = self._core
        if core.leadership is None:
            self._pass_on(message)
            return
        with core.changed:
            joins = core.leadership.joins
            joins[message.instance] = read_lease_clock()
            known = core.leadership.identities.get(message.instance)
            core.leadership.identities[message.instance] = message.identity
        if known != message.identity:
            _LOGGER.warning(
                'A member without a vote asks to join.',
                extra={
                    'member': message.instance,
                    'identity': message.identity,
                },
            )

    def _pass_on(self, message: JoinGroup) -> None:
        # Seeds need not include the leader.
        leader = self._core.leader
        if leader is not None and leader != message.instance:
            send_or_drop(self._core.mailbox, leader, message)
