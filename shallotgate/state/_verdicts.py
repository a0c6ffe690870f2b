"""Verdicts on catalogue changes, kept for resends."""

from collections.abc import Sequence
from dataclasses import dataclass

from shallotgate.generated.catalogue import Verdict
from shallotgate.state._expiring_table import (
    RETENTION_S,
    ExpiringRow,
    ExpiringTable,
    Standing,
    parse_id_time,
)

VERDICT_LIMIT = 20_000


@dataclass(frozen=True)
class KeptVerdict:
    """A verdict and the content it was given for."""

    # Digest of the operator and the change.
    digest: str
    verdict: Verdict


@dataclass(frozen=True)
class VerdictContent:
    """The part's snapshot."""

    floor: float
    rows: Sequence[ExpiringRow[KeptVerdict]]


class VerdictTable:
    """Keeps the first verdict on each change id."""

    def __init__(self) -> None:
        self._table: ExpiringTable[KeptVerdict] = ExpiringTable(VERDICT_LIMIT)

    def __len__(self) -> int:
        return len(self._table)

    def get(self, change_id: str) -> KeptVerdict | None:
        """Return the verdict that was given on a change id."""
        return self._table.get(change_id)

    def judge(self, change_id: str, now: float) -> Standing:
        """Say whether a change id without a verdict can be a new one."""
        return self._table.judge(change_id, now)

    def keep(self, kept: KeptVerdict, now: float) -> None:
        """Keep a verdict; the oldest one gives way if the table is full.

        An id from more than a day in the future is not kept: it would outlive
        the ids of today, and it stays invalid for that day.
        """
        change_id = kept.verdict.change_id
        id_time = parse_id_time(change_id)
        if id_time is None or id_time > now + RETENTION_S:
            return
        if self._table.is_full:
            self._table.drop_oldest()
        self._table.put(change_id, id_time, kept)

    def expire(self, now: float) -> None:
        """Drop verdicts on ids that are too old."""
        self._table.expire(now)

    def dump(self) -> VerdictContent:
        """Return the snapshot."""
        return VerdictContent(self._table.floor, tuple(self._table))

    def load(self, content: VerdictContent) -> None:
        """Take over a snapshot."""
        self._table.load(content.rows, content.floor)
