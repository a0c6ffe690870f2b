"""Which entry should own which target."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

# No entry owns more than this times the average, where possible.
_LOAD_BOUND = 1.25
# The search ends by itself; the next step goes on where it was cut short.
_MAX_ROUNDS = 32
# Position in a cost of replicas owned from one domain.
_CROWDED = 2


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


def _bound(targets: int, entries: int) -> int:
    """Return the largest number of targets for each of some entries.

    >>> _bound(10, 4), _bound(20, 4)
    (3, 6)
    """
    average = targets / entries
    return max(math.floor(average * _LOAD_BOUND), math.ceil(average))


def _find_near_limits(
    places: Iterable[TargetPlace],
    candidates: Sequence[Candidate],
) -> dict[str, int]:
    """Return the bound for entries of each domain, from its own targets."""
    targets = Counter(place.target.domain for place in places)
    entries = Counter(candidate.domain for candidate in candidates)
    return {
        domain: _bound(targets[domain], count)
        for domain, count in entries.items()
    }


# What an owner costs, the gravest part first; see ``_Assignment.cost``.
_Cost = tuple[int, ...]


class _Assignment:
    """Owners chosen so far, and what they cost.

    The total cost is the sum of the parts over all targets, compared part by
    part. A target or a pair of targets is only moved if that lowers the total,
    so that the search ends, and a result that is put in again comes out
    unchanged.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        firsts: Mapping[str, Candidate],
        near_limits: Mapping[str, int],
    ) -> None:
        self._candidates = candidates
        self._firsts = firsts
        self._limit = _bound(len(firsts), len(candidates))
        self._near_limits = near_limits
        self.chosen: dict[str, Candidate] = {}
        # By owner and target name.
        self._owned: defaultdict[Owner, dict[str, TargetPlace]]
        self._owned = defaultdict(dict)

    def put(self, place: TargetPlace, candidate: Candidate) -> None:
        """Give a target to an entry."""
        self.chosen[place.target.name] = candidate
        self._owned[candidate.owner][place.target.name] = place

    def put_best(
        self,
        place: TargetPlace,
        present: Candidate | None = None,
    ) -> Candidate:
        """Give a target to the best entry; the present one wins a tie."""
        best = self._find_best(place, present)
        self.put(place, best)
        return best

    def improve(self, place: TargetPlace) -> bool:
        """Move a target if that lowers the cost; return whether it did."""
        present, cost = self._lift(place)
        if not any(cost):
            self.put(place, present)
            return False
        if self.put_best(place, present) is not present:
            return True
        return cost[_CROWDED] > 0 and self._exchange(place)

    def _cost(self, place: TargetPlace, candidate: Candidate) -> _Cost:
        """Return what a target that has no owner now would cost there.

        The parts are: above the bound, outside the target's domain, replicas
        owned from the same domain without being there, replicas with the same
        owner, and the bound of the domain with the first choice.
        """
        is_near = candidate.domain == place.target.domain
        crowded = 0
        doubled = 0
        for sibling, target in self._list_siblings(place):
            if sibling.domain == candidate.domain:
                is_home = is_near and sibling.domain == target.domain
                crowded += int(not is_home)
                doubled += int(sibling.owner == candidate.owner)
        load = len(self._owned[candidate.owner])
        is_full = load >= self._near_limits[candidate.domain]
        is_first = candidate == self._firsts[place.target.name]
        return (
            int(load >= self._limit),
            int(not is_near),
            crowded,
            doubled,
            2 * int(is_full) + int(not is_first),
        )

    def _lift(self, place: TargetPlace) -> tuple[Candidate, _Cost]:
        """Take a target from its owner; return the owner and its cost."""
        present = self.chosen.pop(place.target.name)
        self._owned[present.owner].pop(place.target.name)
        return present, self._cost(place, present)

    def _find_best(
        self,
        place: TargetPlace,
        present: Candidate | None,
    ) -> Candidate:
        first = self._firsts[place.target.name]
        if not any(self._cost(place, first)):
            return first
        return min(
            self._candidates,
            key=lambda candidate: (
                self._cost(place, candidate),
                candidate is not present,
                -_score(place.target.name, candidate),
            ),
        )

    def _exchange(self, place: TargetPlace) -> bool:
        """Keep replicas apart by sending another target elsewhere."""
        present, cost = self._lift(place)
        for candidate in self._candidates:
            if self._cost(place, candidate)[1:] >= cost[1:]:
                continue
            for other in tuple(self._owned[candidate.owner].values()):
                if self._try_exchange(place, cost, other):
                    return True
        self.put(place, present)
        return False

    def _try_exchange(
        self,
        place: TargetPlace,
        cost: _Cost,
        other: TargetPlace,
    ) -> bool:
        """Put a target in the place of another one if that is cheaper."""
        candidate, other_cost = self._lift(other)
        new_cost = self._cost(place, candidate)
        self.put(place, candidate)
        refuge = self._find_best(other, candidate)
        new_costs = (new_cost, self._cost(other, refuge))
        if _is_lower(new_costs, (cost, other_cost)):
            self.put(other, refuge)
            return True
        self._lift(place)
        self.put(other, candidate)
        return False

    def _list_siblings(
        self,
        place: TargetPlace,
    ) -> Iterator[tuple[Candidate, Target]]:
        """Yield the owners of the other replicas of its service."""
        for target in place.service.targets:
            owner = self.chosen.get(target.name)
            if owner is not None and target.name != place.target.name:
                yield owner, target


def _is_lower(after: Sequence[_Cost], before: Sequence[_Cost]) -> bool:
    """Compare sums of costs part by part."""
    return [sum(parts) for parts in zip(*after, strict=True)] < [
        sum(parts) for parts in zip(*before, strict=True)
    ]


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

    Rendezvous hashing with bounded loads, as a search that begins with the
    present owners. A target moves to its first choice, to its own domain, or
    away from an entry above the bound or from another replica; so few of them
    move when an entry joins or leaves.

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
    assignment = _Assignment(
        candidates,
        _find_firsts(ordered, candidates),
        _find_near_limits(ordered, candidates),
    )
    by_owner = {entry.owner: entry for entry in candidates}
    new = []
    for place in ordered:
        owner = present.get(place.target.name)
        candidate = None if owner is None else by_owner.get(owner)
        if candidate is None:
            new.append(place)
        else:
            assignment.put(place, candidate)
    for unowned in new:
        assignment.put_best(unowned)
    _search(assignment, ordered)
    return {name: entry.owner for name, entry in assignment.chosen.items()}


def _search(assignment: _Assignment, places: Sequence[TargetPlace]) -> None:
    for _ in range(_MAX_ROUNDS):
        moved = [place for place in places if assignment.improve(place)]
        if not moved:
            return
