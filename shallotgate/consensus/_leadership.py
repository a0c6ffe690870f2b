"""State of a leader during one term."""

import threading
from collections.abc import Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

from shallotgate.consensus._group import Group
from shallotgate.timers import read_lease_clock


@dataclass(eq=False)
class Proposal:
    """Record to commit, with a future for its result."""

    kind: Literal['command', 'members', 'noop']
    payload: bytes
    future: 'Future[Any]' = field(default_factory=Future)
    # Term in which the record was written; 0 until then.
    term: int = 0


@dataclass
class Progress:
    """Replication progress of an identity."""

    instance: str
    match_index: int = 0
    # Lease clock time at which the last acknowledged message was sent.
    acked_at: float = float('-inf')


class ReplacementRequest(NamedTuple):
    """Request of an operator to replace the identity of a member."""

    instance: str
    # Lease clock time; a reply from before may come from a disk that was lost
    # since.
    requested_at: float


class Leadership:
    """State of a leader in one term; access requires ``changed``."""

    def __init__(self, term: int, identity: str, lease_s: float) -> None:
        self.term = term
        self.identity = identity
        self.progress: dict[str, Progress] = {}
        # Latest identity in the replies of each instance.
        self.identities: dict[str, str] = {}
        # Lease clock time of the latest join request, by instance.
        self.join_requests: dict[str, float] = {}
        # Requests of operators that wait.
        self.replacements: list[ReplacementRequest] = []
        self.pending: list[Proposal] = []
        # Set once a record of this term is applied.
        self.is_ready = False
        # Set during a leadership transfer: no proposals are accepted and the
        # lease is not valid.
        self.is_transferring = False
        self.is_closed = False
        self.threads: list[threading.Thread] = []
        self._lease_s = lease_s
        self._started_at = read_lease_clock()
        # Lease clock time at which an identity was admitted.
        self._admitted_at: dict[str, float] = {}
        # Group at the last look at its age, and since when it is that.
        self._known_group: Group | None = None
        self._group_since = self._started_at

    def record_reply(
        self,
        instance: str,
        identity: str,
        sent_at: float,
        match_index: int,
    ) -> None:
        """Record the reply of a member to a message sent at ``sent_at``."""
        self.identities[instance] = identity
        progress = self.progress.setdefault(identity, Progress(instance))
        progress.acked_at = max(progress.acked_at, sent_at)
        progress.match_index = max(progress.match_index, match_index)

    def record_admission(self, identity: str) -> None:
        """Record that an identity becomes a member now.

        It is not unresponsive before it had time for its first reply.
        """
        self._admitted_at[identity] = read_lease_clock()

    def has_replied_since(self, instance: str, since: float) -> bool:
        """Return whether a message sent since then was acknowledged."""
        identity = self.identities.get(instance, '')
        progress = self.progress.get(identity)
        return progress is not None and progress.acked_at >= since

    def holds_lease(self, group: Group) -> bool:
        """Return whether the lease excludes any other leader at present."""
        if self.is_closed or self.is_transferring:
            return False
        acked_at = self._read_quorum_ack(group)
        return read_lease_clock() < acked_at + self._lease_s

    def read_quorum_ack_age_s(self, group: Group) -> float:
        """Return the seconds since a majority last acknowledged a message."""
        acked_at = max(self._read_quorum_ack(group), self._started_at)
        return read_lease_clock() - acked_at

    def read_quorum_match_index(self, group: Group, synced_index: int) -> int:
        """Return the highest index that a majority has synced."""
        match_indexes: dict[str, float] = {
            identity: progress.match_index
            for identity, progress in self.progress.items()
        }
        match_indexes[self.identity] = synced_index
        return int(max(group.quorum_value(match_indexes), 0))

    def read_group_age_s(self, group: Group) -> float:
        """Return the seconds for which the group has been as it is.

        A change is noticed with the next call.
        """
        now = read_lease_clock()
        if self._known_group is None:
            self._known_group = group
        elif group != self._known_group:
            self._known_group = group
            self._group_since = now
        return now - self._group_since

    def take_pending(self) -> list[Proposal]:
        """Return and clear the pending proposals."""
        pending = self.pending
        self.pending = []
        return pending

    def list_live_voters(
        self, group: Group, max_age_s: float
    ) -> Iterable[Progress]:
        """Return other voters with a recent reply, most up to date first."""
        oldest_ack = read_lease_clock() - max_age_s
        live = [
            progress
            for identity, progress in self.progress.items()
            if identity in group.voters and progress.acked_at >= oldest_ack
        ]
        return sorted(
            live, key=lambda progress: progress.match_index, reverse=True
        )

    def list_live_identities(self, max_age_s: float) -> frozenset[str]:
        """Return the own identity and those that replied recently."""
        oldest_ack = read_lease_clock() - max_age_s
        live = {
            identity
            for identity, progress in self.progress.items()
            if progress.acked_at >= oldest_ack
        }
        return frozenset(live | {self.identity})

    def read_member_ack_age_s(self, identity: str) -> float:
        """Return the seconds since a member last acknowledged a message."""
        progress = self.progress.get(identity)
        acked_at = progress.acked_at if progress else float('-inf')
        return min(
            read_lease_clock() - acked_at, self.read_admission_age_s(identity)
        )

    def read_admission_age_s(self, identity: str) -> float:
        """Return the seconds since an identity became a member.

        Counted from the begin of the leadership for those of former leaders.
        """
        admitted_at = self._admitted_at.get(identity, self._started_at)
        return read_lease_clock() - admitted_at

    def _read_quorum_ack(self, group: Group) -> float:
        acked_times = {
            identity: progress.acked_at
            for identity, progress in self.progress.items()
        }
        acked_times[self.identity] = float('inf')
        return group.quorum_value(acked_times)
