import pytest

from shallotgate.control._sessions import SessionTable
from shallotgate.generated.messages import (
    Heartbeat,
    Owner,
    Ownership,
    Release,
    Versions,
)
from shallotgate.transport import Delivery

OLD = Owner(instance='e1', start_id='s1')
NEW = Owner(instance='e1', start_id='s2')


@pytest.fixture
def table():
    table = SessionTable(max_attempt_s=2)
    table.reset(0)
    return table


def renew(table, now, owner=OLD, sequence=1, releases=(), readiness='ready'):
    delivery = Delivery(owner.instance, owner.start_id, '', 0, None)
    beat = Heartbeat(
        sequence=sequence,
        domain='a',
        address='127.0.0.1:1',
        roles=['entry'],
        readiness=readiness,
        versions=Versions(),
        releases=releases,
    )
    return table.renew(delivery, beat, now)


def test_overtaken_heartbeat_does_not_undo_a_newer_one(table):
    """Guards against an old readiness or release that comes last."""
    renew(table, 1, sequence=2, readiness='leaving')
    assert renew(table, 2, sequence=1)
    (session,) = table.take_snapshot(2).list_live()
    assert session.record.readiness == 'leaving'
    assert session.renewed_at == 2


@pytest.mark.parametrize('begin', [renew, SessionTable.reset])
def test_lease_is_counted_with_drift_or_from_the_election(table, begin):
    """Guards against taking over from a slower clock or an unheard owner."""
    begin(table, 10)
    assert not table.take_snapshot(14.07).is_lost(OLD)
    assert table.take_snapshot(14.09).is_lost(OLD)
    assert table.take_snapshot(16.11).may_hold(OLD)
    assert not table.take_snapshot(16.13).may_hold(OLD)


def test_later_start_supersedes_an_earlier_one(table):
    """Guards against two starts of one instance that both get a lease."""
    renew(table, 1)
    assert renew(table, 2, NEW)
    assert not renew(table, 2.5, OLD, sequence=2)
    view = table.take_snapshot(2.5)
    assert [session.owner for session in view.list_live()] == [NEW]
    # It may still have attempts from its lease.
    assert view.is_lost(OLD)
    assert view.may_hold(OLD)
    # Both go on: the earlier start never comes back by being forgotten.
    for tenth in range(26, 400):
        assert renew(table, tenth / 10, NEW, sequence=tenth)
        assert not renew(table, tenth / 10, OLD, sequence=tenth)
        table.take_snapshot(tenth / 10)


def test_delayed_heartbeat_of_a_dead_start_gives_way(table):
    """Guards against a live start that is refused for ever."""
    renew(table, 1, NEW)
    renew(table, 1.1, OLD)
    assert not renew(table, 2, NEW, sequence=2)
    assert renew(table, 6, NEW, sequence=3)


@pytest.mark.parametrize(
    ('epoch', 'state', 'released', 'is_valid'),
    [
        (5, 'moving', 5, True),
        # Released before it saw the move, which keeps the owner.
        (5, 'moving', 4, True),
        (5, 'moving', 3, False),
        (5, 'held', 5, True),
        # The target came back to it since.
        (5, 'held', 4, False),
    ],
)
def test_release_counts_for_its_epoch_only(
    table, epoch, state, released, is_valid
):
    """Guards against an old release that frees a target in use."""
    renew(table, 1, releases=[Release(target='t', epoch=released)])
    renew(table, 1, NEW)
    found = [
        table.take_snapshot(1).find_release(
            Ownership(target='t', **vars(owner), epoch=epoch, state=state)
        )
        for owner in (OLD, NEW)
    ]
    assert [release is not None for release in found] == [is_valid, False]


def test_version_rises_with_the_list_of_instances(table):
    """Guards against views that keep instances that have gone."""
    renew(table, 1)
    table.take_snapshot(1)
    first = table.version
    renew(table, 2, sequence=2)
    table.take_snapshot(2)
    assert table.version == first
    table.take_snapshot(7)
    assert table.version > first
    assert table.list_changes(0, 7).records == {}


def test_instances_changed_since_a_version_are_named(table):
    """Guards against differences that miss an instance or keep a lost one."""
    renew(table, 1)
    first = table.version
    renew(table, 4, Owner(instance='e2', start_id='s1'))
    second = table.version
    renew(table, 4.5, Owner(instance='e2', start_id='s1'), sequence=2)
    assert table.list_changes(second, 5).names == frozenset()
    # The lease of e1 ends without a call in between.
    listed = table.list_changes(first, 5.5)
    assert listed.names == {'e1', 'e2'}
    assert set(listed.records) == {'e2'}
    # An overtaken heartbeat shows that it lives.
    assert renew(table, 5.6, sequence=0)
    assert set(table.list_changes(0, 5.7).records) == {'e1', 'e2'}
    table.reset(6)
    assert table.list_changes(second, 6).names is None
