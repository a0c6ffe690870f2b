"""Bounded table of ids that begin with their UTC time."""

import heapq
import re
from collections.abc import Callable, Iterator, Sequence
from datetime import datetime
from typing import Generic, Literal, TypeVar

import msgspec

_T = TypeVar('_T')

Standing = Literal['current', 'too_old', 'from_future', 'malformed']

# Ids are kept for 24 h, so an older id can't be told from a repeated one.
RETENTION_S = 86400
# Clocks of callers and of the leader may differ by this much.
FUTURE_TOLERANCE_S = 60
_UNBOUNDED = float('inf')
_ID_PATTERN = re.compile('([0-9]{8}T[0-9]{6}Z)-[A-Za-z0-9._-]{8,64}')


def parse_id_time(identifier: str) -> float | None:
    """Return the time in seconds since 1970, or None if malformed.

    >>> parse_id_time('19700102T000001Z-abcdefgh')
    86401.0
    >>> parse_id_time('19701302T000001Z-abcdefgh') is None
    True
    """
    match = _ID_PATTERN.fullmatch(identifier)
    if match is None:
        return None
    try:
        moment = datetime.fromisoformat(match.group(1))
    except ValueError:
        return None
    return moment.timestamp()


class ExpiringRow(msgspec.Struct, Generic[_T], frozen=True, array_like=True):
    """One id with its time and what is kept for it.

    A struct, because a full table of dataclasses takes so long to encode that
    the leader would miss its own heartbeats.
    """

    key: str
    # Seconds since 1970, from the id.
    time: float
    content: _T


class ExpiringTable(Generic[_T]):
    """Keeps content by id; says of absent ids whether they can be new.

    Ids are dropped when their time is ``RETENTION_S`` ago, or earlier through
    ``drop_oldest``. The floor is the latest time of a dropped id: an absent id
    that is not later than the floor may have been dropped.

    With ``measure``, which returns the bytes of a row, the table holds
    ``limit_bytes`` at most: the oldest ids are dropped beyond that.
    """

    def __init__(
        self,
        limit: int,
        limit_bytes: float = _UNBOUNDED,
        measure: Callable[[ExpiringRow[_T]], int] | None = None,
    ) -> None:
        self._limit = limit
        self._limit_bytes = limit_bytes
        self._measure = measure
        # Bytes of all rows.
        self.size_bytes = 0
        self._rows: dict[str, ExpiringRow[_T]] = {}
        # Each key once, with its time, so that ties are broken by the key.
        self._by_time: list[tuple[float, str]] = []
        self.floor = float('-inf')

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[ExpiringRow[_T]]:
        return iter(self._rows.values())

    @property
    def is_full(self) -> bool:
        """Whether no further id fits."""
        return len(self._rows) >= self._limit

    def get(self, key: str) -> _T | None:
        """Return the content kept for a key."""
        row = self._rows.get(key)
        return None if row is None else row.content

    def judge(self, identifier: str, now: float) -> Standing:
        """Say whether an absent id can be a new one.

        ``identifier`` is the part of the key that begins with its time.
        """
        id_time = parse_id_time(identifier)
        if id_time is None:
            return 'malformed'
        if id_time <= self.floor or id_time < now - RETENTION_S:
            return 'too_old'
        if id_time > now + FUTURE_TOLERANCE_S:
            return 'from_future'
        return 'current'

    def put(self, key: str, id_time: float, content: _T) -> None:
        """Add a key, or replace what is kept for it."""
        former = self._rows.get(key)
        if former is None:
            heapq.heappush(self._by_time, (id_time, key))
        else:
            self.size_bytes -= self._read_size(former)
        row = ExpiringRow(key, id_time, content)
        self._rows[key] = row
        self.size_bytes += self._read_size(row)
        while self.size_bytes > self._limit_bytes:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the id with the earliest time and raise the floor."""
        id_time, key = heapq.heappop(self._by_time)
        self.size_bytes -= self._read_size(self._rows.pop(key))
        self.floor = max(self.floor, id_time)

    def expire(self, now: float) -> None:
        """Drop ids whose time of retention is over."""
        while self._by_time and self._by_time[0][0] < now - RETENTION_S:
            self.drop_oldest()

    def load(self, rows: Sequence[ExpiringRow[_T]], floor: float) -> None:
        """Replace everything with the rows of a snapshot."""
        self._rows = {row.key: row for row in rows}
        self._by_time = [(row.time, row.key) for row in rows]
        heapq.heapify(self._by_time)
        self.size_bytes = sum(map(self._read_size, rows))
        self.floor = floor

    def _read_size(self, row: ExpiringRow[_T]) -> int:
        return 0 if self._measure is None else self._measure(row)
