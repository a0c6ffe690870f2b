"""Tracks which targets hold which partitions of each index version."""

import threading
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from shallotgate.generated.messages import TargetVersion
from shallotgate.logs import get_logger

_LOGGER = get_logger('routing')
# Targets are removed after this time without a report.
_TARGET_TTL_S = 30.0


@dataclass(frozen=True)
class IndexChoice:
    """An index version and the targets that hold its partitions."""

    # 0 if the group is not partitioned.
    index_version: int
    # Usable targets by partition number; may be empty.
    replicas: tuple[tuple[str, ...], ...]

    @property
    def covered_partitions(self) -> int:
        """Return the number of partitions with a usable target."""
        return sum(1 for targets in self.replicas if targets)


# For each index version: the version, its number of partitions and the numbers
# of the partitions that the target holds.
_Content = tuple[tuple[int, int, tuple[int, ...]], ...]


@dataclass
class _TargetContent:
    content: _Content
    reported_at: float


class IndexMap:
    """Index versions by group, collected from replies and reports.

    Partitions are numbered from 0.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._groups: dict[str, dict[str, _TargetContent]] = {}
        # Incremented when the content of a target changes.
        self.revision = 0

    def update_target(
        self,
        group: str,
        target: str,
        versions: Sequence[TargetVersion],
    ) -> None:
        """Record the index versions and partitions that a target holds."""
        now = self._clock()
        # Normalized to tuples, so that lists and tuples compare as equal.
        content = tuple(
            (version.index_version, version.partitions, tuple(version.held))
            for version in versions
        )
        entries = self._groups.get(group)
        known = entries.get(target) if entries else None
        if known is not None and known.content == content:
            known.reported_at = now
            return
        with self._lock:
            group_entries = self._groups.setdefault(group, {})
            group_entries[target] = _TargetContent(content, now)
            self.revision += 1

    def refresh_target(self, group: str, target: str) -> bool:
        """Record that a target is unchanged; False if it is unknown."""
        entry = self._groups.get(group, {}).get(target)
        if entry is None:
            return False
        entry.reported_at = self._clock()
        return True

    def remove_expired(self) -> None:
        """Remove targets that have not been reported recently."""
        limit = self._clock() - _TARGET_TTL_S
        with self._lock:
            for entries in self._groups.values():
                missing = [
                    target
                    for target, entry in entries.items()
                    if entry.reported_at < limit
                ]
                for target in missing:
                    entries.pop(target)
                    self.revision += 1

    def list_targets(self, group: str) -> Collection[str]:
        """Return the reported targets of a group."""
        with self._lock:
            return tuple(self._groups.get(group, ()))

    def list_versions(self, group: str) -> Sequence[int]:
        """Return the index versions of a group, newest first."""
        with self._lock:
            versions = _collect_replicas(self._groups.get(group, {}), None)
        return sorted(versions, reverse=True)

    def choose_version(
        self,
        group: str,
        usable: Collection[str],
    ) -> IndexChoice | None:
        """Choose the newest version that usable targets hold whole.

        Where there is none, the one with the largest share of partitions
        covered, then the newest. None if no target of the group is heard
        of; version 0 without replicas if none of them holds partitions.
        """
        with self._lock:
            entries = self._groups.get(group)
            if not entries:
                return None
            versions = _collect_replicas(entries, frozenset(usable))
        choices = [
            IndexChoice(index_version, tuple(map(tuple, replicas)))
            for index_version, replicas in versions.items()
        ]
        return max(choices, key=_rank, default=IndexChoice(0, ()))


def _rank(choice: IndexChoice) -> tuple[float, int]:
    return choice.covered_partitions / len(
        choice.replicas
    ), choice.index_version


_Replicas = list[list[str]]


def _collect_replicas(
    entries: dict[str, _TargetContent],
    usable: Collection[str] | None,
) -> dict[int, _Replicas]:
    """Return replicas by partition by version, over usable targets.

    All targets tell how many partitions a version has, also those that are
    not usable; the largest number counts, since a smaller one would hide
    missing partitions.
    """
    versions: dict[int, _Replicas] = {}
    for target, entry in entries.items():
        is_usable = usable is None or target in usable
        for index_version, partitions, held in entry.content:
            if partitions < 1:
                continue
            replicas = versions.setdefault(index_version, [])
            missing = partitions - len(replicas)
            replicas.extend([] for _ in range(missing))
            if is_usable:
                _add_replica(replicas, target, held)
    return versions


def _add_replica(
    replicas: list[list[str]],
    target: str,
    held: Sequence[int],
) -> None:
    for partition in held:
        if 0 <= partition < len(replicas):
            replicas[partition].append(target)
        else:
            _LOGGER.warning(
                'Target holds a partition out of range.',
                extra={'target': target, 'partition': partition},
            )
