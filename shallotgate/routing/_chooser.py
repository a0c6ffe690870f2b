"""Choice of a replica for each attempt."""

import random
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from shallotgate.membership import TargetPlace, TierView, View
from shallotgate.routing._candidate import Candidate
from shallotgate.routing._index import IndexMap
from shallotgate.routing._observations import TargetObservations
from shallotgate.routing._preference import leave_out, prefer

# Ageing of reports changes routes without a change of the view.
_ROUTE_VALID_S = 1.0
# Quarantine is in effect everywhere 5 s after a target was lost.
_LOST_RECENTLY_S = 5.0
# Share of choices in which a cold target with room is considered while a
# warm one has room too. Without any, a cold target would never warm up.
_COLD_SHARE = 0.2
# A near target slower than the best one by this factor is not preferred.
_NEAR_SLOWNESS = 2.0


@dataclass(frozen=True)
class Route:
    """A group's index version and the usable targets of its partitions."""

    group: str
    # 0 for a group without partitions.
    index_version: int
    # Usable targets by partition number.
    shards: tuple[tuple[Candidate, ...], ...]
    # All usable targets of the group.
    members: tuple[Candidate, ...]
    # Targets lost so recently that the request at fault may be unknown.
    lost: tuple[str, ...] = ()

    @property
    def covered(self) -> int:
        """Return the number of partitions with a usable target."""
        return sum(1 for candidates in self.shards if candidates)


@dataclass(frozen=True, slots=True)
class _KeptRoute:
    """A route and what it was made from."""

    view: View
    revisions: tuple[int, int]
    # Monotonic time.
    made_at: float
    route: Route

    def is_valid(
        self,
        view: View,
        revisions: tuple[int, int],
        now: float,
    ) -> bool:
        """Return whether the route would be the same if made again."""
        # Identity: views are swapped whole and slow to compare.
        is_same = self.view is view and self.revisions == revisions
        return is_same and now - self.made_at < _ROUTE_VALID_S


class ReplicaChooser:
    """Chooses targets by own observations, reports and the shared view."""

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
        self._is_local = limits != 'owner'
        self._rng = rng or random.Random()  # noqa: S311
        self._clock = clock
        self._lock = threading.Lock()
        self._groups_of: View | None = None
        self._groups: Mapping[str, Sequence[TargetPlace]] = {}
        self._routes: dict[str, _KeptRoute] = {}

    def read_route(self, group: str) -> Route | None:
        """Return the present route of a group.

        None if no target of the group is heard of.
        """
        view = self._view.current()
        revisions = (self._observations.revision, self._index_map.revision)
        now = self._clock()
        kept = self._routes.get(group)
        if kept is not None and kept.is_valid(view, revisions, now):
            return kept.route
        route = self._build_route(view, group, now)
        if route is not None:
            self._routes[group] = _KeptRoute(view, revisions, now, route)
        return route

    def choose(
        self,
        candidates: Sequence[Candidate],
        excluded: Collection[str] = (),
        *,
        warm_only: bool = False,
    ) -> Candidate | None:
        """Choose a target for an attempt, None if there is none.

        ``warm_only`` serves hedges: only targets that are not cold and have
        room for another attempt.
        """
        now = self._clock()
        pool = leave_out(candidates, excluded)
        if warm_only:
            pool = [one for one in pool if _is_free_and_warm(one, now)]
        if not pool:
            return None
        if len(pool) == 1:
            return pool[0]
        return self._choose_of_many(self._keep_warm(pool, now), now)

    def _choose_of_many(
        self,
        pool: Sequence[Candidate],
        now: float,
    ) -> Candidate:
        estimates = [one.observation.estimate_ms(now) for one in pool]
        bound = _NEAR_SLOWNESS * min(estimates)
        near = [
            index
            for index, one in enumerate(pool)
            if one.near
            and estimates[index] <= bound
            and one.observation.has_room(now)
        ]
        if len(near) == 1:
            return pool[near[0]]
        numbers: Sequence[int] = near or range(len(pool))
        if len(numbers) > 2:
            numbers = self._rng.sample(numbers, 2)
        elif len(numbers) == 2 and self._rng.getrandbits(1):
            # min() takes the first of equals.
            numbers = (numbers[1], numbers[0])
        return pool[min(numbers, key=estimates.__getitem__)]

    def _keep_warm(
        self,
        pool: Sequence[Candidate],
        now: float,
    ) -> Sequence[Candidate]:
        if not any(one.observation.is_cold() for one in pool):
            return pool
        is_tight = not any(_is_free_and_warm(one, now) for one in pool)
        is_drawn = is_tight or self._rng.random() < _COLD_SHARE
        return prefer(pool, lambda one: _is_bearable(one, is_drawn, now))

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
            self._prefer_responsive([usable[name] for name in holders], now)
            for holders in choice.holders
        )
        heard_of = frozenset(self._index_map.list_targets(group))
        oldest = now - _LOST_RECENTLY_S
        members = [one for one in usable.values() if one.target in heard_of]
        return Route(
            group=group,
            index_version=choice.index_version,
            shards=shards,
            members=self._prefer_responsive(members, now),
            lost=tuple(
                target
                for target in heard_of
                if self._observations.observe(target).lost_at > oldest
            ),
        )

    def _prefer_responsive(
        self,
        candidates: Sequence[Candidate],
        now: float,
    ) -> tuple[Candidate, ...]:
        """Leave out targets of silent or refusing owners if others remain."""
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
        if self._groups_of is not view:
            groups = defaultdict(list)
            for place in view.places.values():
                groups[place.service.group].append(place)
            with self._lock:
                self._groups = groups
                self._groups_of = view
        return self._groups.get(group, ())

    def _make_candidate(
        self,
        view: View,
        place: TargetPlace,
    ) -> Candidate | None:
        target = place.target
        if view.is_taken_out(target.domain):
            return None
        observation = self._observations.observe(target.name)
        if observation.is_barred():
            return None
        ownership = view.ownership.get(target.name)
        if self._is_local:
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
            near=target.domain == self._domain,
            observation=observation,
            domain=target.domain,
        )


def _is_bearable(candidate: Candidate, is_drawn: bool, now: float) -> bool:
    observation = candidate.observation
    if not observation.is_cold():
        return True
    return is_drawn and observation.has_room(now)


def _is_free_and_warm(candidate: Candidate, now: float) -> bool:
    observation = candidate.observation
    return not observation.is_cold() and observation.has_room(now)
