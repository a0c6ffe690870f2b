"""Log records in memory and on disk."""

from collections.abc import Sequence
from itertools import islice, pairwise

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.consensus._group import Group, encode_group
from shallotgate.consensus._group_history import GroupHistory
from shallotgate.errors import DamagedFileError
from shallotgate.generated.messages import LogRecord
from shallotgate.invariants import check
from shallotgate.storage import DataFolder, Snapshot


class Journal:
    """The log of one member.

    ``persist``, ``compact`` and ``install`` write to disk; only the worker
    thread calls them. Memory is read and changed while ``changed`` of the
    core is held, and only the worker changes it.
    """

    def __init__(self, folder: DataFolder) -> None:
        self._folder = folder
        self._records: list[LogRecord] = []
        self.groups = GroupHistory()
        self._base_term = 0
        self.base_index = 0
        # Last index that is synced to disk.
        self.synced_index = 0
        # A snapshot from the leader that the machine has to take.
        self.received: Snapshot | None = None
        self.snapshot = Snapshot(0, 0, encode_group(Group()), b'')

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.base_index + len(self._records)

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self._records[-1].term if self._records else self._base_term

    @property
    def group(self) -> Group:
        """Group of the last members record, committed or not."""
        return self.groups.latest

    def load(self) -> None:
        """Read log and snapshot; raises ``DamagedFileError``."""
        log = self._folder.log
        records = [decode_tagged(payload) for payload in self._folder.open()]
        self._check_order(records)
        snapshot = self._folder.read_snapshot()
        if snapshot is not None:
            self.snapshot = snapshot
        if log.base_index > self.snapshot.index:
            raise DamagedFileError(
                str(log.path),
                0,
                f'records up to {log.base_index} are in no snapshot',
            )
        self._records = records
        self.base_index = log.base_index
        self._base_term = log.base_term
        if self.term_at(self.snapshot.index) != self.snapshot.term:
            # A crash came between storing a received snapshot and the log.
            self._reset_to_snapshot()
        self.groups.reset(self.snapshot.index, self.snapshot.members)
        self.groups.note(self.slice(self.snapshot.index + 1, self.last_index))
        self.synced_index = self.last_index

    def term_at(self, index: int) -> int | None:
        """Return the term of a record, None if it is not held."""
        if index == self.base_index:
            return self._base_term
        position = index - self.base_index - 1
        if 0 <= position < len(self._records):
            return self._records[position].term
        return None

    def slice(self, first: int, last: int) -> list[LogRecord]:
        """Return the held records from ``first`` to ``last``."""
        start = max(first - self.base_index - 1, 0)
        return self._records[start : max(last - self.base_index, 0)]

    def slice_bytes(self, first: int, limit_bytes: int) -> list[LogRecord]:
        """Return records from ``first``, at least one, up to a size."""
        chosen: list[LogRecord] = []
        size = 0
        start = max(first - self.base_index - 1, 0)
        for record in islice(self._records, start, None):
            size += len(record.payload)
            if chosen and size > limit_bytes:
                break
            chosen.append(record)
        return chosen

    def append(self, records: Sequence[LogRecord]) -> None:
        """Add records in memory; ``persist`` makes them durable."""
        self._records.extend(records)
        self.groups.note(records)

    def persist(self) -> int:
        """Write and sync what is only in memory; returns the last index."""
        records = self.slice(self.synced_index + 1, self.last_index)
        if records:
            self._folder.log.append([encode_tagged(each) for each in records])
            self._folder.log.sync()
        return self.synced_index + len(records)

    def truncate_after(self, index: int) -> None:
        """Remove uncommitted records, durably; worker only."""
        if index < self.synced_index:
            self._folder.log.truncate_after(index)
            self.synced_index = index
        del self._records[index - self.base_index :]
        self.groups.truncate_after(index)

    def compact(self, base_index: int) -> None:
        """Drop the records up to an index from the file."""
        kept = self.slice(base_index + 1, self.synced_index)
        self._folder.log.rewrite(
            base_index,
            self.term_at(base_index) or 0,
            [encode_tagged(each) for each in kept],
        )

    def drop_through(self, base_index: int) -> None:
        """Drop the records up to an index from memory."""
        self._base_term = self.term_at(base_index) or 0
        del self._records[: base_index - self.base_index]
        self.base_index = base_index
        self.groups.drop_through(base_index)

    def install(self, snapshot: Snapshot) -> None:
        """Take a stored snapshot from the leader as the new start."""
        self.snapshot = snapshot
        self.received = snapshot
        if self.term_at(snapshot.index) == snapshot.term:
            return
        self._reset_to_snapshot()
        self.groups.reset(snapshot.index, snapshot.members)

    def _reset_to_snapshot(self) -> None:
        self._folder.log.rewrite(self.snapshot.index, self.snapshot.term, ())
        self._records = []
        self.base_index = self.snapshot.index
        self._base_term = self.snapshot.term
        self.synced_index = self.snapshot.index

    def _check_order(self, records: Sequence[LogRecord]) -> None:
        base = self._folder.log.base_index
        for number, record in enumerate(records, base + 1):
            if record.index != number:
                raise DamagedFileError(
                    str(self._folder.log.path),
                    0,
                    f'record {record.index} in place of {number}',
                )
        check(
            all(one.term <= two.term for one, two in pairwise(records)),
            'terms of the log never fall',
        )
