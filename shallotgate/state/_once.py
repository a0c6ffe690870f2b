"""Once-only requests: claims, outcomes and releases."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import msgspec
from msgspec.structs import replace

from shallotgate.generated.messages import (
    ClaimOnce,
    OnceResult,
    RecordOutcome,
    ReleaseClaim,
)
from shallotgate.invariants import check
from shallotgate.state._expiring_table import (
    ExpiringRow,
    ExpiringTable,
    parse_id_time,
)

# Limits the records of one day; a full table refuses new keys, whose requests
# are then reported as not run.
ONCE_LIMIT = 200_000
# Limits the size of a stored answer, so that a few large ones don't evict all
# others. A larger answer is not stored; a resend then only gets the status of
# the finished request.
ANSWER_LIMIT_BYTES = 65_536
# Limits the total size of all records. With 152 MB for 120,000 targets, a
# control member stays below 256 MB. 200,000 records without answers take about
# 33 MB.
ONCE_LIMIT_BYTES = 64 * 1024 * 1024
# Number of released claims of each key whose late repeats are recognized.
_MAX_RELEASED_CLAIMS = 8


class OnceRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one key of one caller."""

    # Digest of the request content that is bound to the key.
    digest: str
    # Claim that holds the key, or the last one that held it.
    claim: str
    status: Literal['in_progress', 'finished', 'released']
    # Encoded answer of a finished request.
    answer: bytes | None = None
    # Released claims; a late repeat of one must not claim the key again.
    released: Sequence[str] = ()


@dataclass(frozen=True)
class OnceSnapshot:
    """Snapshot of the once-only keys."""

    floor: float
    rows: Sequence[ExpiringRow[OnceRecord]]


def _make_key(caller: str, key: str) -> str:
    # Ids contain no space, so the key is unambiguous.
    return f'{key} {caller}'


def _measure(row: ExpiringRow[OnceRecord]) -> int:
    """Return the total size of the strings and the answer of a row."""
    record = row.content
    texts = (row.key, record.digest, record.claim, *record.released)
    return sum(map(len, texts)) + len(record.answer or b'')


class OnceTable:
    """Permits at most one run for each key of a caller.

    A key is stored until 24 h after the time in its id, whatever its status, or
    until it is evicted as the oldest because of the size limit. Afterwards it
    counts as too old, so it can't be claimed a second time.
    """

    def __init__(self) -> None:
        self._table: ExpiringTable[OnceRecord] = ExpiringTable(
            ONCE_LIMIT,
            ONCE_LIMIT_BYTES,
            _measure,
        )

    def __len__(self) -> int:
        return len(self._table)

    def claim(self, command: ClaimOnce, now: float) -> OnceResult:
        """Grant the key to a claim, or return why it can't be granted."""
        key = _make_key(command.caller, command.key)
        record = self._table.get(key)
        if record is not None:
            return self._claim_existing(command, key, record)
        id_status = self._table.check_id(command.key, now)
        if id_status == 'from_future':
            return OnceResult(status='from_future')
        if id_status != 'current':
            # A malformed key has no time, so it can't be known to be new.
            return OnceResult(status='too_old')
        if self._table.is_full:
            return OnceResult(status='table_full')
        self._put(
            key,
            command.key,
            OnceRecord(command.digest, command.claim, 'in_progress'),
        )
        return OnceResult(status='claimed', claim=command.claim)

    def record(self, command: RecordOutcome, now: float) -> OnceResult:
        """Store the outcome of a claimed request; the first one is final."""
        key = _make_key(command.caller, command.key)
        record = self._table.get(key)
        if record is None or record.claim != command.claim:
            return OnceResult(status='unknown_claim')
        if record.status == 'released':
            return OnceResult(status='unknown_claim')
        if record.status == 'finished':
            return OnceResult(
                status='recorded',
                claim=record.claim,
                answer=record.answer,
            )
        is_kept = len(command.answer) <= ANSWER_LIMIT_BYTES
        answer = command.answer if is_kept else None
        finished = replace(record, status='finished', answer=answer)
        self._put(key, command.key, finished)
        return OnceResult(
            status='recorded',
            claim=record.claim,
            answer=answer,
        )

    def release(self, command: ReleaseClaim, now: float) -> OnceResult:
        """Release a key whose request was definitely not run."""
        key = _make_key(command.caller, command.key)
        record = self._table.get(key)
        if record is None:
            return OnceResult(status='unknown_claim')
        if command.claim in record.released:
            return OnceResult(status='released', claim=command.claim)
        if record.claim != command.claim:
            return OnceResult(status='unknown_claim')
        if record.status == 'finished':
            return OnceResult(
                status='finished',
                claim=record.claim,
                answer=record.answer,
            )
        released = (*record.released, command.claim)[-_MAX_RELEASED_CLAIMS:]
        self._put(
            key,
            command.key,
            replace(record, status='released', released=released),
        )
        return OnceResult(status='released', claim=command.claim)

    def expire(self, now: float) -> None:
        """Evict keys whose retention period has ended."""
        self._table.expire(now)

    def dump(self) -> OnceSnapshot:
        """Return the snapshot."""
        return OnceSnapshot(self._table.floor, tuple(self._table))

    def load(self, snapshot: OnceSnapshot) -> None:
        """Restore a snapshot."""
        self._table.load(snapshot.rows, snapshot.floor)

    def _claim_existing(
        self,
        command: ClaimOnce,
        key: str,
        record: OnceRecord,
    ) -> OnceResult:
        if record.digest != command.digest:
            return OnceResult(status='mismatch', claim=record.claim)
        if command.claim in record.released:
            return OnceResult(status='released', claim=command.claim)
        if record.status == 'finished':
            return OnceResult(
                status='finished',
                claim=record.claim,
                answer=record.answer,
            )
        if record.status == 'in_progress':
            is_same = record.claim == command.claim
            status: Literal['claimed', 'in_progress'] = (
                'claimed' if is_same else 'in_progress'
            )
            return OnceResult(status=status, claim=record.claim)
        self._put(
            key,
            command.key,
            replace(record, claim=command.claim, status='in_progress'),
        )
        return OnceResult(status='claimed', claim=command.claim)

    def _put(self, key: str, identifier: str, record: OnceRecord) -> None:
        before = self._table.get(key)
        if before is not None and before.claim != record.claim:
            check(
                before.status == 'released',
                'key-claimed-once',
                key=key,
                before=before,
                after=record,
            )
        id_time = parse_id_time(identifier)
        if id_time is not None:
            self._table.put(key, id_time, record)
