"""Options of the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ConsensusOptions:
    """Timeouts in seconds, limits and policy of the replicated log.

    The lease must be shorter than the shortest election timeout: a member
    that received a message from a leader grants no vote for
    ``election_timeout_min_s``.
    """

    # Whether the leader adds instances that request to join and removes
    # unresponsive members automatically. Otherwise, an operator replaces
    # members.
    automatic_membership: bool = False
    # Monotonic time since which this instance has certainly not replied to a
    # leader, if that is before the construction of the log; None if unknown.
    no_leader_contact_since: float | None = None
    heartbeat_interval_s: float = 0.15
    lease_s: float = 0.6
    election_timeout_min_s: float = 0.8
    election_timeout_max_s: float = 1.6
    # Members whose election timeout has already elapsed when they start wait
    # for a random part of this time, to avoid split votes: a vote takes some
    # tens of milliseconds.
    overdue_election_jitter_s: float = 0.15
    # Range of the delay before a retry after an election without a winner.
    election_retry_min_s: float = 0.1
    election_retry_max_s: float = 0.4
    tick_interval_s: float = 0.05
    # Timeouts of the replies to a heartbeat, to records and to a chunk of a
    # snapshot.
    heartbeat_timeout_s: float = 0.3
    append_timeout_s: float = 0.5
    snapshot_chunk_timeout_s: float = 2.0
    # Number of applied records between two snapshots.
    snapshot_interval_records: int = 1000
    # Number of records before a snapshot that are kept, so that a member that
    # lags slightly does not need the snapshot.
    trailing_records: int = 200
    # Maximum payload of the records in a message, and size of a snapshot chunk.
    max_message_bytes: int = 1024 * 1024
    # Interval between attempts to bootstrap or join a group.
    join_interval_s: float = 0.5
    # A voter without contact to a leader for this long requests to join, as it
    # may have been removed from the group. Longer than an election takes.
    rejoin_timeout_s: float = 3.0
    # A member that is unresponsive for this long is removed in favour of an
    # instance that requests to join. Longer than a reply takes on a disk that
    # syncs slowly.
    replace_unresponsive_s: float = 1.5
    # Without a join request, an unresponsive member is removed after this time
    # if it has no vote or the number of voters is even, as the group tolerates
    # no fewer losses without it. If its successor was added before the failure
    # was detected, the member has to be removed within 4 s, when the next
    # member may fail.
    remove_unresponsive_s: float = 2.0
    # Disks that may be lost at the same time, as the deployment states; 0 if it
    # does not.
    tolerated_losses: int = 0
    # Time for which the group has to stay as it is before a leader accepts
    # commands although it does not tolerate these losses: a deployment may have
    # fewer members than it needs.
    growth_timeout_s: float = 5.0
    # Validity of a join request.
    join_request_ttl_s: float = 2.0
