"""Status of a member as reported to operators."""

from dataclasses import dataclass
from typing import Literal

Role = Literal[
    'leader',
    'follower',
    'candidate',
    'learner',
    'damaged',
    'suspended',
]


@dataclass(frozen=True)
class DamageReport:
    """File damage that prevents a member from joining its group."""

    path: str
    # Offset of the damaged frame, in bytes.
    offset: int
    reason: str


@dataclass(frozen=True)
class MemberStatus:
    """Status of one identity as known to the reporting member."""

    instance: str
    identity: str
    voter: bool
    # Highest index known to be synced there. For other members it is known
    # to the leader only and 0 elsewhere.
    match_index: int
    # Seconds since the last message from the instance; infinite if none.
    last_heard_s: float


@dataclass(frozen=True)
class MembershipWait:
    """A change of the members that the leader can't make yet."""

    action: str
    # Instance of the member to replace, remove, promote or add.
    instance: str
    reason: str
    waiting_s: float


@dataclass(frozen=True)
class GroupStatus:
    """Status of the group as seen by one member."""

    instance: str
    identity: str
    term: int
    role: Role
    # Instance id of the known leader; None if there is none.
    leader: str | None
    commit: int
    applied: int
    last_index: int
    snapshot_index: int
    # Number of syncs of the log file since the start of the process.
    log_syncs: int
    # Members of the group, followed by known identities that are not members.
    members: tuple[MemberStatus, ...]
    # Changes of the members that wait, as the leader knows; empty elsewhere.
    waits: tuple[MembershipWait, ...]
    damage: DamageReport | None
