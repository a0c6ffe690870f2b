"""Replicated state machine of the tier."""

import math
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import msgspec

from shallotgate.codec import CodecError, decode_tagged
from shallotgate.errors import StorageError
from shallotgate.generated.catalogue import Catalogue, HistoryRecord
from shallotgate.generated.messages import (
    AdvanceTime,
    ChangeCatalogue,
    ClaimOnce,
    Done,
    GrantOwners,
    GrantTrial,
    Judgement,
    JudgeTrial,
    LiftQuarantine,
    MoveOwners,
    Ownership,
    RecordOutcome,
    ReleaseClaim,
    ReportSuspects,
    Versions,
)
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.state._catalogue import CatalogueSnapshot, CatalogueTable
from shallotgate.state._once import OnceSnapshot, OnceTable
from shallotgate.state._ownership import OwnershipSnapshot, OwnershipTable
from shallotgate.state._quarantine import QuarantineSnapshot, QuarantineTable
from shallotgate.state._versions import covers

_LOGGER = get_logger('state')
_Handler = Callable[[Any, float], object]


@dataclass(frozen=True)
class _StateSnapshot:
    """Content of a snapshot."""

    index: int
    time: float
    catalogue: CatalogueSnapshot
    once: OnceSnapshot
    ownership: OwnershipSnapshot
    quarantine: QuarantineSnapshot


@dataclass(frozen=True)
class AppliedState:
    """Immutable view of the state after one command."""

    # Index of the last applied command.
    index: int
    # Time of the log in seconds since 1970; it never decreases.
    time: float
    versions: Versions
    catalogue: Catalogue
    # By target name.
    ownership: Mapping[str, Ownership]
    # By digest.
    quarantine: Mapping[str, Judgement]


@dataclass(frozen=True)
class StateChanges:
    """Names of the entries that differ between two versions.

    A part is ``None`` if its log of changes doesn't reach back to the version.
    """

    # State at the newer version.
    applied: AppliedState
    # By kind and name.
    catalogue: frozenset[tuple[str, str]] | None
    # By target name.
    ownership: frozenset[str] | None
    # By digest of the content.
    quarantine: frozenset[str] | None


class TierState:
    """Applies the commands of the replicated log.

    ``apply``, ``snapshot`` and ``restore`` must be called by one thread at a
    time. ``read`` and the other readers may be called by any thread; ``read``
    doesn't wait for a command that is being applied.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._index = 0
        self._time = float(0)
        self._catalogue = CatalogueTable()
        self._once = OnceTable()
        self._ownership = OwnershipTable()
        self._quarantine = QuarantineTable()
        self._handlers = self._make_handlers()
        self._applied = self._make_applied()

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result message.

        A command that can't be decoded is ignored, identically on each member.
        """
        try:
            decoded = decode_tagged(command)
        except CodecError as error:
            decoded = None
            _LOGGER.error('Ignored undecodable command %d: %s.', index, error)
        with self._lock:
            self._index = index
            result = self._apply_decoded(decoded)
            self._publish()
        return result

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        with self._lock:
            content = _StateSnapshot(
                index=self._index,
                time=self._time,
                catalogue=self._catalogue.dump(),
                once=self._once.dump(),
                ownership=self._ownership.dump(),
                quarantine=self._quarantine.dump(),
            )
            return msgspec.msgpack.encode(content)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; raises ``StorageError``."""
        try:
            content = msgspec.msgpack.decode(snapshot, type=_StateSnapshot)
        except msgspec.MsgspecError as error:
            raise StorageError(f'invalid snapshot: {error}') from error
        with self._lock:
            self._index = content.index
            self._time = content.time
            self._catalogue.load(content.catalogue)
            self._once.load(content.once)
            self._ownership.load(content.ownership)
            self._quarantine.load(content.quarantine)
            self._publish()

    def read(self) -> AppliedState:
        """Return the state after the last applied command."""
        return self._applied

    def list_changes(self, known: Versions) -> StateChanges:
        """Return the current state and the changes since known versions."""
        with self._lock:
            return StateChanges(
                applied=self._applied,
                catalogue=self._catalogue.recent.list_since(known.catalogue),
                ownership=self._ownership.recent.list_since(known.ownership),
                quarantine=self._quarantine.recent.list_since(known.quarantine),
            )

    def encode_catalogue(self) -> tuple[Versions, bytes]:
        """Return the current versions and the catalogue as JSON."""
        with self._lock:
            return self._applied.versions, self._catalogue.encode()

    def list_history(self) -> Sequence[HistoryRecord]:
        """Return the stored accepted changes, oldest first."""
        with self._lock:
            return self._catalogue.list_history()

    def count_once_records(self) -> int:
        """Return the number of stored once-only keys."""
        return len(self._once)

    def _apply_decoded(self, decoded: Any) -> object:
        handler = self._handlers.get(type(decoded))
        if handler is None:
            return Done(changed=False, reason='not a command')
        if math.isfinite(decoded.time):
            self._time = max(self._time, decoded.time)
        now = self._time
        self._catalogue.expire(now)
        self._once.expire(now)
        self._quarantine.expire(now)
        return handler(decoded, now)

    def _make_handlers(self) -> Mapping[type, _Handler]:
        return MappingProxyType(
            {
                ChangeCatalogue: self._catalogue.change,
                ClaimOnce: self._once.claim,
                RecordOutcome: self._once.record,
                ReleaseClaim: self._once.release,
                MoveOwners: self._ownership.move,
                GrantOwners: self._ownership.grant,
                ReportSuspects: self._quarantine.report,
                GrantTrial: self._quarantine.grant_trial,
                JudgeTrial: self._quarantine.judge_trial,
                LiftQuarantine: self._quarantine.lift,
                AdvanceTime: _advance_time,
            }
        )

    def _publish(self) -> None:
        before = self._applied.versions
        applied = self._make_applied()
        after = applied.versions
        check(
            covers(after, before),
            'versions-only-upwards',
            before=before,
            after=after,
        )
        self._applied = applied

    def _make_applied(self) -> AppliedState:
        return AppliedState(
            index=self._index,
            time=self._time,
            versions=Versions(
                catalogue=self._catalogue.published.version,
                ownership=self._ownership.version,
                quarantine=self._quarantine.version,
            ),
            catalogue=self._catalogue.published,
            ownership=self._ownership.published,
            quarantine=self._quarantine.published,
        )


def _advance_time(command: AdvanceTime, now: float) -> Done:
    """Do nothing, as the time of the log is advanced for each command."""
    return Done(changed=command.time <= now)
