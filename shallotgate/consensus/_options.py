"""Times, limits and policy of the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ConsensusOptions:
    """Times in seconds and limits; the defaults are the product.

    The lease must be shorter than the shortest election timeout: a member
    that heard from a leader grants no vote for ``election_min_s``.
    """

    # Whether the group admits instances that ask to join and drops silent ones
    # by itself; otherwise an operator replaces members.
    automatic_membership: bool = False
    # Monotonic time since which this instance has certainly answered no
    # leader, if that is earlier than its construction; None if unknown.
    no_leader_contact_since: float | None = None
    heartbeat_interval_s: float = 0.15
    lease_s: float = 0.6
    election_timeout_min_s: float = 0.8
    election_timeout_max_s: float = 1.6
    # Members whose election is due already when they start stand within this
    # time: a vote takes some tens of milliseconds.
    overdue_election_jitter_s: float = 0.15
    # Wait before another attempt after an election without a winner.
    election_retry_min_s: float = 0.1
    election_retry_max_s: float = 0.4
    tick_interval_s: float = 0.05
    # Wait for the reply to a heartbeat, to records and to a snapshot part.
    heartbeat_timeout_s: float = 0.3
    append_timeout_s: float = 0.5
    snapshot_chunk_timeout_s: float = 2.0
    # Applied records between two snapshots.
    snapshot_interval_records: int = 1000
    # Records kept behind a snapshot, so that a member that is slightly behind
    # needs no snapshot.
    trailing_records: int = 200
    # Most bytes of records in one message, and size of a snapshot part.
    max_message_bytes: int = 1024 * 1024
    # Wait between two attempts to found or join a group.
    join_interval_s: float = 0.5
    # A voter that hears no leader for this long asks to join: it may have
    # been removed from the group. Longer than an election takes.
    rejoin_timeout_s: float = 3.0
    # A silent member makes room for one that asks to join after this time,
    # which is longer than an answer takes on a disk that syncs slowly.
    replace_unresponsive_s: float = 1.5
    # Without anyone asking to join, a silent member of an even group, which
    # tolerates no more losses than the group without it, leaves after this.
    # A member whose successor was admitted before it was noticed must be gone
    # within 4 s, when the next one may be lost.
    remove_unresponsive_s: float = 2.0
    # A request to join counts for this long.
    join_request_ttl_s: float = 2.0
