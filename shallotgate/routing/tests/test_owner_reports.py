import pytest

from shallotgate.generated.catalogue import Catalogue, Service
from shallotgate.generated.messages import (
    OwnerReport,
    SubscribeReports,
    Versions,
)
from shallotgate.membership import EMPTY_VIEW, TierView, View, list_places
from shallotgate.metrics import Metrics
from shallotgate.routing import IndexMap, TargetObservations
from shallotgate.routing._observations import STATE_FRESH_S
from shallotgate.routing._owner_reports import OwnerReportReader
from shallotgate.routing.tests.builders import (
    Clock,
    make_state,
    make_target,
    make_version,
)
from shallotgate.transport import Delivery

VERSIONS = [make_version(7, 1, [0])]


class Outbox:
    def __init__(self):
        self.sent = []

    def send(self, peer, message):
        self.sent.append((peer, message))


class Entry:
    """A reader on a settable clock."""

    def __init__(self):
        self.clock = Clock()
        self.outbox = Outbox()
        self.view = TierView()
        self.observations = TargetObservations(self.clock)
        self.index_map = IndexMap(self.clock)
        self.reader = OwnerReportReader(
            self.outbox,
            self.view,
            self.observations,
            self.index_map,
            Metrics(),
            self.apply_states,
        )

    def apply_states(self, states, age_s):
        for state in states:
            self.observations.apply_state(state, age_s)
            self.index_map.update_target('g', state.target, state.versions)

    def list_in_catalogue(self, *names):
        service = Service(
            owner='o',
            group='g',
            targets=[make_target(name, 'x') for name in names],
        )
        catalogue = Catalogue(version=1, services={'s': service})
        self.view.replace(
            View(
                catalogue=catalogue,
                ownership=EMPTY_VIEW.ownership,
                quarantine=EMPTY_VIEW.quarantine,
                instances=EMPTY_VIEW.instances,
                versions=Versions(catalogue=1),
                places=list_places(catalogue),
            )
        )

    def hear(self, *states, owner='o1', start_id='s1', **fields):
        report = OwnerReport(states=states, **fields)
        self.reader.handle_report(Delivery(owner, start_id, '', 0, report))

    def is_stale(self, target):
        return self.observations.observe(target).is_stale(self.clock.now)


@pytest.fixture
def entry():
    entry = Entry()
    entry.list_in_catalogue('t', 'u')
    entry.hear(*(make_state(name, versions=VERSIONS) for name in 'tu'))
    return entry


def test_empty_reports_keep_states_fresh_and_silence_does_not(entry):
    """Guards against a silent owner that passes for an unchanged one."""
    for sequence in range(2, 50):
        entry.clock.now += 1
        entry.hear(sequence=sequence, full=False)
        entry.index_map.drop_missing()
    assert not entry.is_stale('t')
    assert entry.index_map.list_versions('g') == [7]
    entry.clock.now += STATE_FRESH_S + 1
    assert entry.is_stale('t')
    assert not entry.outbox.sent


def test_confirmation_settles_the_load(entry):
    """Guards against attempts that are counted as running for ever."""
    entry.observations.note_sent('t')
    entry.observations.note_reply('t', 'ok', 5)
    assert entry.observations.observe('t').read_load(entry.clock.now) == 1
    entry.hear(sequence=2, full=False)
    assert entry.observations.observe('t').read_load(entry.clock.now) == 0


@pytest.mark.parametrize('start_id', ['s1', 's2'])
def test_gap_is_repaired_by_a_full_report(entry, start_id):
    """Guards against states that stay wrong after a lost report."""
    entry.clock.now += STATE_FRESH_S + 1
    changed = make_state('u', limit=1)
    entry.hear(changed, sequence=3, full=False, start_id=start_id)
    assert entry.outbox.sent == [('o1', SubscribeReports(full=True))]
    # What it does say is true; of others nothing is known.
    assert not entry.is_stale('u')
    assert entry.is_stale('t')
    entry.hear(sequence=4, full=False, start_id=start_id)
    assert entry.is_stale('t')
    entry.hear(make_state('t'), changed, sequence=5, start_id=start_id)
    assert not entry.is_stale('t')
    entry.clock.now += STATE_FRESH_S + 1
    entry.hear(sequence=6, full=False, start_id=start_id)
    assert not entry.is_stale('t')
    assert len(entry.outbox.sent) == 2


def test_former_owner_confirms_nothing_of_the_new_one(entry):
    """Guards against a new owner's silence hidden by the former owner."""
    entry.observations.apply_state(make_state('t', epoch=3))
    entry.clock.now += STATE_FRESH_S + 1
    entry.hear(sequence=2, full=False)
    assert entry.is_stale('t')
    assert not entry.is_stale('u')
    entry.clock.now += STATE_FRESH_S + 1
    entry.hear(sequence=3, full=False, removed=['u'])
    assert entry.is_stale('u')


def test_forgotten_state_is_asked_for(entry):
    """Guards against a target that came back and is never reported."""
    entry.observations.forget(frozenset('u'))
    entry.hear(sequence=2, full=False)
    assert entry.outbox.sent == [('o1', SubscribeReports(full=True))]


def test_target_that_is_listed_late_gets_its_place():
    """Guards against an owner whose report outran the catalogue."""
    entry = Entry()
    entry.observations.apply_state(make_state('t', versions=VERSIONS))
    entry.hear(sequence=1)
    entry.reader._sources['o1'].epochs['t'] = 1
    entry.list_in_catalogue('t')
    entry.hear(sequence=2, full=False)
    assert entry.index_map.list_versions('g') == [7]
