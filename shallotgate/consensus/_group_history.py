"""Membership of the group by log index."""

from collections.abc import Sequence

from shallotgate.consensus._group import Group, decode_group
from shallotgate.generated.messages import LogRecord


class GroupHistory:
    """Groups of the snapshot and of the members records after it.

    As in Raft, a group takes effect as soon as its record is in the log,
    committed or not.
    """

    def __init__(self) -> None:
        # Pairs of the first index of a group and the group, oldest first.
        self._groups: list[tuple[int, Group]] = [(0, Group())]

    @property
    def latest(self) -> Group:
        """Group of the latest members record."""
        return self._groups[-1][1]

    @property
    def latest_index(self) -> int:
        """Index of the latest members record."""
        return self._groups[-1][0]

    def find(self, index: int) -> Group:
        """Return the group in effect at an index not before the snapshot."""
        return next(
            group for start, group in reversed(self._groups) if start <= index
        )

    def reset(self, index: int, members: bytes) -> None:
        """Replace the history with the group of a snapshot."""
        self._groups = [(index, decode_group(members))]

    def add_records(self, records: Sequence[LogRecord]) -> None:
        """Add the groups of the members records among appended records."""
        self._groups.extend(
            (record.index, decode_group(record.payload))
            for record in records
            if record.kind == 'members'
        )

    def truncate_after(self, index: int) -> None:
        """Remove groups whose record is after an index."""
        while self._groups[-1][0] > index:
            self._groups.pop()

    def drop_through(self, index: int) -> None:
        """Remove groups that were superseded at or before an index."""
        while len(self._groups) > 1 and self._groups[1][0] <= index:
            self._groups.pop(0)
