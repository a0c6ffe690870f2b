"""Ranks of entries for targets by rendezvous hashing."""

import heapq
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from shallotgate.generated.messages import Owner

# Entries compared in full for one target. The cost of one takes about 4 us, so
# that all of 3,100 entries would take 12 ms.
_SHORTLIST = 32


@dataclass(frozen=True)
class OwnerCandidate:
    """An entry that may own targets."""

    owner: Owner
    # Failure domain.
    domain: str


class Ranking:
    """Entries that rendezvous hashing ranks for each target."""

    def __init__(self, candidates: Iterable[OwnerCandidate]) -> None:
        self.candidates = tuple(candidates)
        # The instance id without the start id: a restarted entry is preferred
        # for the targets that it had before.
        self._keyed = [
            (f' {candidate.owner.instance}'.encode(), candidate)
            for candidate in self.candidates
        ]

    def pick_highest(
        self,
        target: str,
        taken: Collection[Owner],
    ) -> OwnerCandidate:
        """Return the highest of those not taken, or of all if none is left."""
        prefix = target.encode()
        highest = max(self._keyed, key=lambda keyed: _rank(prefix, keyed))[1]
        if highest.owner not in taken:
            return highest
        free = [keyed for keyed in self._keyed if keyed[1].owner not in taken]
        if not free:
            return highest
        return max(free, key=lambda keyed: _rank(prefix, keyed))[1]

    def list_highest(
        self,
        target: str,
        excluded: Collection[Owner] = (),
    ) -> Sequence[OwnerCandidate]:
        """Return a shortlist of those not excluded."""
        keyed = self._keyed
        if excluded:
            keyed = [one for one in keyed if one[1].owner not in excluded]
        if len(keyed) > _SHORTLIST:
            prefix = target.encode()
            keyed = heapq.nlargest(
                _SHORTLIST,
                keyed,
                key=lambda one: _rank(prefix, one),
            )
        return [candidate for _, candidate in keyed]


def _rank(prefix: bytes, keyed: tuple[bytes, OwnerCandidate]) -> int:
    return xxhash.xxh3_64_intdigest(prefix + keyed[0])


def score(target: str, candidate: OwnerCandidate) -> int:
    """Return the rank of an entry for a target in rendezvous hashing."""
    text = f'{target} {candidate.owner.instance}'
    return xxhash.xxh3_64_intdigest(text.encode())
