"""Groups by the index of their record."""

from collections.abc import Sequence

from shallotgate.consensus._group import Group, decode_group
from shallotgate.generated.messages import LogRecord


class GroupHistory:
    """Groups of the snapshot and of the records behind it.

    A group counts from the time its record is written, committed or not.
    """

    def __init__(self) -> None:
        # Oldest first.
        self._groups: list[tuple[int, Group]] = [(0, Group())]

    @property
    def latest(self) -> Group:
        """Group of the last members record."""
        return self._groups[-1][1]

    def find(self, index: int) -> Group:
        """Return the group as of an index from the snapshot on."""
        return next(
            group for start, group in reversed(self._groups) if start <= index
        )

    def reset(self, index: int, members: bytes) -> None:
        """Start from the group of a snapshot."""
        self._groups = [(index, decode_group(members))]

    def note(self, records: Sequence[LogRecord]) -> None:
        """Take up the members records among appended records."""
        self._groups.extend(
            (record.index, decode_group(record.payload))
            for record in records
            if record.kind == 'members'
        )

    def truncate_after(self, index: int) -> None:
        """Forget groups whose record was removed."""
        while self._groups[-1][0] > index:
            self._groups.pop()

    def drop_through(self, index: int) -> None:
        """Forget groups that were replaced up to an index."""
        while len(self._groups) > 1 and self._groups[1][0] <= index:
            self._groups.pop(0)
