import pytest

from shallotgate.generated.messages import (
    EndRollout,
    RecordVersions,
    StartRollout,
)
from shallotgate.rollouts import (
    RolloutRecords,
    VersionWatch,
    apply_command,
    make_rules,
)
from shallotgate.rollouts._versions import has_capacity
from shallotgate.rollouts.tests.simulation import list_targets

V1 = list_targets('v1')
V2 = list_targets('v2')
KNOWN = RolloutRecords(versions=(('s', 'v1'),))


@pytest.fixture
def watch():
    return VersionWatch()


def order(records, version='v2', state=None):
    command = StartRollout(service='s', target_version=version, duration_s=9)
    records, outcome = apply_command(records, 5, command)
    if state is not None:
        end = EndRollout(service='s', order=outcome.order, state=state)
        records, _ = apply_command(records, 6, end)
    return records


def describe(rules):
    return [(each.in_force, each.other, each.order) for each in rules]


def test_version_of_the_first_list_is_recorded(watch):
    assert watch.review(RolloutRecords(), V1, 0) == {'s': 'v1'}
    assert watch.review(KNOWN, V1, 0) == {}


def test_service_that_lists_several_versions_at_first_is_used_as_listed(watch):
    """Guards against leaving targets out that nobody replaces."""
    assert watch.review(RolloutRecords(), V1 + V2, 0) == {}
    assert make_rules(RolloutRecords(), V1 + V2) == []


def test_new_targets_beside_the_old_ones_wait_for_an_order(watch):
    """Guards against using a bad version before its order is acknowledged."""
    assert watch.review(KNOWN, V1 + V2, 0) == {}
    assert describe(make_rules(KNOWN, V1 + V2)) == [('v1', '', 0)]


def test_targets_that_are_replaced_one_by_one_are_used_as_listed(watch):
    """Guards against too few targets in deployments without rollouts."""
    watch.review(KNOWN, V1 + V2[:1], 0)
    changes = watch.review(KNOWN, V1[1:] + V2[:1], 1)
    assert changes == {'s': ''}
    command = RecordVersions(services=['s'], versions=[''])
    mixed, _ = apply_command(KNOWN, 7, command)
    assert make_rules(mixed, V1[1:] + V2[:1]) == []
    assert watch.review(mixed, V1[1:] + V2[:1], 2) == {}
    assert watch.review(mixed, V2, 3) == {'s': 'v2'}


def test_other_version_takes_over_if_the_old_targets_stay_away(watch):
    """Guards against refusals until someone orders what already happened."""
    assert watch.review(KNOWN, V2, 0) == {}
    assert watch.review(KNOWN, V2, 2) == {}
    assert watch.review(KNOWN, V1 + V2, 2.5) == {}
    assert watch.review(KNOWN, V2, 3) == {}
    assert watch.review(KNOWN, V2, 6.5) == {'s': 'v2'}


def test_version_that_was_rolled_back_never_takes_over(watch):
    records = order(KNOWN, state='rolled_back')
    assert watch.review(records, V2, 0) == {}
    assert watch.review(records, V2, 60) == {}
    assert describe(make_rules(records, V2)) == [('v1', 'v2', 0)]


def test_only_the_version_in_force_is_used_after_the_end():
    completed = order(KNOWN, state='completed')
    assert describe(make_rules(completed, V1 + V2)) == [('v2', '', 0)]


def test_running_order_is_told_with_both_versions(watch):
    records = order(KNOWN)
    assert describe(make_rules(records, V1 + V2)) == [('v1', 'v2', 5)]
    assert watch.review(records, V2, 0) == {}


def test_second_order_replaces_the_version_of_the_first():
    records = order(order(KNOWN, state='completed'), 'v3')
    assert describe(make_rules(records, V2)) == [('v2', 'v3', 5)]


def test_order_before_any_list_was_read_uses_all_but_the_candidate():
    """Guards against a service without targets while it is unknown."""
    records = order(RolloutRecords())
    assert describe(make_rules(records, V1 + V2)) == [('', 'v2', 5)]


def test_targets_without_a_version_are_used_as_listed(watch):
    assert watch.review(RolloutRecords(), list_targets(''), 0) == {}


@pytest.mark.parametrize(
    ('count', 'suffices'), [(0, False), (1, False), (2, True)]
)
def test_most_new_targets_must_be_there_before_they_take_over(count, suffices):
    assert has_capacity('s', 'v2', V1 + V2[:count]) == suffices
