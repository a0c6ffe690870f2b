"""Assignment of targets to the entries that should own them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import islice

from shallotgate.control._placement import Cost, Placement
from shallotgate.control._ranking import OwnerCandidate, score
from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

# The search terminates by itself; if this limit cuts it short, the next step
# resumes it.
MAX_ROUNDS = 32
# Swaps tried for one target. Each takes about 0.15 ms with many entries.
_MAX_SWAPS = 64
# Index in a cost of the part that counts replicas owned in one domain.
_SAME_DOMAIN_PART = 2


class Assignment:
    """Local search for the owners of targets.

    The total cost is the sum over all targets of each part of the cost, and
    totals are compared lexicographically. A target or a pair of targets is only
    moved if that lowers the total, so the search terminates, and a search that
    starts from its own result leaves it unchanged.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    def remove_owner(self, owner: Owner) -> set[str]:
        """Clear the choices of a lost entry; return the affected services."""
        changed_services = set()
        for target, place in tuple(
            self._placement.targets_by_owner.get(owner, {}).items()
        ):
            self._placement.clear_choice(target)
            changed_services.add(place.service_name)
        self._placement.targets_by_owner.pop(owner, None)
        return changed_services

    def keep_present_owner(
        self, owner: Owner, targets: Iterable[str]
    ) -> set[str]:
        """Choose the current owner of targets; return the affected services."""
        changed_services = set()
        candidate = self._placement.candidates_by_owner[owner]
        for target in targets:
            place = self._placement.places.get(target)
            if place is not None:
                self._placement.clear_choice(target)
                self._placement.assign(place, candidate)
                changed_services.add(place.service_name)
        return changed_services

    def assign_missing(self, service: str) -> None:
        """Find first choices, and choose owners for targets without one."""
        places = self._placement.services.get(service, ())
        if not places or not self._placement.candidates_by_owner:
            return
        self._placement.find_first_choices(places)
        for place in places:
            if self._placement.get_owner(place.target.name) is None:
                self._placement.clear_choice(place.target.name)
                self.assign_best(place)

    def improve_service(self, service: str) -> bool:
        """Move targets of a service where that lowers the cost."""
        if not self._placement.candidates_by_owner:
            return False
        moved = [
            place
            for place in self._placement.services.get(service, ())
            if place.target.name in self._placement.choices
            and self.improve(place)
        ]
        return bool(moved)

    def assign_best(
        self,
        place: TargetPlace,
        present: OwnerCandidate | None = None,
    ) -> OwnerCandidate:
        """Assign a target to the cheapest entry; the current one wins a tie."""
        best = self._find_best(place, present)
        self._placement.assign(place, best)
        self._placement.changed_targets.add(place.target.name)
        return best

    def improve(self, place: TargetPlace) -> bool:
        """Move a target if that lowers the cost; return whether it moved."""
        present, cost = self._unassign(place)
        if not any(cost):
            self._placement.assign(place, present)
            return False
        if self.assign_best(place, present) is not present:
            return True
        return cost[_SAME_DOMAIN_PART] > 0 and self._swap(place)

    def _unassign(self, place: TargetPlace) -> tuple[OwnerCandidate, Cost]:
        """Remove a target from its owner; return the owner and its cost."""
        present = self._placement.choices[place.target.name]
        self._placement.unassign(place.target.name, present.owner)
        return present, self._placement.compute_cost(place, present)

    def _find_best(
        self,
        place: TargetPlace,
        present: OwnerCandidate | None,
    ) -> OwnerCandidate:
        first_choice = self._placement.get_first_choice(place)
        if not any(self._placement.compute_cost(place, first_choice)):
            return first_choice
        target = place.target.name
        domain_ranking = self._placement.domain_rankings.get(
            place.target.domain
        )
        # Any entry of the domain below the load limit costs less than an entry
        # outside the domain.
        found = (
            domain_ranking.list_highest(target, self._placement.full_owners)
            if domain_ranking
            else ()
        )
        found = found or self._placement.overall_ranking.list_highest(
            target, self._placement.full_owners
        )
        found = found or self._placement.overall_ranking.list_highest(target)
        if present is not None and present not in found:
            found = (*found, present)
        return min(
            found,
            key=lambda candidate: (
                self._placement.compute_cost(place, candidate),
                candidate is not present,
                -score(target, candidate),
            ),
        )

    def _swap(self, place: TargetPlace) -> bool:
        """Separate replicas by moving another target out of the way."""
        present, cost = self._unassign(place)
        others = self._list_swap_candidates(place, cost)
        for other in islice(others, _MAX_SWAPS):
            if self._try_swap(place, cost, other):
                return True
        self._placement.assign(place, present)
        return False

    def _list_swap_candidates(
        self,
        place: TargetPlace,
        cost: Cost,
    ) -> Iterator[TargetPlace]:
        """Yield targets of the entries where this target would cost less."""
        for candidate in self._placement.overall_ranking.list_highest(
            place.target.name
        ):
            if self._placement.compute_cost(place, candidate)[1:] < cost[1:]:
                yield from tuple(
                    self._placement.targets_by_owner[candidate.owner].values()
                )

    def _try_swap(
        self,
        place: TargetPlace,
        cost: Cost,
        other: TargetPlace,
    ) -> bool:
        """Replace another target by this one if that lowers the total cost."""
        candidate, other_cost = self._unassign(other)
        new_cost = self._placement.compute_cost(place, candidate)
        self._placement.assign(place, candidate)
        alternative = self._find_best(other, candidate)
        new_costs = (new_cost, self._placement.compute_cost(other, alternative))
        if _is_total_lower(new_costs, (cost, other_cost)):
            self._placement.assign(other, alternative)
            self._placement.changed_targets.update(
                (place.target.name, other.target.name)
            )
            return True
        self._unassign(place)
        self._placement.assign(other, candidate)
        return False


def _is_total_lower(after: Sequence[Cost], before: Sequence[Cost]) -> bool:
    """Compare the sums of each part of the costs lexicographically."""
    return [sum(parts) for parts in zip(*after, strict=True)] < [
        sum(parts) for parts in zip(*before, strict=True)
    ]


def assign_owners(
    places: Mapping[str, TargetPlace],
    candidates: Sequence[OwnerCandidate],
    present: Mapping[str, Owner],
) -> dict[str, Owner]:
    """Return the owner that each target should have.

    Implements rendezvous hashing with bounded loads as a local search that
    starts from the current owners. A target only moves to its first choice, to
    its own domain, or away from an entry above the load limit or from another
    replica of its service, so few targets move when an entry joins or leaves.

    Args:
        places: All targets by name.
        candidates: Entries that may own targets.
        present: Current owners by target name.
    """
    services: defaultdict[str, list[TargetPlace]] = defaultdict(list)
    for place in places.values():
        services[place.service_name].append(place)
    placement = Placement()
    placement.set_candidates(candidates)
    for name in sorted(services):
        placement.add_service(name, services[name], present)
    placement.update_limits()
    assignment = Assignment(placement)
    for unfilled in placement.services:
        assignment.assign_missing(unfilled)
    for _ in range(MAX_ROUNDS):
        moved = [
            service
            for service in placement.services
            if assignment.improve_service(service)
        ]
        if not moved:
            break
    return {
        target: choice.owner for target, choice in placement.choices.items()
    }
