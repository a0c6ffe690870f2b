"""Sessions of instances, kept only in the leader's memory."""

import threading
import time
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from shallotgate.generated.messages import (
    Heartbeat,
    InstanceRecord,
    Owner,
    Ownership,
    Release,
)
from shallotgate.state import RecentChanges
from shallotgate.transport import Delivery

LEASE_S = 4.0
# Largest relative drift between the clocks of two machines.
MAX_CLOCK_DRIFT = 0.02
# Older heartbeats are ignored: half of the granted lease would have elapsed.
MAX_HEARTBEAT_AGE_S = LEASE_S / 2
_US_PER_S = 1_000_000

_Key = tuple[str, str]


@dataclass(frozen=True)
class InstanceSession:
    """A start of an instance that was granted a lease."""

    record: InstanceRecord
    # Monotonic time at which its last heartbeat was received.
    renewed_at: float
    # Sequence number of its last heartbeat.
    sequence: int
    # By target name.
    releases: Mapping[str, Release]
    # Whether a later start of the same instance has sent a heartbeat.
    superseded: bool = False
    # Monotonic time of its last refused heartbeat.
    refused_at: float = float('-inf')

    @property
    def owner(self) -> Owner:
        """Return the instance and start id as an owner."""
        return Owner(
            instance=self.record.instance,
            start_id=self.record.start_id,
        )

    @property
    def expires_at(self) -> float:
        """Return the time at which its lease has expired on any clock."""
        return self.renewed_at + LEASE_S * (1 + MAX_CLOCK_DRIFT)

    def is_live(self, now: float) -> bool:
        """Return whether its lease is valid and it is the latest start."""
        return now < self.expires_at and not self.superseded


@dataclass(frozen=True)
class SessionSnapshot:
    """Immutable copy of all sessions at one time."""

    # Monotonic time in seconds.
    now: float
    # Monotonic time at which this leader was elected. The leader has no record
    # of earlier renewals, so all leases count as renewed at this time.
    elected_at: float
    # Longest duration of an attempt in seconds. An attempt that was dispatched
    # at the end of a lease may run for that long after the lease.
    max_attempt_s: float
    # By instance and start id.
    sessions: Mapping[_Key, InstanceSession]

    @property
    def are_leases_known(self) -> bool:
        """Whether every instance with a lease has a session here.

        Leases that a former leader granted have expired by then.
        """
        return self.now >= self.elected_at + LEASE_S * (1 + MAX_CLOCK_DRIFT)

    def list_live(self) -> tuple[InstanceSession, ...]:
        """Return the sessions with a valid lease, one for each instance."""
        return tuple(
            session
            for session in self.sessions.values()
            if session.is_live(self.now)
        )

    def is_lost(self, owner: Owner) -> bool:
        """Return whether an owner has no lease or was superseded.

        An owner without a session counts as lost only once leases granted by a
        former leader have expired.
        """
        session = self.sessions.get((owner.instance, owner.start_id))
        return (
            self.are_leases_known
            if session is None
            else (not session.is_live(self.now))
        )

    def may_hold(self, owner: Owner) -> bool:
        """Return whether an owner may dispatch or have attempts in flight."""
        session = self.sessions.get((owner.instance, owner.start_id))
        renewed_at = self.elected_at
        if session is not None:
            renewed_at = max(renewed_at, session.renewed_at)
        held_s = (LEASE_S + self.max_attempt_s) * (1 + MAX_CLOCK_DRIFT)
        return self.now < renewed_at + held_s

    def find_release(self, owned: Ownership) -> Release | None:
        """Return the owner's release of a target, if it is valid.

        A release of the epoch before a move is also valid, since a move raises
        the epoch by one and keeps the owner.
        """
        session = self.sessions.get((owned.instance, owned.start_id))
        if session is None:
            return None
        release = session.releases.get(owned.target)
        if release is None:
            return None
        is_held = owned.state == 'held'
        first = owned.epoch if is_held else owned.epoch - 1
        return release if first <= release.epoch <= owned.epoch else None


@dataclass(frozen=True)
class LiveInstances:
    """Live instances at one version, and the changes since an earlier one."""

    version: int
    # By instance.
    records: Mapping[str, InstanceRecord]
    # Instances that changed; ``None`` if the log of changes doesn't reach back
    # to the earlier version.
    names: frozenset[str] | None


def _make_session(
    delivery: Delivery,
    heartbeat: Heartbeat,
    now: float,
) -> InstanceSession:
    record = InstanceRecord(
        instance=delivery.sender,
        start_id=delivery.start_id,
        domain=heartbeat.domain,
        address=heartbeat.address,
        roles=tuple(heartbeat.roles),
        readiness=heartbeat.readiness,
        operator_address=heartbeat.operator_address,
        caller_address=heartbeat.caller_address,
        versions=heartbeat.versions,
    )
    return InstanceSession(
        record=record,
        renewed_at=now,
        sequence=heartbeat.sequence,
        releases={release.target: release for release in heartbeat.releases},
    )


