"""Ranking of entries for each target by rendezvous hashing."""

import heapq
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from shallotgate.generated.messages import Owner

# Number of entries whose placement cost is computed for one target. Each takes
# about 4 us, so computing it for all of 3,100 entries would take 12 ms.
_SHORTLIST_SIZE = 32


@dataclass(frozen=True)
class OwnerCandidate:
    """An entry that may own targets."""

    owner: Owner
    # Failure domain.
    domain: str


class Ranking:
    """Ranks a set of entries for each target by rendezvous hashing."""

    def __init__(self, candidates: Iterable[OwnerCandidate]) -> None:
        self.candidates = tuple(candidates)
        # Hashes the instance id without the start id, so that a restarted
        # entry is preferred for the targets that it owned before.
        self._keyed = [
            (f' {candidate.owner.instance}'.encode(), candidate)
            for candidate in self.candidates
        ]

    def get_highest(
        self,
        target: str,
        excluded: Collection[Owner],
    ) -> OwnerCandidate:
        """Return the highest-ranked entry that is not excluded.

        If all entries are excluded, the highest-ranked of all is returned.
        """
        prefix = target.encode()
        highest = max(
            self._keyed, key=lambda keyed: _score_keyed(prefix, keyed)
        )[1]
        if highest.owner not in excluded:
            return highest
        free = [
            keyed for keyed in self._keyed if keyed[1].owner not in excluded
        ]
        if not free:
            return highest
        return max(free, key=lambda keyed: _score_keyed(prefix, keyed))[1]

    def list_highest(
        self,
        target: str,
        excluded: Collection[Owner] = (),
    ) -> Sequence[OwnerCandidate]:
        """Return the highest-ranked entries that are not excluded.

        The result is unordered if all of them fit into the shortlist.
        """
        keyed = self._keyed
        if excluded:
            keyed = [
                keyed_entry
                for keyed_entry in keyed
                if keyed_entry[1].owner not in excluded
            ]
        if len(keyed) > _SHORTLIST_SIZE:
            prefix = target.encode()
            keyed = heapq.nlargest(
                _SHORTLIST_SIZE,
                keyed,
                key=lambda keyed_entry: _score_keyed(prefix, keyed_entry),
            )
        return [candidate for _, candidate in keyed]


def _score_keyed(prefix: bytes, keyed: tuple[bytes, OwnerCandidate]) -> int:
    return xxhash.xxh3_64_intdigest(prefix + keyed[0])


def score(target: str, candidate: OwnerCandidate) -> int:
    """Return the rendezvous hashing score of an entry for a target."""
    text = f'{target} {candidate.owner.instance}'
    return xxhash.xxh3_64_intdigest(text.encode())
