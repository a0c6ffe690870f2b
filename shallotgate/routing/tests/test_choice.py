import dataclasses
import random
from collections import Counter

import pytest

from shallotgate.generated.catalogue import Catalogue, Domain, Service
from shallotgate.generated.messages import Versions
from shallotgate.membership import TierView, View, list_places
from shallotgate.routing import (
    Budget,
    IndexMap,
    LatencyTracker,
    ReplicaChooser,
    TargetObservations,
)
from shallotgate.routing.tests.builders import (
    DOMAINS,
    SEED,
    Clock,
    make_ownership,
    make_state,
    make_target,
    make_version,
)


class Replicas:
    """One service with a replica in each of three domains."""

    def __init__(self, limits='owner', taken_out=()):
        self.clock = Clock()
        self.observations = TargetObservations(self.clock)
        self.index_map = IndexMap(self.clock)
        self.view = TierView()
        targets = [make_target(name, name) for name in DOMAINS]
        catalogue = Catalogue(
            version=1,
            services={'s': Service(owner='o', group='g', targets=targets)},
            domains={
                name: Domain(owner='o', region='r', taken_out=name in taken_out)
                for name in DOMAINS
            },
        )
        self.view.replace(
            View(
                catalogue=catalogue,
                ownership={},
                quarantine={},
                instances={},
                versions=Versions(catalogue=1),
                places=list_places(catalogue),
            )
        )
        self.own({name: 'held' for name in DOMAINS})
        for name in DOMAINS:
            self.report(name)
        print('seed', SEED)
        self.chooser = ReplicaChooser(
            self.observations,
            self.index_map,
            self.view,
            'e1',
            'x',
            limits,
            random.Random(SEED),
            self.clock,
        )

    def own(self, states):
        view = self.view.current()
        ownership = {
            name: make_ownership(name, 'e2', state)
            for name, state in states.items()
        }
        self.view.replace(dataclasses.replace(view, ownership=ownership))

    def report(self, target, **changes):
        self.observations.apply_state(make_state(target, **changes))
        version = make_version(1, 1, [0])
        self.index_map.update_target('g', target, [version])

    def usable(self):
        shard = self.chooser.read_route('g').shards[0]
        return {one.target for one in shard}

    def draw(self, number=300, **options):
        drawn = Counter()
        for _ in range(number):
            shard = self.chooser.read_route('g').shards[0]
            chosen = self.chooser.choose(shard, **options)
            drawn[chosen.target if chosen else None] += 1
        return drawn


def test_unusable_targets_are_never_chosen():
    """Guards against new work for targets that leave or have no owner."""
    replicas = Replicas()
    assert replicas.usable() == {'x', 'y', 'z'}
    replicas.report('x', draining=True)
    assert replicas.usable() == {'y', 'z'}
    replicas.report('x', lost=True)
    assert replicas.usable() == {'y', 'z'}
    replicas.report('x')
    replicas.own({'x': 'moving', 'y': 'held'})
    assert replicas.usable() == {'y'}
    assert Replicas(taken_out=['x', 'z']).usable() == {'y'}


def test_baselines_need_no_owner():
    """Guards against a bench baseline that finds no target."""
    replicas = Replicas(limits='split')
    replicas.own({})
    assert replicas.usable() == {'x', 'y', 'z'}
    assert replicas.chooser.read_route('g').members[0].owner == 'e1'


def test_near_target_goes_first_while_it_has_room():
    """Guards against needless hops, and against a near hot spot."""
    replicas = Replicas()
    assert replicas.draw() == {'x': 300}
    replicas.report('x', in_flight=3)
    drawn = replicas.draw()
    assert not drawn['x']
    assert min(drawn['y'], drawn['z']) > 60


def test_own_observation_goes_before_reports():
    """Guards against a slow near target whose report looks well."""
    replicas = Replicas()
    for _ in range(20):
        replicas.observations.note_sent('x')
        replicas.observations.note_reply('x', 'ok', 80.0)
    assert not replicas.draw()['x']
    # After a while without own measurements the report counts again.
    replicas.clock.now += 6
    for name in DOMAINS:
        replicas.report(name)
    assert replicas.draw()['x'] > 200


def test_cold_target_gets_only_a_little():
    """Guards against a target that is flooded when it has just started."""
    replicas = Replicas()
    replicas.report('x', cold=True, limit=1)
    drawn = replicas.draw()
    assert 0 < drawn['x'] < 100
    assert set(replicas.draw(warm_only=True)) == {'y', 'z'}
    # A cold target takes one more where the warm ones are full.
    for name in ('y', 'z'):
        replicas.report(name, in_flight=3)
    assert replicas.draw() == {'x': 300}
    replicas.observations.note_sent('x')
    assert not replicas.draw()['x']
    # Where all are cold, each may be used.
    for name in DOMAINS:
        replicas.report(name, cold=True, limit=1)
    assert None not in replicas.draw()


def test_reported_load_of_a_cold_target_is_done_soon():
    """Guards against a cold target that idles, and so stays cold."""
    replicas = Replicas()
    replicas.report('x', cold=True, limit=1, in_flight=1, latency_ms=60)
    for name in ('y', 'z'):
        replicas.report(name, in_flight=3, latency_ms=60)
    assert not replicas.draw()['x']
    replicas.clock.now += 0.07
    assert replicas.draw() == {'x': 300}


def test_reported_load_of_a_warm_target_lasts():
    """Guards against a rush to warm targets whose last report is old."""
    replicas = Replicas()
    replicas.report('x', in_flight=3, latency_ms=60)
    replicas.clock.now += 0.5
    assert not replicas.draw()['x']


