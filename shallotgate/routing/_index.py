"""Which targets hold which partitions of which index version."""

import threading
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from shallotgate.generated.messages import TargetVersion
from shallotgate.logs import get_logger

_LOGGER = get_logger('routing')
# A target that nobody reports for this long loses its place.
_MISSING_S = 30.0


@dataclass(frozen=True)
class IndexChoice:
    """An index version and who holds its partitions."""

    # 0 for a group without partitions.
    index_version: int
    # Usable holders by partition number; empty where there is none.
    holders: tuple[tuple[str, ...], ...]

    @property
    def covered(self) -> int:
        """Return the number of partitions with a usable target."""
        return sum(1 for targets in self.holders if targets)


# Index version, number of partitions and those that are held.
_Content = tuple[tuple[int, int, tuple[int, ...]], ...]


@dataclass
class _Holding:
    content: _Content
    heard_at: float


class IndexMap:
    """Index versions by group, learnt from replies and reports.

    Partitions are numbered from 0.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._groups: dict[str, dict[str, _Holding]] = {}
        # Rises when a target's versions change.
        self.revision = 0

    def update_target(
        self,
        group: str,
        target: str,
        versions: Sequence[TargetVersion],
    ) -> None:
        """Take over what a target holds."""
        now = self._clock()
        # Lists and tuples of the same numbers must compare as equal.
        content = tuple(
            (one.index_version, one.partitions, tuple(one.held))
            for one in versions
        )
        holdings = self._groups.get(group)
        known = holdings.get(target) if holdings else None
        if known is not None and known.content == content:
            known.heard_at = now
            return
        with self._lock:
            group_holdings = self._groups.setdefault(group, {})
            group_holdings[target] = _Holding(content, now)
            self.revision += 1

    def confirm(self, group: str, target: str) -> bool:
        """Note that a target holds what it held; False if it is unknown."""
        holding = self._groups.get(group, {}).get(target)
        if holding is None:
            return False
        holding.heard_at = self._clock()
        return True

    def drop_missing(self) -> None:
        """Take away the places of targets that were not heard of."""
        limit = self._clock() - _MISSING_S
        with self._lock:
            for holdings in self._groups.values():
                missing = [
                    target
                    for target, holding in holdings.items()
                    if holding.heard_at < limit
                ]
                for target in missing:
                    holdings.pop(target)
                    self.revision += 1

    def list_targets(self, group: str) -> Collection[str]:
        """Return the targets of a group that are heard of."""
        with self._lock:
            return tuple(self._groups.get(group, ()))

    def list_versions(self, group: str) -> Sequence[int]:
        """Return the index versions of a group, newest first."""
        with self._lock:
            versions = _collect(self._groups.get(group, {}), None)
        return sorted(versions, reverse=True)

    def choose_version(
        self,
        group: str,
        usable: Collection[str],
    ) -> IndexChoice | None:
        """Choose the newest version that usable targets hold whole.

        Where there is none, the one with the largest share of partitions
        covered, then the newest. None if no target of the group is heard
        of; version 0 without holders if none of them holds partitions.
        """
        with self._lock:
            holdings = self._groups.get(group)
            if not holdings:
                return None
            versions = _collect(holdings, frozenset(usable))
        choices = [
            IndexChoice(index_version, tuple(map(tuple, holders)))
            for index_version, holders in versions.items()
        ]
        return max(choices, key=_rank, default=IndexChoice(0, ()))


def _rank(choice: IndexChoice) -> tuple[float, int]:
    return choice.covered / len(choice.holders), choice.index_version


_Holders = list[list[str]]


def _collect(
    holdings: dict[str, _Holding],
    usable: Collection[str] | None,
) -> dict[int, _Holders]:
    """Return holders by partition by version, over usable targets.

    All targets tell how many partitions a version has, also those that are
    not usable; the largest number counts, since a smaller one would hide
    missing partitions.
    """
    versions: dict[int, _Holders] = {}
    for target, holding in holdings.items():
        is_usable = usable is None or target in usable
        for index_version, partitions, held in holding.content:
            if partitions < 1:
                continue
            holders = versions.setdefault(index_version, [])
            missing = partitions - len(holders)
            holders.extend([] for _ in range(missing))
            if is_usable:
                _add_holder(holders, target, held)
    return versions


def _add_holder(
    holders: list[list[str]],
    target: str,
    held: Sequence[int],
) -> None:
    for partition in held:
        if 0 <= partition < len(holders):
            holders[partition].append(target)
        else:
            _LOGGER.warning(
                'Target holds a partition out of range.',
                extra={'target': target, 'partition': partition},
            )
