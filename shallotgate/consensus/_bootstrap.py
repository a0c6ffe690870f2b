"""Bootstrap of the group and join requests of new identities."""

import threading
import time
from collections.abc import Sequence
from functools import partial

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._group import Group, encode_group
from shallotgate.consensus._member_state import MemberState
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
_THREAD_JOIN_TIMEOUT_S = 5
# Term of the first record. No votes are cast in this term.
_BOOTSTRAP_TERM = 1


class GroupBootstrapper:
    """Bootstraps the group once, with the identities of all its members.

    Only the member with the smallest instance id bootstraps the group. It asks
    all members and continues only if each of them is empty and promises to
    accept the member list from no other identity. It stores the list itself
    before it sends it, so two different lists never exist: a founder that lost
    its disk finds a member that is not empty, or one that refuses the former
    list because of its new promise. A member with a wiped disk therefore
    neither bootstraps a group nor votes while any other member holds data.
    """

    def __init__(
        self,
        state: MemberState,
        members: Sequence[Member],
        *,
        bootstrap: bool,
    ) -> None:
        self._state = state
        self._instances = sorted(member.instance for member in members)
        self._bootstrap = bootstrap
        # Identity of the founder whose member list this member accepts.
        self._promised_founder = ''
        self._next_join_at: float = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='found',
            daemon=True,
        )
        state.worker.subscribe(state.mailbox, FoundGroup, self._on_found_group)
        state.worker.subscribe(state.mailbox, JoinGroup, self._on_join_group)

    def start(self) -> None:
        """Start the bootstrap thread if this member is the founder."""
        if self._bootstrap and self._state.instance == self._instances[0]:
            self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        if self._thread.ident is not None:
            self._thread.join(_THREAD_JOIN_TIMEOUT_S)

    def tick(self) -> None:
        """Send a join request if one is due; worker only."""
        state = self._state
        now = time.monotonic()
        if now < self._next_join_at or not self._should_request_join(now):
            return
        self._next_join_at = now + state.options.join_interval_s
        message = JoinGroup(instance=state.instance, identity=state.identity)
        known_instances = {
            member.instance for member in state.journal.group.members
        }
        for instance in known_instances.union(self._instances) - {
            state.instance
        }:
            send_or_drop(state.mailbox, instance, message)

    def _should_request_join(self, now: float) -> bool:
        state = self._state
        if not state.is_voter:
            return True
        contact_age_s = now - state.last_leader_contact
        return (
            state.leadership is None
            and contact_age_s > state.options.rejoin_timeout_s
        )

    def _list_others(self) -> list[str]:
        return [
            instance
            for instance in self._instances
            if instance != self._state.instance
        ]

    def _is_empty(self) -> bool:
        """Return whether only the identity was ever stored."""
        return self._state.journal.last_index == 0 and self._state.term == 0

    def _run(self) -> None:
        """Bootstrap the group; resend its record until a leader is known."""
        state = self._state
        while not self._stopped.is_set() and state.leader is None:
            if self._is_empty():
                self._bootstrap_group()
            elif state.journal.last_index == 1:
                self._send_first_record()
            self._stopped.wait(state.options.join_interval_s)

    def _bootstrap_group(self) -> None:
        state = self._state
        identities = {state.instance: state.identity}
        for instance in self._list_others():
            reply = self._call_found_group(instance, ())
            if reply is None or not reply.empty:
                return
            identities[instance] = reply.identity
        group = Group(
            tuple(
                MemberIdentity(instance=name, identity=identity, voter=True)
                for name, identity in identities.items()
            ),
        )
        state.worker.post(partial(self._store_first_record, group))
        state.wait_until(
            lambda: state.journal.synced_index > 0,
            time.monotonic() + state.options.join_interval_s,
        )
        if not self._is_empty():
            self._send_first_record()

    def _send_first_record(self) -> None:
        members = self._state.journal.group.members
        for member in members:
            if member.instance == self._state.instance:
                continue
            reply = self._call_found_group(member.instance, ())
            if reply is not None and reply.empty:
                self._call_found_group(member.instance, members)

    def _call_found_group(
        self,
        instance: str,
        members: Sequence[MemberIdentity],
    ) -> FoundGroupReply | None:
        request = FoundGroup(
            identity=self._state.identity,
            members=MemberList(members=list(members)),
        )
        try:
            reply = self._state.mailbox.call(
                instance,
                request,
                self._state.options.join_interval_s,
            )
        except TransportError:
            return None
        return reply if isinstance(reply, FoundGroupReply) else None

    def _on_found_group(self, delivery: Delivery) -> None:
        message: FoundGroup = delivery.message
        state = self._state
        members = tuple(message.members.members)
        if self._bootstrap and self._is_empty():
            if not members:
                self._promised_founder = message.identity
            elif self._promised_founder == message.identity:
                self._store_first_record(Group(members))
        reply = FoundGroupReply(
            identity=state.identity,
            empty=self._bootstrap
            and self._is_empty()
            and self._promised_founder == message.identity,
        )
        state.mailbox.reply(delivery, reply)

    def _store_first_record(self, group: Group) -> None:
        """Store the first record of the log; worker only."""
        state = self._state
        if not self._is_empty() or state.identity not in group.voters:
            return
        record = LogRecord(
            index=1,
            term=_BOOTSTRAP_TERM,
            kind='members',
            payload=encode_group(group),
        )
        with state.changed:
            state.journal.append([record])
        state.persist()
        state.store_vote(_BOOTSTRAP_TERM, '')
        with state.changed:
            state.changed.notify_all()
        _LOGGER.info('Group bootstrapped.', extra={'identity': state.identity})

    def _on_join_group(self, delivery: Delivery) -> None:
        message: JoinGroup = delivery.message
        state = self._state
        if state.leadership is None:
            self._forward_join_request(message)
            return
        with state.changed:
            join_requests = state.leadership.join_requests
            join_requests[message.instance] = read_lease_clock()
            former_identity = state.leadership.identities.get(message.instance)
            state.leadership.identities[message.instance] = message.identity
        if former_identity != message.identity:
            _LOGGER.warning(
                'Join request from a new identity received.',
                extra={
                    'member': message.instance,
                    'identity': message.identity,
                },
            )

    def _forward_join_request(self, message: JoinGroup) -> None:
        # The seeds of the sender need not include the leader.
        leader = self._state.leader
        if leader is not None and leader != message.instance:
            send_or_drop(self._state.mailbox, leader, message)
