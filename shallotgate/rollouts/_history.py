"""Sums over all entries, in total and in recent windows."""

from collections import deque
from collections.abc import Iterator, Mapping

from shallotgate.rollouts._sums import (
    ReplySums,
    SumKey,
    add_all,
    split_versions,
    subtract,
)

# Recent windows in seconds. Sums since the order would hide a fault that begins
# late behind the good replies before it.
_WINDOWS_S = (1.5, 3.0, 6.0, 12.0)
# Interval between two copies of the sums, in seconds.
_COPY_INTERVAL_S = 0.5

_Sums = Mapping[SumKey, ReplySums]


class SumsHistory:
    """Adds up what entries state; ``now`` is in monotonic seconds."""

    def __init__(self) -> None:
        # Last statement of each start of an entry.
        self._stated: dict[str, _Sums] = {}
        self._totals: dict[SumKey, ReplySums] = {}
        # Former totals and their times, oldest first.
        self._copies: deque[tuple[float, _Sums]] = deque()

    def record(self, source: str, sums: _Sums) -> None:
        """Record the sums that an entry states, which replace its former."""
        added = subtract(sums, self._stated.get(source, {}))
        self._stated[source] = sums
        for key, each in added.items():
            self._totals[key] = self._totals.get(key, ReplySums()) + each

    @property
    def totals(self) -> _Sums:
        """Sums since the order was given."""
        return self._totals

    def add_candidates(self) -> ReplySums:
        """Return the sums of all candidates."""
        return add_all(split_versions(self._totals)[0].values())

    def add_in_force(self) -> ReplySums:
        """Return the sums of the version in force."""
        return split_versions(self._totals)[1]

    def iter_windows(self, now: float) -> Iterator[_Sums]:
        """Yield the sums of each window, the whole time first."""
        yield self._totals
        for length_s in _WINDOWS_S:
            older = [
                copy
                for moment, copy in self._copies
                if moment <= now - length_s
            ]
            if older:
                yield subtract(self._totals, older[-1])

    def keep_copy(self, now: float) -> None:
        """Keep the present totals for later windows."""
        if self._copies and now - self._copies[-1][0] < _COPY_INTERVAL_S:
            return
        self._copies.append((now, dict(self._totals)))
        while self._copies[0][0] < now - max(_WINDOWS_S) - _COPY_INTERVAL_S:
            self._copies.popleft()