def _make_public_record(session: InstanceSession) -> InstanceRecord:
    """Return the record without the fields that each heartbeat may change."""
    return replace(session.record, versions=None)


class SessionTable:
    """Sessions and leases that this leader has granted."""

    def __init__(self, max_attempt_s: float) -> None:
        self._max_attempt_s = max_attempt_s
        self._lock = threading.Lock()
        self._sessions: dict[_Key, InstanceSession] = {}
        self._elected_at = float('inf')
        # Records of live instances at the current version, by instance.
        self._live_records: dict[str, InstanceRecord] = {}
        self._recent: RecentChanges[str] = RecentChanges()
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the set of live instances."""
        return self._version

    def reset(self, elected_at: float) -> None:
        """Remove all sessions and count every lease as renewed at the election.

        The former leader may have granted leases until then.
        """
        with self._lock:
            self._sessions.clear()
            self._live_records.clear()
            self._elected_at = elected_at
            self._bump_version(())
            # Differences from versions of an earlier leadership are unknown.
            self._recent.clear(self._version)

    def renew(
        self, delivery: Delivery, heartbeat: Heartbeat, now: float
    ) -> bool:
        """Renew a session; return whether a lease may be granted.

        A superseded start of an instance is refused while a later start of the
        same instance has a lease.
        """
        key = (delivery.sender, delivery.start_id)
        with self._lock:
            session = self._sessions.get(key)
            if session is None or session.superseded:
                if session is not None and self._has_live_session(key[0], now):
                    refused = replace(session, refused_at=now)
                    self._sessions[key] = refused
                    return False
                self._supersede(key[0])
            elif heartbeat.sequence < session.sequence:
                # Delivered out of order: it renews the lease, but its content
                # is out of date.
                renewed = replace(session, renewed_at=now)
                self._sessions[key] = renewed
                self._publish_record(renewed)
                return True
            renewed = _make_session(delivery, heartbeat, now)
            self._sessions[key] = renewed
            self._publish_record(renewed)
        return True

    def take_snapshot(self, now: float) -> SessionSnapshot:
        """Return a copy of all sessions, and remove expired ones."""
        with self._lock:
            view = SessionSnapshot(
                now=now,
                elected_at=self._elected_at,
                max_attempt_s=self._max_attempt_s,
                sessions=dict(self._sessions),
            )
            self._remove_expired(view)
            self._unlist_expired(now)
        return view

    def list_changes(self, known: int, now: float) -> LiveInstances:
        """Return the live instances and the changes since a known version.

        The records leave out the versions of the state that each instance has
        applied, as these change without a new version of the set.
        """
        with self._lock:
            self._unlist_expired(now)
            return LiveInstances(
                version=self._version,
                records=dict(self._live_records),
                names=self._recent.list_since(known),
            )

    def _publish_record(self, session: InstanceSession) -> None:
        record = _make_public_record(session)
        if self._live_records.get(record.instance) != record:
            self._live_records[record.instance] = record
            self._bump_version((record.instance,))

    def _unlist_expired(self, now: float) -> None:
        ended = [
            name
            for name, record in self._live_records.items()
            if not self._is_live((name, record.start_id), now)
        ]
        for name in ended:
            self._live_records.pop(name)
        if ended:
            self._bump_version(ended)

    def _is_live(self, key: _Key, now: float) -> bool:
        session = self._sessions.get(key)
        return session is not None and session.is_live(now)

    def _has_live_session(self, instance: str, now: float) -> bool:
        return any(
            session.record.instance == instance and session.is_live(now)
            for session in self._sessions.values()
        )

    def _supersede(self, instance: str) -> None:
        for key, session in self._sessions.items():
            if session.record.instance == instance:
                self._sessions[key] = replace(session, superseded=True)

    def _remove_expired(self, view: SessionSnapshot) -> None:
        # A session is kept while its owner may hold targets. A superseded start
        # that still sends heartbeats is kept too: otherwise it would be taken
        # for a new start, and the two would supersede each other in turn.
        for key, session in view.sessions.items():
            is_refused = view.now < session.refused_at + LEASE_S
            if not is_refused and not view.may_hold(session.owner):
                self._sessions.pop(key)

    def _bump_version(self, names: Collection[str]) -> None:
        # Wall-clock time makes versions of different leaders distinct.
        self._version = max(self._version + 1, int(time.time() * _US_PER_S))
        self._recent.add(self._version, names)
