from collections import Counter, defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.control._assignment import Candidate, assign_owners
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
        Candidate(
            Owner(instance=f'e{number}', start_id='s'), DOMAINS[number % 3]
        )
        for number in numbers
    ]


SIZES = st.lists(st.integers(1, 5), min_size=1, max_size=12)
ENTRIES = st.sets(st.integers(0, 9), min_size=1).map(sorted)


@given(SIZES, ENTRIES, ENTRIES, st.integers(0, 1))
@settings(max_examples=200, deadline=None)
def test_assignment_settles(sizes, before, after, shift):
    """Guards against targets that move to and fro without a cause."""
    places = make_places(sizes, shift)
    first = assign_owners(places, make_candidates(before), {})
    assert set(first) == set(places)
    candidates = make_candidates(after)
    second = assign_owners(places, candidates, first)
    assert assign_owners(places, candidates, second) == second


@given(SIZES, ENTRIES, st.integers(0, 1))
@settings(max_examples=200, deadline=None)
def test_no_entry_owns_much_more_than_the_average(sizes, entries, shift):
    """Guards against one entry that owns most of the targets."""
    places = make_places(sizes, shift)
    chosen = assign_owners(places, make_candidates(entries), {})
    average = len(places) / len(entries)
    loads = Counter(chosen.values())
    # Where 1.25 times the average is no whole number below the average
    # rounded up, the latter is the least that works.
    assert max(loads.values()) <= max(
        average * 1.25, -(-len(places) // len(entries))
    )


def test_replicas_are_owned_from_their_own_domains():
    """Guards against losing all owners of a service with one domain."""
    places = make_places([3] * 25)
    candidates = make_candidates(range(9))
    chosen = assign_owners(places, candidates, {})
    domains = {entry.owner: entry.domain for entry in candidates}
    owned = defaultdict(set)
    for name, place in places.items():
        owned[place.service_name].add(domains[chosen[name]])
    assert all(len(found) == 3 for found in owned.values())


def test_restart_prefers_the_same_targets():
    """Guards against a reshuffle of all targets when an entry restarts."""
    places = make_places([3] * 25)
    before = make_candidates(range(8))
    chosen = assign_owners(places, before, {})
    after = [
        Candidate(Owner(instance='e0', start_id='s2'), 'a'),
        *before[1:],
    ]
    again = assign_owners(places, after, chosen)
    moved = [
        name for name in places if chosen[name].instance != again[name].instance
    ]
    assert len(moved) <= 2
