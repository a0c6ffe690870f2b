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

# Bounds the memory of a day; a full table refuses new keys as not run.
ONCE_LIMIT = 200_000
# Bounds one answer, so that a few large ones don't push out all others. A
# larger one is not kept; a resend then learns only that the request has run.
ANSWER_LIMIT_BYTES = 65_536
# Bounds what all records hold. With 152 MB for 120,000 targets a control member
# stays below 256 MB. 200,000 records without answers hold about 33 MB.
ONCE_LIMIT_BYTES = 64 * 1024 * 1024
# Late repeats of released claims are recognized for this many claims a key.
_RELEASED_LIMIT = 8


class OnceRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one key of one caller."""

    # Digest of the content that the key stands for.
    digest: str
    # Claim that holds or held the key.
    claim: str
    status: Literal['in_progress', 'finished', 'released']
    # Encoded answer of a finished request.
    answer: bytes | None = None
    # Claims that were released; a late repeat of them must not claim again.
    released: Sequence[str] = ()


@dataclass(frozen=True)
class OnceContent:
    """The part's snapshot."""

    floor: float
    rows: Sequence[ExpiringRow[OnceRecord]]


def _make_key(caller: str, key: str) -> str:
    # Ids hold no blank, so the two parts can't run into each other.
    return f'{key} {caller}'


def _measure(row: ExpiringRow[OnceRecord]) -> int:
    """Return the bytes of all texts of a row."""
    record = row.content
    texts = (row.key, record.digest, record.claim, *record.released)
    return sum(map(len, texts)) + len(record.answer or b'')


class OnceTable:
    """Decides at most one run for each key of a caller.

    A key is kept until 24 h after its own time, whatever its state, or until
    the bytes of the table push out the oldest keys. Later it is too old, so it
    can't be claimed a second time.
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
        """Give the key to a claim, or say why not."""
        key = _make_key(command.caller, command.key)
        record = self._table.get(key)
        if record is not None:
            return self._claim_again(command, key, record)
        standing = self._table.judge(command.key, now)
        if standing == 'from_future':
            return OnceResult(status='from_future')
        if standing != 'current':
            # A malformed key has no time, so it can't be judged either.
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
        """Keep the outcome of a claimed request; the first one stays."""
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
        """Free a key whose request was certainly not run."""
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
        released = (*record.released, command.claim)[-_RELEASED_LIMIT:]
        self._put(
            key,
            command.key,
            replace(record, status='released', released=released),
        )
        return OnceResult(status='released', claim=command.claim)

    def expire(self, now: float) -> None:
        """Drop keys that are too old to be judged."""
        self._table.expire(now)

    def dump(self) -> OnceContent:
        """Return the snapshot."""
        return OnceContent(self._table.floor, tuple(self._table))

    def load(self, content: OnceContent) -> None:
        """Take over a snapshot."""
        self._table.load(content.rows, content.floor)

    def _claim_again(
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
