"""Which entry should own which target."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import islice

from shallotgate.control._placement import Cost, Placement
from shallotgate.control._ranking import OwnerCandidate, score
from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

# The search ends by itself; the next step goes on where it was cut short.
MAX_ROUNDS = 32
# Exchanges tried for one target. Each takes about 0.15 ms with many entries.
_MAX_EXCHANGES = 64
# Position in a cost of replicas owned from one domain.
_CROWDED = 2


class Assignment:
    """Searches for the owners of targets.

    The total cost is the sum of the parts over all targets, compared part by
    part. A target or a pair of targets is only moved if that lowers the total,
    so that the search ends, and a result that is put in again comes out
    unchanged.
    """

    def __init__(self, placement: Placement) -> None:
        self._placed = placement

    def release(self, owner: Owner) -> set[str]:
        """Drop the choices of an entry that is gone; return the services."""
        touched = set()
        for target, place in tuple(self._placed.owned.get(owner, {}).items()):
            self._placed.drop(target)
            touched.add(place.service_name)
        self._placed.owned.pop(owner, None)
        return touched

    def adopt(self, owner: Owner, targets: Iterable[str]) -> set[str]:
        """Leave targets with their present owner; return the services."""
        touched = set()
        candidate = self._placed.by_owner[owner]
        for target in targets:
            place = self._placed.places.get(target)
            if place is not None:
                self._placed.drop(target)
                self._placed.put(place, candidate)
                touched.add(place.service_name)
        return touched

    def fill(self, service: str) -> None:
        """Choose first owners, and owners for the targets without one."""
        places = self._placed.services.get(service, ())
        if not places or not self._placed.by_owner:
            return
        self._placed.find_firsts(places)
        for place in places:
            if self._placed.get(place.target.name) is None:
                self._placed.drop(place.target.name)
                self.put_best(place)

    def improve_service(self, service: str) -> bool:
        """Move targets of a service where that lowers the cost."""
        if not self._placed.by_owner:
            return False
        moved = [
            place
            for place in self._placed.services.get(service, ())
            if place.target.name in self._placed.chosen and self.improve(place)
        ]
        return bool(moved)

    def put_best(
        self,
        place: TargetPlace,
        present: OwnerCandidate | None = None,
    ) -> OwnerCandidate:
        """Give a target to the best entry; the present one wins a tie."""
        best = self._find_best(place, present)
        self._placed.put(place, best)
        self._placed.moved.add(place.target.name)
        return best

    def improve(self, place: TargetPlace) -> bool:
        """Move a target if that lowers the cost; return whether it did."""
        present, cost = self._lift(place)
        if not any(cost):
            self._placed.put(place, present)
            return False
        if self.put_best(place, present) is not present:
            return True
        return cost[_CROWDED] > 0 and self._exchange(place)

    def _lift(self, place: TargetPlace) -> tuple[OwnerCandidate, Cost]:
        """Take a target from its owner; return the owner and its cost."""
        present = self._placed.chosen[place.target.name]
        self._placed.take(place.target.name, present.owner)
        return present, self._placed.cost(place, present)

    def _find_best(
        self,
        place: TargetPlace,
        present: OwnerCandidate | None,
    ) -> OwnerCandidate:
        first = self._placed.get_first(place)
        if not any(self._placed.cost(place, first)):
            return first
        target = place.target.name
        near = self._placed.near.get(place.target.domain)
        # Any entry of the domain below the bound costs less than one outside.
        found = near.list_highest(target, self._placed.full) if near else ()
        found = found or self._placed.everyone.list_highest(
            target, self._placed.full
        )
        found = found or self._placed.everyone.list_highest(target)
        if present is not None and present not in found:
            found = (*found, present)
        return min(
            found,
            key=lambda candidate: (
                self._placed.cost(place, candidate),
                candidate is not present,
                -score(target, candidate),
            ),
        )

    def _exchange(self, place: TargetPlace) -> bool:
        """Keep replicas apart by sending another target elsewhere."""
        present, cost = self._lift(place)
        others = self._list_exchanges(place, cost)
        for other in islice(others, _MAX_EXCHANGES):
            if self._try_exchange(place, cost, other):
                return True
        self._placed.put(place, present)
        return False

    def _list_exchanges(
        self,
        place: TargetPlace,
        cost: Cost,
    ) -> Iterator[TargetPlace]:
        """Yield the targets in whose place a target would cost less."""
        for candidate in self._placed.everyone.list_highest(place.target.name):
            if self._placed.cost(place, candidate)[1:] < cost[1:]:
                yield from tuple(self._placed.owned[candidate.owner].values())

    def _try_exchange(
        self,
        place: TargetPlace,
        cost: Cost,
        other: TargetPlace,
    ) -> bool:
        """Put a target in the place of another one if that is cheaper."""
        candidate, other_cost = self._lift(other)
        new_cost = self._placed.cost(place, candidate)
        self._placed.put(place, candidate)
        refuge = self._find_best(other, candidate)
        new_costs = (new_cost, self._placed.cost(other, refuge))
        if _is_lower(new_costs, (cost, other_cost)):
            self._placed.put(other, refuge)
            self._placed.moved.update((place.target.name, other.target.name))
            return True
        self._lift(place)
        self._placed.put(other, candidate)
        return False


def _is_lower(after: Sequence[Cost], before: Sequence[Cost]) -> bool:
    """Compare sums of costs part by part."""
    return [sum(parts) for parts in zip(*after, strict=True)] < [
        sum(parts) for parts in zip(*before, strict=True)
    ]


def assign_owners(
    places: Mapping[str, TargetPlace],
    candidates: Sequence[OwnerCandidate],
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
    services: defaultdict[str, list[TargetPlace]] = defaultdict(list)
    for place in places.values():
        services[place.service_name].append(place)
    placement = Placement()
    placement.change_candidates(candidates)
    for name in sorted(services):
        placement.put_service(name, services[name], present)
    placement.update_limits()
    assignment = Assignment(placement)
    for unfilled in placement.services:
        assignment.fill(unfilled)
    for _ in range(MAX_ROUNDS):
        moved = [
            service
            for service in placement.services
            if assignment.improve_service(service)
        ]
        if not moved:
            break
    return {target: choice.owner for target, choice in placement.chosen.items()}
