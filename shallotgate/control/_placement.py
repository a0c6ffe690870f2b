"""Owners chosen for targets, and what they cost."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from shallotgate.control._ranking import OwnerCandidate, Ranking
from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

# No entry owns more than this times the average, where possible.
_LOAD_BOUND = 1.25


def _bound(targets: int, entries: int) -> int:
    """Return the largest number of targets for each of some entries.

    >>> _bound(10, 4), _bound(20, 4)
    (3, 6)
    """
    average = targets / entries
    return max(math.floor(average * _LOAD_BOUND), math.ceil(average))


# What an owner costs, the gravest part first; see ``Placement.cost``.
Cost = tuple[int, ...]


class Placement:
    """Targets, entries and the choices that were made.

    All of them change in place, so that a change costs as much as the services
    that it touches.
    """

    def __init__(self) -> None:
        self.chosen: dict[str, OwnerCandidate] = {}
        self.places: dict[str, TargetPlace] = {}
        # Targets whose choice has changed since the caller cleared the set.
        self.moved: set[str] = set()
        self.by_owner: dict[Owner, OwnerCandidate] = {}
        self.everyone = Ranking(())
        self.near: dict[str, Ranking] = {}
        self._limit = 0
        self._near_limits: dict[str, int] = {}
        # Targets by failure domain.
        self._counts: Counter[str] = Counter()
        # Targets of each service in their order.
        self.services: dict[str, list[TargetPlace]] = {}
        self._firsts: dict[str, OwnerCandidate] = {}
        # By owner and target name.
        self.owned: defaultdict[Owner, dict[str, TargetPlace]]
        self.owned = defaultdict(dict)
        # Owners at the limit; they are not compared.
        self.full: set[Owner] = set()

    def get(self, target: str) -> Owner | None:
        """Return the owner that a target should have, if there is one."""
        choice = self.chosen.get(target)
        if choice is None or choice.owner not in self.by_owner:
            return None
        return choice.owner

    def change_candidates(self, candidates: Sequence[OwnerCandidate]) -> None:
        """Replace the entries that may own targets.

        Choices of entries that are gone stay until ``release`` is called.
        """
        by_domain: defaultdict[str, list[OwnerCandidate]] = defaultdict(list)
        for candidate in candidates:
            by_domain[candidate.domain].append(candidate)
        self.by_owner = {entry.owner: entry for entry in candidates}
        self.everyone = Ranking(candidates)
        self.near = {
            domain: Ranking(entries) for domain, entries in by_domain.items()
        }
        self.update_limits()

    def update_limits(self) -> bool:
        """Work out the bounds anew; return whether one is lower now."""
        before = (self._limit, self._near_limits)
        entries = len(self.by_owner)
        self._limit = _bound(len(self.places), entries) if entries else 0
        self._near_limits = {
            domain: _bound(self._counts[domain], len(near.candidates))
            for domain, near in self.near.items()
        }
        if self._limit != before[0]:
            self.full = {
                owner
                for owner, owned in self.owned.items()
                if len(owned) >= self._limit
            }
        return self._limit < before[0] or any(
            limit < before[1].get(domain, 0)
            for domain, limit in self._near_limits.items()
        )

    def remove_service(self, name: str) -> None:
        """Take a service and its choices away."""
        for place in self.services.pop(name, ()):
            target = place.target.name
            self.drop(target)
            self._firsts.pop(target, None)
            self._counts[place.target.domain] -= 1
            self.places.pop(target, None)

    def put_service(
        self,
        name: str,
        places: Iterable[TargetPlace],
        present: Mapping[str, Owner | None],
    ) -> None:
        """Add a service whose targets stay with their present owners."""
        ordered = sorted(places, key=lambda place: place.target.name)
        self.services[name] = ordered
        for place in ordered:
            target = place.target.name
            self.places[target] = place
            self._counts[place.target.domain] += 1
            self.moved.add(target)
            owner = present.get(target)
            if owner is not None and owner in self.by_owner:
                self.put(place, self.by_owner[owner])

    def list_places(self, service: str) -> Sequence[TargetPlace]:
        """Return the targets of a service."""
        return self.services.get(service, ())

    def put(self, place: TargetPlace, candidate: OwnerCandidate) -> None:
        """Give a target to an entry."""
        owner = candidate.owner
        self.chosen[place.target.name] = candidate
        owned = self.owned[owner]
        owned[place.target.name] = place
        if len(owned) >= self._limit:
            self.full.add(owner)

    def take(self, target: str, owner: Owner) -> None:
        """Take a target from the entry that was chosen for it."""
        self.chosen.pop(target)
        owned = self.owned[owner]
        owned.pop(target, None)
        if len(owned) < self._limit:
            self.full.discard(owner)

    def drop(self, target: str) -> None:
        """Forget the choice for a target."""
        choice = self.chosen.get(target)
        if choice is not None:
            self.take(target, choice.owner)
            self.moved.add(target)

    def cost(self, place: TargetPlace, candidate: OwnerCandidate) -> Cost:
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
        load = len(self.owned[candidate.owner])
        is_full = load >= self._near_limits.get(candidate.domain, 0)
        is_first = candidate == self.get_first(place)
        return (
            int(load >= self._limit),
            int(not is_near),
            crowded,
            doubled,
            2 * int(is_full) + int(not is_first),
        )

    def get_first(self, place: TargetPlace) -> OwnerCandidate:
        """Return the first choice for a target, whatever the loads."""
        first = self._firsts.get(place.target.name)
        if first is None or first.owner not in self.by_owner:
            self.find_firsts(self.services[place.service_name])
            first = self._firsts[place.target.name]
        return first

    def find_firsts(self, places: Iterable[TargetPlace]) -> None:
        """Find the first choices for the targets of one service.

        It is the entry with the highest score in the target's own domain, or
        of all entries if there is none. Replicas of one service in one domain
        get different entries while there are enough of them.
        """
        taken: set[Owner] = set()
        for place in places:
            near = self.near.get(place.target.domain, self.everyone)
            first = near.pick_highest(place.target.name, taken)
            taken.add(first.owner)
            self._firsts[place.target.name] = first

    def _list_siblings(
        self,
        place: TargetPlace,
    ) -> Iterator[tuple[OwnerCandidate, Target]]:
        """Yield the owners of the other replicas of its service."""
        for target in place.service.targets:
            owner = self.chosen.get(target.name)
            if owner is not None and target.name != place.target.name:
                yield owner, target
