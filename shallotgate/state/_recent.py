"""Bounded records of recent changes."""

from collections import deque
from collections.abc import Collection, Hashable
from typing import Generic, NamedTuple, TypeVar

# Names in one record. At 39 moved targets a second it reaches back 3.5
# minutes, at one changed service every 2 s more than 4 hours.
NAME_LIMIT = 8192

Name = TypeVar('Name', bound=Hashable)


class _Step(NamedTuple, Generic[Name]):
    before: int
    names: frozenset[Name]


class RecentChanges(Generic[Name]):
    """Names of the entries that changed between recent versions of a part.

    It is in memory only; after a restart it reaches back to the version at
    which it was cleared. Callers serialize access.
    """

    def __init__(self, limit: int = NAME_LIMIT) -> None:
        self._limit = limit
        self._steps: deque[_Step[Name]] = deque()
        self._size = 0
        self._version = 0

    def clear(self, version: int) -> None:
        """Forget all steps; the next one begins at a version."""
        self._steps.clear()
        self._size = 0
        self._version = version

    def note(self, version: int, names: Collection[Name]) -> None:
        """Note the step to a version and the entries it put or removed."""
        self._steps.append(_Step(self._version, frozenset(names)))
        self._version = version
        # A step without names also takes room.
        self._size += len(self._steps[-1].names) + 1
        while self._size > self._limit and self._steps:
            self._size -= len(self._steps.popleft().names) + 1

    def list_since(self, version: int) -> frozenset[Name] | None:
        """Return the names changed since a version.

        ``None`` if the record has no step that begins at that version.
        """
        if version == self._version:
            return frozenset()
        names: set[Name] = set()
        for step in reversed(self._steps):
            names |= step.names
            if step.before == version:
                return frozenset(names)
            if step.before < version:
                break
        return None
