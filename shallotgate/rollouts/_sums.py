"""Sums over replies."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Route and candidate; the candidate is empty for the version in force.
SumKey = tuple[str, str]


@dataclass(frozen=True)
class ReplySums:
    """Numbers of replies.

    >>> ReplySums(5, 1, 1) - ReplySums(2, 1, 0)
    ReplySums(replies=3, failures=0, slow=1)
    """

    # Replies, failures included.
    replies: int = 0
    failures: int = 0
    # Good replies that took several times as long as usual.
    slow: int = 0

    @property
    def bad(self) -> int:
        """Number of failures and slow replies."""
        return self.failures + self.slow

    def __add__(self, other: 'ReplySums') -> 'ReplySums':
        return ReplySums(
            self.replies + other.replies,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def __sub__(self, other: 'ReplySums') -> 'ReplySums':
        return ReplySums(
            self.replies - other.replies,
            self.failures - other.failures,
            self.slow - other.slow,
        )


def add_all(each: Iterable[ReplySums]) -> ReplySums:
    """Return the sum of sums."""
    return sum(each, ReplySums())


def subtract(
    newer: Mapping[SumKey, ReplySums], older: Mapping[SumKey, ReplySums]
) -> dict[SumKey, ReplySums]:
    """Return what was added since older sums."""
    none = ReplySums()
    return {key: sums - older.get(key, none) for key, sums in newer.items()}


def split_versions(
    sums: Mapping[SumKey, ReplySums],
) -> tuple[dict[str, ReplySums], ReplySums]:
    """Return the sums of each candidate, and those of the version in force."""
    candidates: dict[str, ReplySums] = {}
    in_force = ReplySums()
    for (_, target), each in sums.items():
        if target:
            candidates[target] = candidates.get(target, ReplySums()) + each
        else:
            in_force += each
    return candidates, in_force
