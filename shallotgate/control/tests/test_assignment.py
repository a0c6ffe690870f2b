import math
from collections import Counter, defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.control._assignment import OwnerCandidate, assign_owners
from shallotgate.generated.catalogue import Service, Target
from shallotgate.generated.messages import Owner
from shallotgate.membership import TargetPlace

DOMAINS = 'abc'


def make_places(sizes, shift=0):
    places = {}
    for number, size in enumerate(sizes):
        targets = [
            Target(
                name=f's{number}t{position}',
                address='127.0.0.1:1',
                domain=DOMAINS[(position + shift * number) % 3],
                slots=3,
                connections=30,
            )
            for position in range(size)
        ]
        service = Service(owner='ada', group='g', targets=targets)
        for target in targets:
            places[target.name] = TargetPlace(f's{number}', service, target)
    return places


def make_candidates(numbers):
    return [
        OwnerCandidate(
            Owner(instance=f'e{number}', start_id='s'), DOMAINS[number % 3]
        )
        for number in numbers
    ]


SIZES = st.lists(st.integers(1, 5), min_size=1, max_size=12)
ENTRIES = st.sets(st.integers(0, 9), min_size=1).map(sorted)


@given(SIZES, ENTRIES, ENTRIES, st.integers(0, 1))
@settings(max_examples=200, deadline=None)
def test_assignment_settles_within_the_bound(sizes, before, after, shift):
    """Guards against moves without a cause and an entry that owns most."""
    places = make_places(sizes, shift)
    first = assign_owners(places, make_candidates(before), {})
    candidates = make_candidates(after)
    second = assign_owners(places, candidates, first)
    assert assign_owners(places, candidates, second) == second
    for chosen, entries in ((first, before), (second, after)):
        assert set(chosen) == set(places)
        average = len(places) / len(entries)
        # Rounded up, the average is the least that is possible.
        bound = max(average * 1.25, math.ceil(average))
        assert max(Counter(chosen.values()).values()) <= bound


@pytest.mark.parametrize(
    ('sizes', 'entries', 'different'),
    # In the second case no target is in the third domain, and the bound of 3
    # sends it two targets, which must not be of one service.
    [([3] * 25, range(9), 3), ([2] * 4, range(3), 2)],
)
def test_replicas_are_owned_from_different_domains(sizes, entries, different):
    """Guards against losing all owners of a service with one domain."""
    places = make_places(sizes)
    candidates = make_candidates(entries)
    chosen = assign_owners(places, candidates, {})
    domains = {entry.owner: entry.domain for entry in candidates}
    owned = defaultdict(set)
    for name, place in places.items():
        owned[place.service_name].add(domains[chosen[name]])
    assert {len(found) for found in owned.values()} == {different}


def test_restart_prefers_the_same_targets():
    """Guards against a reshuffle of all targets when an entry restarts."""
    places = make_places([3] * 25)
    before = make_candidates(range(8))
    chosen = assign_owners(places, before, {})
    after = [
        OwnerCandidate(Owner(instance='e0', start_id='s2'), 'a'),
        *before[1:],
    ]
    again = assign_owners(places, after, chosen)
    moved = [
        name for name in places if chosen[name].instance != again[name].instance
    ]
    assert len(moved) <= 2
