"""Replica selection for attempts."""

import random
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from shallotgate.membership import TargetPlace, TierView, View
from shallotgate.routing._candidate import Candidate
from shallotgate.routing._index_map import IndexMap
from shallotgate.routing._observations import TargetObservations
from shallotgate.routing._preference import leave_out, prefer

# Routes also change as reports become stale, without a new view.
_ROUTE_TTL_S = 1.0
# A quarantine has reached all instances 5 s after a target was lost.
_RECENT_LOSS_S = 5.0
# Probability that a cold target with free capacity is considered while a warm
# one has capacity too. At 0, a cold target would never warm up.
_COLD_PROBABILITY = 0.2
# A target in the local domain is not preferred if it is slower than the best
# one by this factor.
_LOCAL_LATENCY_FACTOR = 2.0


@dataclass(frozen=True)
class Route:
    """A group's index version and the usable targets of its partitions."""

    group: str
    # 0 if the group is not partitioned.
    index_version: int
    # Usable targets by partition number.
    shards: tuple[tuple[Candidate, ...], ...]
    # All usable targets of the group.
    candidates: tuple[Candidate, ...]
    # Targets lost so recently that the responsible request may not be
    # quarantined on all instances yet.
    recently_lost: tuple[str, ...] = ()

    @property
    def covered_partitions(self) -> int:
        """Return the number of partitions with a usable target."""
        return sum(1 for candidates in self.shards if candidates)


@dataclass(frozen=True, slots=True)
class _CachedRoute:
    """A cached route and the inputs it was built from."""

    view: View
    revisions: tuple[int, int]
    # Monotonic time.
    built_at: float
    route: Route

    def is_valid(
        self,
        view: View,
        revisions: tuple[int, int],
        now: float,
    ) -> bool:
        """Return whether the inputs are unchanged and the route is recent."""
        # Compared by identity: views are replaced as a whole, and comparing
        # their contents is slow.
        is_same = self.view is view and self.revisions == revisions
        return is_same and now - self.built_at < _ROUTE_TTL_S


