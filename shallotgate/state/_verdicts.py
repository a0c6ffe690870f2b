"""Verdicts on catalogue changes, stored to answer resends."""

from collections.abc import Sequence
from dataclasses import dataclass

from shallotgate.generated.catalogue import Verdict
from shallotgate.state._expiring_table import (
    RETENTION_S,
    ExpiringRow,
    ExpiringTable,
    IdStatus,
    parse_id_time,
)

VERDICT_LIMIT = 20_000


@dataclass(frozen=True)
class StoredVerdict:
    """A verdict with the digest of the change."""

    # Digest of the operator and the change.
    digest: str
    verdict: Verdict


@dataclass(frozen=True)
class VerdictSnapshot:
    """Snapshot of the verdicts."""

    floor: float
    rows: Sequence[ExpiringRow[StoredVerdict]]


class VerdictTable:
    """Stores the first verdict on each change id."""

    def __init__(self) -> None:
        self._table: ExpiringTable[StoredVerdict] = ExpiringTable(VERDICT_LIMIT)

    def __len__(self) -> int:
        return len(self._table)

    def get(self, change_id: str) -> StoredVerdict | None:
        """Return the stored verdict on a change id."""
        return self._table.get(change_id)

    def check_id(self, change_id: str, now: float) -> IdStatus:
        """Return whether an id without a verdict can be new, or why not."""
        return self._table.check_id(change_id, now)

    def store(self, stored: StoredVerdict, now: float) -> None:
        """Store a verdict; a full table evicts the oldest one.

        The verdict on an id from more than a day in the future is not stored:
        it would outlast the ids of today, and it stays invalid for that day.
        """
        change_id = stored.verdict.change_id
        id_time = parse_id_time(change_id)
        if id_time is None or id_time > now + RETENTION_S:
            return
        if self._table.is_full:
            self._table.drop_oldest()
        self._table.put(change_id, id_time, stored)

    def expire(self, now: float) -> None:
        """Evict verdicts whose retention period has ended."""
        self._table.expire(now)

    def dump(self) -> VerdictSnapshot:
        """Return the snapshot."""
        return VerdictSnapshot(self._table.floor, tuple(self._table))

    def load(self, snapshot: VerdictSnapshot) -> None:
        """Restore a snapshot."""
        self._table.load(snapshot.rows, snapshot.floor)