def test_silent_owner_is_passed_over():
    """Guards against attempts to an owner that died without a word."""
    replicas = Replicas()
    replicas.clock.now += 4
    replicas.report('z')
    assert replicas.usable() == {'z'}


def test_refusing_owner_is_avoided_while_others_are_there():
    """Guards against a retry budget spent on one owner without a lease."""
    replicas = Replicas()
    view = replicas.view.current()
    other = dataclasses.replace(view.ownership['x'], instance='e3')
    ownership = {**view.ownership, 'x': other}
    replicas.view.replace(dataclasses.replace(view, ownership=ownership))
    replicas.observations.avoid_owner('e3')
    assert replicas.usable() == {'y', 'z'}
    replicas.observations.trust_owner('e3')
    assert replicas.usable() == {'x', 'y', 'z'}
    replicas.observations.avoid_owner('e3')
    replicas.clock.now += 1.1
    assert replicas.usable() == {'x', 'y', 'z'}
    for owner in ('e2', 'e3'):
        replicas.observations.avoid_owner(owner)
    assert replicas.usable() == {'x', 'y', 'z'}


def test_old_report_does_not_replace_a_newer_one():
    """Guards against a former owner that wakes up and reports."""
    observations = TargetObservations(Clock())
    assert observations.apply_state(make_state('x', epoch=2, draining=True))
    assert not observations.apply_state(make_state('x', epoch=1))
    assert observations.observe('x').is_barred()
    # A message of the same owner comes after those it sent before, even if
    # it was longer under way.
    assert observations.apply_state(make_state('x', epoch=2), age_s=1)
    assert not observations.observe('x').is_barred()


def test_newest_whole_version_is_chosen():
    """Guards against answers from a version that lacks partitions."""
    index_map = IndexMap()
    assert index_map.choose_version('g', ['a']) is None
    index_map.update_target(
        'g', 'a', [make_version(1, 2, [0, 1]), make_version(2, 2, [0])]
    )
    index_map.update_target('g', 'b', [make_version(2, 2, [1])])
    assert index_map.choose_version('g', ['a', 'b']).index_version == 2
    choice = index_map.choose_version('g', ['a'])
    assert (choice.index_version, choice.holders) == (1, (('a',), ('a',)))
    # Without any whole version, the one with the larger share is used.
    choice = index_map.choose_version('g', ['b'])
    assert (choice.index_version, choice.covered) == (2, 1)


def test_number_of_partitions_is_the_largest_told():
    """Guards against missing partitions that a target does not know of."""
    index_map = IndexMap()
    index_map.update_target('g', 'a', [make_version(1, 2, [0, 1, 7])])
    index_map.update_target('g', 'b', [make_version(1, 3, [])])
    choice = index_map.choose_version('g', ['a', 'b'])
    assert (len(choice.holders), choice.covered) == (3, 2)


def test_target_missing_for_long_loses_its_place():
    """Guards against a plan that counts on targets that are gone."""
    clock = Clock()
    index_map = IndexMap(clock)
    index_map.update_target('g', 'a', [make_version(1, 1, [0])])
    clock.now += 20
    index_map.update_target('g', 'b', [make_version(1, 1, [0])])
    clock.now += 11
    index_map.drop_missing()
    assert set(index_map.list_targets('g')) == {'b'}


def test_repeated_report_leaves_routes_alone():
    """Guards against routes that are made anew for each reply."""
    index_map = IndexMap()
    index_map.update_target('g', 'a', [make_version(1, 2, [0, 1])])
    before = index_map.revision
    index_map.update_target('g', 'a', (make_version(1, 2, (0, 1)),))
    assert index_map.revision == before
    index_map.update_target('g', 'a', [make_version(1, 2, [0])])
    assert index_map.revision > before


def test_group_without_partitions_is_told_apart():
    """Guards against a printing group that is taken for an unknown one."""
    index_map = IndexMap()
    index_map.update_target('g', 'a', [])
    choice = index_map.choose_version('g', ['a'])
    assert (choice.index_version, choice.holders) == (0, ())


@pytest.mark.parametrize('share', [0.05, 0.1])
def test_budget_holds_in_each_window(share):
    """Guards against extra load beyond the share in any 10 s."""
    clock = Clock()
    budget = Budget(share, clock=clock)
    rng = random.Random(SEED)
    attempts = []
    spent = []
    for _ in range(5000):
        clock.now += rng.expovariate(50)
        budget.note_attempts(1)
        attempts.append(clock.now)
        if budget.try_spend():
            spent.append(clock.now)
    for end in range(1020, 1100, 5):
        counted = [one for one in attempts if end - 10 <= one < end]
        used = [one for one in spent if end - 10 <= one < end]
        assert len(used) <= share * len(counted) * 1.25
    assert len(spent) >= share * len(attempts) * 0.9


def test_quiet_budget_permits_its_floor_only():
    """Guards against an entry that may never retry, or always."""
    clock = Clock()
    budget = Budget(0.1, floor=2, clock=clock)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    clock.now += 11
    assert budget.try_spend()
    assert not Budget(0, floor=2, clock=clock).try_spend()


def test_quantile_follows_the_last_seconds():
    """Guards against hedges timed by a latency of long ago."""
    clock = Clock()
    tracker = LatencyTracker(clock)
    for _ in range(1000):
        tracker.record('s', 10)
    assert tracker.quantile_ms('s', 0.95) == pytest.approx(10, rel=0.02)
    for _ in range(4):
        clock.now += 4
        for _ in range(50):
            tracker.record('s', 40)
    assert tracker.quantile_ms('s', 0.5) == pytest.approx(40, rel=0.02)
    clock.now += 60
    tracker.record('s', 1)
    assert tracker.quantile_ms('s', 0.95) is None
