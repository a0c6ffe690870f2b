"""Status of a member as operators see it."""

from dataclasses import dataclass
from typing import Literal

Role = Literal['leader', 'follower', 'candidate', 'learner', 'damaged']


@dataclass(frozen=True)
class DamageReport:
    """Damage that keeps a member out of its group."""

    path: str
    # Offset of the damaged frame in bytes.
    offset: int
    reason: str


@dataclass(frozen=True)
class MemberStatus:
    """What this member knows of one identity."""

    instance: str
    identity: str
    voter: bool
    # Last index known to be synced there; 0 unless this member leads.
    match_index: int
    # Seconds since the last message of the instance; infinite if none.
    last_heard_s: float


@dataclass(frozen=True)
class GroupStatus:
    """The group as seen by one member."""

    instance: str
    identity: str
    term: int
    role: Role
    # Known leader; None if there is none.
    leader: str | None
    commit: int
    applied: int
    last_index: int
    snapshot_index: int
    # Syncs of the log file since the start.
    log_syncs: int
    # Members of the group, then identities that are not admitted.
    members: tuple[MemberStatus, ...]
    damage: DamageReport | None
