"""Bounded logs of recent changes."""

from collections import deque
from collections.abc import Collection, Hashable
from typing import Generic, NamedTuple, TypeVar

# Most names in one log. With 39 moved targets per second it reaches back
# 3.5 minutes, with one changed service every 2 s more than 4 hours.
MAX_NAMES = 8192

Name = TypeVar('Name', bound=Hashable)


class _VersionStep(NamedTuple, Generic[Name]):
    base_version: int
    names: frozenset[Name]


class RecentChanges(Generic[Name]):
    """Log of the names of entries that changed in recent versions of a part.

    It is kept in memory only; after a restart it reaches back to the version at
    which it was cleared. It is not thread-safe; callers serialize access.
    """

    def __init__(self, limit: int = MAX_NAMES) -> None:
        self._limit = limit
        self._steps: deque[_VersionStep[Name]] = deque()
        self._size = 0
        self._version = 0

    def clear(self, version: int) -> None:
        """Clear the log; the next step starts at the given version."""
        self._steps.clear()
        self._size = 0
        self._version = version

    def add(self, version: int, names: Collection[Name]) -> None:
        """Add the step to a version with the entries it put or removed."""
        self._steps.append(_VersionStep(self._version, frozenset(names)))
        self._version = version
        # A step without names also counts, as it takes memory.
        self._size += len(self._steps[-1].names) + 1
        while self._size > self._limit and self._steps:
            self._size -= len(self._steps.popleft().names) + 1

    def list_since(self, version: int) -> frozenset[Name] | None:
        """Return the names changed since a version.

        Returns ``None`` if no step in the log starts at that version.
        """
        if version == self._version:
            return frozenset()
        names: set[Name] = set()
        for step in reversed(self._steps):
            names |= step.names
            if step.base_version == version:
                return frozenset(names)
            if step.base_version < version:
                break
        return None
