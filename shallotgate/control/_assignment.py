"""Which entry should own which target."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

# No entry owns more than this times the average, where possible.
_LOAD_BOUND = 1.25


@dataclass(frozen=True)
class Candidate:
    """An entry that may own targets."""

    owner: Owner
    # Failure domain.
    domain: str


def _score(target: str, candidate: Candidate) -> int:
    # The instance id without the start id: a restarted entry is preferred for
    # the targets that it had before.
    text = f'{target} {candidate.owner.instance}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _pick_highest(
    target: str,
    candidates: Sequence[Candidate],
) -> Candidate:
    return max(candidates, key=lambda candidate: _score(target, candidate))


class _Assignment:
    """Owners chosen so far, with their load."""

    def __init__(
        self,
        candidates: Sequence[Candidate],
        present: Mapping[str, Owner],
        total: int,
    ) -> None:
        self._candidates = candidates
        self._by_owner = {entry.owner: entry for entry in candidates}
        self._present = present
        average = total / len(candidates)
        self._limit = max(math.floor(average * _LOAD_BOUND), math.ceil(average))
        # By owner and target name.
        self._owned: defaultdict[Owner, dict[str, TargetPlace]]
        self._owned = defaultdict(dict)
        self.chosen: dict[str, Candidate] = {}

    def list_left(self, places: Sequence[TargetPlace]) -> list[TargetPlace]:
        """Return the targets that have no owner yet."""
        return [
            place for place in places if place.target.name not in self.chosen
        ]

    def try_choice(self, place: TargetPlace, candidate: Candidate) -> None:
        """Choose an entry unless its load is at the bound."""
        if self._has_room(candidate):
            self._choose(place, candidate)

    def try_present(self, place: TargetPlace) -> None:
        """Keep the present owner, if that keeps replicas apart."""
        owner = self._present.get(place.target.name)
        candidate = None if owner is None else self._by_owner.get(owner)
        if candidate and not self._is_crowded(place, candidate):
            self.try_choice(place, candidate)

    def choose_best(self, place: TargetPlace) -> None:
        """Choose the best entry that is left."""
        best = self._find_best(place)
        if self._is_crowded(place, best) and self._make_room(place):
            return
        self._choose(place, best)

    def _find_best(self, place: TargetPlace) -> Candidate:
        return min(
            self._candidates,
            key=lambda candidate: self._rank(place, candidate),
        )

    def _make_room(self, place: TargetPlace) -> bool:
        """Keep replicas apart by sending another target elsewhere."""
        ranked = sorted(
            self._candidates,
            key=lambda candidate: self._rank(place, candidate)[1:],
        )
        for candidate in ranked:
            if self._is_crowded(place, candidate):
                continue
            for other in tuple(self._owned[candidate.owner].values()):
                refuge = self._find_best(other)
                is_far = self._is_crowded(other, refuge)
                if self._has_room(refuge) and not is_far:
                    self._owned[candidate.owner].pop(other.target.name)
                    self._choose(other, refuge)
                    self._choose(place, candidate)
                    return True
        return False

    def _choose(self, place: TargetPlace, candidate: Candidate) -> None:
        self.chosen[place.target.name] = candidate
        self._owned[candidate.owner][place.target.name] = place

    def _has_room(self, candidate: Candidate) -> bool:
        return len(self._owned[candidate.owner]) < self._limit

    def _list_siblings(self, place: TargetPlace) -> list[Candidate]:
        """Return the owners of the other replicas of its service."""
        names = (target.name for target in place.service.targets)
        return [
            self.chosen[name]
            for name in names
            if name in self.chosen and name != place.target.name
        ]

    def _is_crowded(self, place: TargetPlace, candidate: Candidate) -> bool:
        """Return whether a domain would own two replicas of a service.

        That is accepted only for replicas that stand in that domain.
        """
        if candidate.domain == place.target.domain:
            return False
        return any(
            sibling.domain == candidate.domain
            for sibling in self._list_siblings(place)
        )

    def _rank(
        self,
        place: TargetPlace,
        candidate: Candidate,
    ) -> tuple[int, ...]:
        siblings = self._list_siblings(place)
        return (
            int(not self._has_room(candidate)),
            int(candidate.domain != place.target.domain),
            sum(entry.domain == candidate.domain for entry in siblings),
            sum(entry.owner == candidate.owner for entry in siblings),
            -_score(place.target.name, candidate),
        )


def _find_firsts(
    places: Iterable[TargetPlace],
    candidates: Sequence[Candidate],
) -> dict[str, Candidate]:
    """Return the first choice for each target, whatever the loads.

    It is the entry with the highest score in the target's own domain, or of
    all entries if there is none. Replicas of one service in one domain get
    different entries while there are enough of them.
    """
    by_domain: defaultdict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        by_domain[candidate.domain].append(candidate)
    used: defaultdict[str, set[Owner]] = defaultdict(set)
    firsts = {}
    for place in places:
        near = by_domain.get(place.target.domain, candidates)
        taken = used[place.service_name]
        free = [entry for entry in near if entry.owner not in taken]
        first = _pick_highest(place.target.name, free or near)
        taken.add(first.owner)
        firsts[place.target.name] = first
    return firsts


def assign_owners(
    places: Mapping[str, TargetPlace],
    candidates: Sequence[Candidate],
    present: Mapping[str, Owner],
) -> dict[str, Owner]:
    """Return the owner that each target should have.

    Rendezvous hashing with bounded loads. Targets whose first choice is at
    its bound stay where they are, so that few of them move when an entry
    joins or leaves.

    Args:
        places: All targets by name.
        candidates: Entries that may own targets.
        present: Present owners by target name.
    """
    if not candidates:
        return {}
    ordered = sorted(
        places.values(),
        key=lambda place: (place.service_name, place.target.name),
    )
    firsts = _find_firsts(ordered, candidates)
    assignment = _Assignment(candidates, present, len(ordered))
    # Targets that are at home already go before those that would move there.
    ordered.sort(key=lambda place: not _is_at_home(place, firsts, present))
    for place in ordered:
        assignment.try_choice(place, firsts[place.target.name])
    for place in assignment.list_left(ordered):
        assignment.try_present(place)
    for place in assignment.list_left(ordered):
        assignment.choose_best(place)
    return {name: entry.owner for name, entry in assignment.chosen.items()}


def _is_at_home(
    place: TargetPlace,
    firsts: Mapping[str, Candidate],
    present: Mapping[str, Owner],
) -> bool:
    name = place.target.name
    return present.get(name) == firsts[name].owner
