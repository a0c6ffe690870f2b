"""Sessions of instances, in the leader's memory only."""

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
# Clocks of two machines may run apart by this share.
MAX_CLOCK_DRIFT = 0.02
# Older heartbeats are ignored: their lease would be half over.
MAX_HEARTBEAT_AGE_S = LEASE_S / 2
_US_PER_S = 1_000_000

_Key = tuple[str, str]


@dataclass(frozen=True)
class InstanceSession:
    """One start of an instance that was granted a lease."""

    record: InstanceRecord
    # Monotonic time at which its last heartbeat was received.
    renewed_at: float
    # Number of its last heartbeat.
    sequence: int
    # By target name.
    releases: Mapping[str, Release]
    # Whether a later start of the same instance has been heard.
    superseded: bool = False
    # Monotonic time of its last refused heartbeat.
    refused_at: float = float('-inf')

    @property
    def owner(self) -> Owner:
        """Return the instance at this start."""
        return Owner(
            instance=self.record.instance,
            start_id=self.record.start_id,
        )

    @property
    def expires_at(self) -> float:
        """Return the time by which its lease is over on its own clock."""
        return self.renewed_at + LEASE_S * (1 + MAX_CLOCK_DRIFT)

    def is_live(self, now: float) -> bool:
        """Return whether it has a lease and is the latest start."""
        return now < self.expires_at and not self.superseded


