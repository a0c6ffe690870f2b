"""What a leader knows during one term."""

import threading
from collections.abc import Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, Literal

from shallotgate.consensus._group import Group
from shallotgate.timers import read_lease_clock


@dataclass(eq=False)
class Proposal:
    """A record that is to be committed and the caller that waits for it."""

    kind: Literal['command', 'members', 'noop']
    payload: bytes
    future: 'Future[Any]' = field(default_factory=Future)
    # Term in which it was written; 0 before.
    term: int = 0


@dataclass
class Progress:
    """How far one identity has come."""

    instance: str
    match: int = 0
    # Time of the lease clock at which the last answered message was sent.
    acked_at: float = float('-inf')


class Leadership:
    """State of a leader in one term; used while ``changed`` is held."""

    def __init__(self, term: int, identity: str, lease_s: float) -> None:
        self.term = term
        self.identity = identity
        self.progress: dict[str, Progress] = {}
        # Identity last heard from each instance.
        self.identities: dict[str, str] = {}
        # Time of the lease clock of the last request to join, by instance.
        self.joins: dict[str, float] = {}
        self.waiting: list[Proposal] = []
        # Set once a record of this term is applied.
        self.is_ready = False
        # Set while leadership is handed over: no proposals, no lease.
        self.is_transferring = False
        self.is_closed = False
        self.threads: list[threading.Thread] = []
        self._lease_s = lease_s
        self._started_at = read_lease_clock()

    def note_reply(
        self,
        instance: str,
        identity: str,
        sent_at: float,
        match: int,
    ) -> None:
        """Note the answer of a member to a message sent at a time."""
        self.identities[instance] = identity
        progress = self.progress.setdefault(identity, Progress(instance))
        progress.acked_at = max(progress.acked_at, sent_at)
        progress.match = max(progress.match, match)

    def holds_lease(self, group: Group) -> bool:
        """Return whether no other member can lead at this time."""
        if self.is_closed or self.is_transferring:
            return False
        acked_at = self._read_quorum_ack(group)
        return read_lease_clock() < acked_at + self._lease_s

    def read_silence_s(self, group: Group) -> float:
        """Return for how long no majority has answered, in seconds."""
        acked_at = max(self._read_quorum_ack(group), self._started_at)
        return read_lease_clock() - acked_at

    def read_quorum_match(self, group: Group, synced_index: int) -> int:
        """Return the last index that a majority has synced."""
        matches: dict[str, float] = {
            identity: progress.match
            for identity, progress in self.progress.items()
        }
        matches[self.identity] = synced_index
        return int(max(group.quorum_value(matches), 0))

    def take_waiting(self) -> list[Proposal]:
        """Return and clear the waiting proposals."""
        waiting = self.waiting
        self.waiting = []
        return waiting

    def list_caught_up(
        self, group: Group, max_age_s: float
    ) -> Iterable[Progress]:
        """Return the live voters besides this one, furthest first."""
        oldest = read_lease_clock() - max_age_s
        live = [
            progress
            for identity, progress in self.progress.items()
            if identity in group.voters and progress.acked_at >= oldest
        ]
        return sorted(live, key=lambda progress: progress.match, reverse=True)

    def read_member_silence_s(self, identity: str) -> float:
        """Return for how long a member has not answered, in seconds."""
        progress = self.progress.get(identity)
        acked_at = progress.acked_at if progress else float('-inf')
        return read_lease_clock() - max(acked_at, self._started_at)

    def _read_quorum_ack(self, group: Group) -> float:
        acks = {
            identity: progress.acked_at
            for identity, progress in self.progress.items()
        }
        acks[self.identity] = float('inf')
        return group.quorum_value(acks)