class ReplicaChooser:
    """Chooses targets by local measurements, owner reports and the view."""

    def __init__(
        self,
        observations: TargetObservations,
        index_map: IndexMap,
        view: TierView,
        instance: str,
        domain: str,
        limits: str = 'owner',
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._observations = observations
        self._index_map = index_map
        self._view = view
        self._instance = instance
        self._domain = domain
        self._runs_locally = limits != 'owner'
        self._rng = rng or random.Random()  # noqa: S311
        self._clock = clock
        self._lock = threading.Lock()
        self._groups_view: View | None = None
        self._groups: Mapping[str, Sequence[TargetPlace]] = {}
        self._routes: dict[str, _CachedRoute] = {}

    def get_route(self, group: str) -> Route | None:
        """Return the current route of a group.

        Returns None if no target of the group has been reported.
        """
        view = self._view.current()
        revisions = (self._observations.revision, self._index_map.revision)
        now = self._clock()
        cached = self._routes.get(group)
        if cached is not None and cached.is_valid(view, revisions, now):
            return cached.route
        route = self._build_route(view, group, now)
        if route is not None:
            self._routes[group] = _CachedRoute(view, revisions, now, route)
        return route

    def choose(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str] = (),
        *,
        warm_only: bool = False,
    ) -> Candidate | None:
        """Choose a target for an attempt, or None if there is none.

        ``warm_only`` is set for hedges and restricts the choice to targets
        that are not cold and have free capacity.
        """
        now = self._clock()
        pool = leave_out(candidates, excluded)
        if warm_only:
            pool = [one for one in pool if _is_warm_with_room(one, now)]
        if not pool:
            return None
        if len(pool) == 1:
            return pool[0]
        return self._choose_from(self._filter_cold(pool, now), now)

    def _choose_from(
        self,
        pool: Sequence[Candidate],
        now: float,
    ) -> Candidate:
        estimates = [one.observation.estimate_ms(now) for one in pool]
        bound = _LOCAL_LATENCY_FACTOR * min(estimates)
        local_indexes = [
            index
            for index, one in enumerate(pool)
            if one.in_local_domain
            and estimates[index] <= bound
            and one.observation.has_room(now)
        ]
        if len(local_indexes) == 1:
            return pool[local_indexes[0]]
        numbers: Sequence[int] = local_indexes or range(len(pool))
        if len(numbers) > 2:
            numbers = self._rng.sample(numbers, 2)
        elif len(numbers) == 2 and self._rng.getrandbits(1):
            # min() returns the first of equal elements.
            numbers = (numbers[1], numbers[0])
        return pool[min(numbers, key=estimates.__getitem__)]

    def _filter_cold(
        self,
        pool: Sequence[Candidate],
        now: float,
    ) -> Sequence[Candidate]:
        if not any(one.observation.is_cold() for one in pool):
            return pool
        is_saturated = not any(_is_warm_with_room(one, now) for one in pool)
        allows_cold = is_saturated or self._rng.random() < _COLD_PROBABILITY
        return prefer(pool, lambda one: _is_acceptable(one, allows_cold, now))

    def _build_route(
        self,
        view: View,
        group: str,
        now: float,
    ) -> Route | None:
        usable = {}
        for place in self._list_group(view, group):
            candidate = self._make_candidate(view, place)
            if candidate is not None:
                usable[candidate.target] = candidate
        choice = self._index_map.choose_version(group, usable)
        if choice is None:
            return None
        shards = tuple(
            self._prefer_responsive([usable[name] for name in replicas], now)
            for replicas in choice.replicas
        )
        reported = frozenset(self._index_map.list_targets(group))
        oldest = now - _RECENT_LOSS_S
        candidates = [one for one in usable.values() if one.target in reported]
        return Route(
            group=group,
            index_version=choice.index_version,
            shards=shards,
            candidates=self._prefer_responsive(candidates, now),
            recently_lost=tuple(
                target
                for target in reported
                if self._observations.record_for(target).lost_at > oldest
            ),
        )

    def _prefer_responsive(
        self,
        candidates: Sequence[Candidate],
        now: float,
    ) -> tuple[Candidate, ...]:
        """Leave out targets of unresponsive owners if others remain."""
        responsive = prefer(
            candidates,
            lambda one: (
                not (
                    one.observation.is_stale(now)
                    or self._observations.is_avoided(one.owner)
                )
            ),
        )
        return tuple(responsive)

    def _list_group(self, view: View, group: str) -> Sequence[TargetPlace]:
        if self._groups_view is not view:
            groups = defaultdict(list)
            for place in view.places.values():
                groups[place.service.group].append(place)
            with self._lock:
                self._groups = groups
                self._groups_view = view
        return self._groups.get(group, ())

    def _make_candidate(
        self,
        view: View,
        place: TargetPlace,
    ) -> Candidate | None:
        target = place.target
        if view.is_taken_out(target.domain):
            return None
        observation = self._observations.record_for(target.name)
        if observation.is_unavailable():
            return None
        ownership = view.ownership.get(target.name)
        if self._runs_locally:
            owner = self._instance
        elif ownership is None or ownership.state != 'held':
            return None
        else:
            owner = ownership.instance
        return Candidate(
            target=target.name,
            service=place.service_name,
            owner=owner,
            epoch=ownership.epoch if ownership else 0,
            in_local_domain=target.domain == self._domain,
            observation=observation,
            domain=target.domain,
        )


def _is_acceptable(candidate: Candidate, allows_cold: bool, now: float) -> bool:
    observation = candidate.observation
    if not observation.is_cold():
        return True
    return allows_cold and observation.has_room(now)


def _is_warm_with_room(candidate: Candidate, now: float) -> bool:
    observation = candidate.observation
    return not observation.is_cold() and observation.has_room(now)