@dataclass(frozen=True)
class SessionSnapshot:
    """All sessions at one moment; never changes."""

    # Monotonic time in seconds.
    now: float
    # When this leader was elected; no lease was renewed before as far as it
    # knows, so all count as renewed then.
    elected_at: float
    # Longest time of an attempt in seconds. One that was dispatched at the
    # end of a lease may run for so long afterwards.
    max_attempt_s: float
    # By instance and start id.
    sessions: Mapping[_Key, InstanceSession]

    @property
    def all_heard(self) -> bool:
        """Whether every instance that has a lease has been heard."""
        return self.now >= self.elected_at + LEASE_S * (1 + MAX_CLOCK_DRIFT)

    def list_live(self) -> tuple[InstanceSession, ...]:
        """Return the sessions with a lease, one for each instance."""
        return tuple(
            session
            for session in self.sessions.values()
            if session.is_live(self.now)
        )

    def is_lost(self, owner: Owner) -> bool:
        """Return whether an owner has no lease, or a later start."""
        session = self.sessions.get((owner.instance, owner.start_id))
        return (
            self.all_heard
            if session is None
            else (not session.is_live(self.now))
        )

    def may_hold(self, owner: Owner) -> bool:
        """Return whether an owner may dispatch or still have attempts."""
        session = self.sessions.get((owner.instance, owner.start_id))
        renewed_at = self.elected_at
        if session is not None:
            renewed_at = max(renewed_at, session.renewed_at)
        held_s = (LEASE_S + self.max_attempt_s) * (1 + MAX_CLOCK_DRIFT)
        return self.now < renewed_at + held_s

    def find_release(self, owned: Ownership) -> Release | None:
        """Return the owner's word that it has let a target go.

        A release of the epoch before a move is also valid: a move raises the
        epoch by one and keeps the owner.
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
class ListedInstances:
    """The live instances at one version, and what led there."""

    version: int
    # By instance.
    records: Mapping[str, InstanceRecord]
    # Instances that changed; ``None`` where the record doesn't reach back.
    names: frozenset[str] | None


def _make_session(
    delivery: Delivery,
    beat: Heartbeat,
    now: float,
) -> InstanceSession:
    record = InstanceRecord(
        instance=delivery.sender,
        start_id=delivery.start_id,
        domain=beat.domain,
        address=beat.address,
        roles=tuple(beat.roles),
        readiness=beat.readiness,
        operator_address=beat.operator_address,
        caller_address=beat.caller_address,
        versions=beat.versions,
    )
    return InstanceSession(
        record=record,
        renewed_at=now,
        sequence=beat.sequence,
        releases={release.target: release for release in beat.releases},
    )


def _publish(session: InstanceSession) -> InstanceRecord:
    """Return the record without what changes with each heartbeat."""
    return replace(session.record, versions=None)


class SessionTable:
    """Leases that this leader has granted, and when they end."""

    def __init__(self, max_attempt_s: float) -> None:
        self._max_attempt_s = max_attempt_s
        self._lock = threading.Lock()
        self._sessions: dict[_Key, InstanceSession] = {}
        self._elected_at = float('inf')
        # Records of live instances at the version, by instance.
        self._listed: dict[str, InstanceRecord] = {}
        self._recent: RecentChanges[str] = RecentChanges()
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the records of live instances."""
        return self._version

    def reset(self, elected_at: float) -> None:
        """Forget all sessions, and count every lease as renewed now.

        The former leader may have granted leases up to this election.
        """
        with self._lock:
            self._sessions.clear()
            self._listed.clear()
            self._elected_at = elected_at
            self._raise_version(())
            # Versions of an earlier leadership don't lead to this one.
            self._recent.clear(self._version)

    def renew(self, delivery: Delivery, beat: Heartbeat, now: float) -> bool:
        """Renew a session; return whether a lease may be granted.

        A start of an instance is refused while a later start of the same
        instance has a lease.
        """
        key = (delivery.sender, delivery.start_id)
        with self._lock:
            present = self._sessions.get(key)
            if present is None or present.superseded:
                if present is not None and self._has_heir(key[0], now):
                    refused = replace(present, refused_at=now)
                    self._sessions[key] = refused
                    return False
                self._supersede(key[0])
            elif beat.sequence < present.sequence:
                # Overtaken on the way; what it says is out of date.
                renewed = replace(present, renewed_at=now)
                self._sessions[key] = renewed
                self._list(renewed)
                return True
            renewed = _make_session(delivery, beat, now)
            self._sessions[key] = renewed
            self._list(renewed)
        return True

    def take_snapshot(self, now: float) -> SessionSnapshot:
        """Return all sessions as they are now."""
        with self._lock:
            view = SessionSnapshot(
                now=now,
                elected_at=self._elected_at,
                max_attempt_s=self._max_attempt_s,
                sessions=dict(self._sessions),
            )
            self._drop_ended(view)
            self._drop_unlisted(now)
        return view

    def list_changes(self, known: int, now: float) -> ListedInstances:
        """Return the live instances and what changed since a version.

        Versions in force are left out: they change without a new version.
        """
        with self._lock:
            self._drop_unlisted(now)
            return ListedInstances(
                version=self._version,
                records=dict(self._listed),
                names=self._recent.list_since(known),
            )

    def _list(self, session: InstanceSession) -> None:
        record = _publish(session)
        if self._listed.get(record.instance) != record:
            self._listed[record.instance] = record
            self._raise_version((record.instance,))

    def _drop_unlisted(self, now: float) -> None:
        ended = [
            name
            for name, record in self._listed.items()
            if not self._is_live((name, record.start_id), now)
        ]
        for name in ended:
            self._listed.pop(name)
        if ended:
            self._raise_version(ended)

    def _is_live(self, key: _Key, now: float) -> bool:
        session = self._sessions.get(key)
        return session is not None and session.is_live(now)

    def _has_heir(self, instance: str, now: float) -> bool:
        return any(
            session.record.instance == instance and session.is_live(now)
            for session in self._sessions.values()
        )

    def _supersede(self, instance: str) -> None:
        for key, session in self._sessions.items():
            if session.record.instance == instance:
                self._sessions[key] = replace(session, superseded=True)

    def _drop_ended(self, view: SessionSnapshot) -> None:
        # A session is kept while its owner may hold targets. An earlier start
        # that still sends heartbeats is kept too, or it would be taken for a
        # new one and the two starts would replace each other in turn.
        for key, session in view.sessions.items():
            is_refused = view.now < session.refused_at + LEASE_S
            if not is_refused and not view.may_hold(session.owner):
                self._sessions.pop(key)

    def _raise_version(self, names: Collection[str]) -> None:
        # Wall-clock time keeps versions of different leaders apart.
        self._version = max(self._version + 1, int(time.time() * _US_PER_S))
        self._recent.note(self._version, names)
