"""Owners chosen for targets, and the cost of each choice."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from shallotgate.control._ranking import OwnerCandidate, Ranking
from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

# No entry owns more than this factor times the average, where possible.
_MAX_LOAD_FACTOR = 1.25


def _compute_load_limit(targets: int, entries: int) -> int:
    """Return the largest number of targets that one entry may own.

    >>> _compute_load_limit(10, 4), _compute_load_limit(20, 4)
    (3, 6)
    """
    average = targets / entries
    return max(math.floor(average * _MAX_LOAD_FACTOR), math.ceil(average))


# Cost of an owner, most significant part first; see ``Placement.compute_cost``.
Cost = tuple[int, ...]


class Placement:
    """Targets, candidate entries and the owners chosen for the targets.

    All of it is updated in place, so the cost of a change is proportional to
    the size of the services that it affects.
    """

    def __init__(self) -> None:
        self.choices: dict[str, OwnerCandidate] = {}
        self.places: dict[str, TargetPlace] = {}
        # Targets whose choice changed since the caller last cleared the set.
        self.changed_targets: set[str] = set()
        self.candidates_by_owner: dict[Owner, OwnerCandidate] = {}
        self.overall_ranking = Ranking(())
        self.domain_rankings: dict[str, Ranking] = {}
        self._load_limit = 0
        self._domain_load_limits: dict[str, int] = {}
        # Number of targets by failure domain.
        self._domain_sizes: Counter[str] = Counter()
        # Targets of each service, sorted by name.
        self.services: dict[str, list[TargetPlace]] = {}
        self._first_choices: dict[str, OwnerCandidate] = {}
        # Chosen targets by owner and target name.
        self.targets_by_owner: defaultdict[Owner, dict[str, TargetPlace]]
        self.targets_by_owner = defaultdict(dict)
        # Owners at the load limit, which are not considered as candidates.
        self.full_owners: set[Owner] = set()

    def get_owner(self, target: str) -> Owner | None:
        """Return the owner chosen for a target, or ``None``."""
        choice = self.choices.get(target)
        if choice is None or choice.owner not in self.candidates_by_owner:
            return None
        return choice.owner

    def set_candidates(self, candidates: Sequence[OwnerCandidate]) -> None:
        """Replace the entries that may own targets.

        Choices of removed entries stay until ``Assignment.remove_owner``.
        """
        by_domain: defaultdict[str, list[OwnerCandidate]] = defaultdict(list)
        for candidate in candidates:
            by_domain[candidate.domain].append(candidate)
        self.candidates_by_owner = {entry.owner: entry for entry in candidates}
        self.overall_ranking = Ranking(candidates)
        self.domain_rankings = {
            domain: Ranking(entries) for domain, entries in by_domain.items()
        }
        self.update_limits()

    def update_limits(self) -> bool:
        """Recompute the load limits; return whether one of them decreased."""
        before = (self._load_limit, self._domain_load_limits)
        entries = len(self.candidates_by_owner)
        self._load_limit = (
            _compute_load_limit(len(self.places), entries) if entries else 0
        )
        self._domain_load_limits = {
            domain: _compute_load_limit(
                self._domain_sizes[domain], len(domain_ranking.candidates)
            )
            for domain, domain_ranking in self.domain_rankings.items()
        }
        if self._load_limit != before[0]:
            self.full_owners = {
                owner
                for owner, owned in self.targets_by_owner.items()
                if len(owned) >= self._load_limit
            }
        return self._load_limit < before[0] or any(
            limit < before[1].get(domain, 0)
            for domain, limit in self._domain_load_limits.items()
        )

    def remove_service(self, name: str) -> None:
        """Remove a service and the choices for its targets."""
        for place in self.services.pop(name, ()):
            target = place.target.name
            self.clear_choice(target)
            self._first_choices.pop(target, None)
            self._domain_sizes[place.target.domain] -= 1
            self.places.pop(target, None)

    def add_service(
        self,
        name: str,
        places: Iterable[TargetPlace],
        present: Mapping[str, Owner | None],
    ) -> None:
        """Add a service whose targets stay with their current owners."""
        ordered = sorted(places, key=lambda place: place.target.name)
        self.services[name] = ordered
        for place in ordered:
            target = place.target.name
            self.places[target] = place
            self._domain_sizes[place.target.domain] += 1
            self.changed_targets.add(target)
            owner = present.get(target)
            if owner is not None and owner in self.candidates_by_owner:
                self.assign(place, self.candidates_by_owner[owner])

    def list_places(self, service: str) -> Sequence[TargetPlace]:
        """Return the targets of a service."""
        return self.services.get(service, ())

    def assign(self, place: TargetPlace, candidate: OwnerCandidate) -> None:
        """Choose an entry as the owner of a target."""
        owner = candidate.owner
        self.choices[place.target.name] = candidate
        owned = self.targets_by_owner[owner]
        owned[place.target.name] = place
        if len(owned) >= self._load_limit:
            self.full_owners.add(owner)

    def unassign(self, target: str, owner: Owner) -> None:
        """Remove a target from the entry that was chosen for it."""
        self.choices.pop(target)
        owned = self.targets_by_owner[owner]
        owned.pop(target, None)
        if len(owned) < self._load_limit:
            self.full_owners.discard(owner)

    def clear_choice(self, target: str) -> None:
        """Clear the choice for a target, if there is one."""
        choice = self.choices.get(target)
        if choice is not None:
            self.unassign(target, choice.owner)
            self.changed_targets.add(target)

    def compute_cost(
        self, place: TargetPlace, candidate: OwnerCandidate
    ) -> Cost:
        """Return the cost of assigning an unassigned target to a candidate.

        The parts, most significant first:

        - whether the candidate is at the load limit;
        - whether it is outside the target's domain;
        - the number of other replicas of the service that are owned in the
          candidate's domain, unless both targets are in that domain themselves;
        - the number of other replicas of the service with the same owner;
        - 2 if the candidate is at the load limit of its domain, plus 1 if it
          isn't the first choice.
        """
        is_in_target_domain = candidate.domain == place.target.domain
        same_domain = 0
        same_owner = 0
        for other_owner, target in self._list_other_replicas(place):
            if other_owner.domain == candidate.domain:
                is_in_own_domain = (
                    is_in_target_domain and other_owner.domain == target.domain
                )
                same_domain += int(not is_in_own_domain)
                same_owner += int(other_owner.owner == candidate.owner)
        load = len(self.targets_by_owner[candidate.owner])
        is_full = load >= self._domain_load_limits.get(candidate.domain, 0)
        is_first = candidate == self.get_first_choice(place)
        return (
            int(load >= self._load_limit),
            int(not is_in_target_domain),
            same_domain,
            same_owner,
            2 * int(is_full) + int(not is_first),
        )

    def get_first_choice(self, place: TargetPlace) -> OwnerCandidate:
        """Return the first choice for a target, regardless of loads."""
        first_choice = self._first_choices.get(place.target.name)
        if (
            first_choice is None
            or first_choice.owner not in self.candidates_by_owner
        ):
            self.find_first_choices(self.services[place.service_name])
            first_choice = self._first_choices[place.target.name]
        return first_choice

    def find_first_choices(self, places: Iterable[TargetPlace]) -> None:
        """Find the first choices for the targets of one service.

        The first choice is the entry with the highest score in the target's
        own domain, or of all entries if the domain has none. Replicas of one
        service in one domain get different entries as long as there are enough.
        """
        used_owners: set[Owner] = set()
        for place in places:
            domain_ranking = self.domain_rankings.get(
                place.target.domain, self.overall_ranking
            )
            first_choice = domain_ranking.get_highest(
                place.target.name, used_owners
            )
            used_owners.add(first_choice.owner)
            self._first_choices[place.target.name] = first_choice

    def _list_other_replicas(
        self,
        place: TargetPlace,
    ) -> Iterator[tuple[OwnerCandidate, Target]]:
        """Yield the other replicas of the service with their owners."""
        for target in place.service.targets:
            owner = self.choices.get(target.name)
            if owner is not None and target.name != place.target.name:
                yield owner, target
