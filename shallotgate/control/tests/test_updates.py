import time
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.control._sessions import SessionTable
from shallotgate.control._updates import make_update
from shallotgate.generated.messages import (
    AdvanceTime,
    FetchState,
    GrantOwners,
    GrantTrial,
    Heartbeat,
    JudgeTrial,
    LiftQuarantine,
    MoveOwners,
    Owner,
    OwnerGrant,
    OwnerMove,
    ReportSuspects,
    Versions,
)
from shallotgate.membership import EMPTY_VIEW, list_places, update_view
from shallotgate.state.tests.builders import (
    NOW,
    Driver,
    domain,
    make_change,
    make_service,
    remove,
    target,
)
from shallotgate.transport import Delivery

DAY_S = 86400
NAMES = ('a', 'b', 'c', 'd')


class Tier:
    """A state, a session table and the leader's answers."""

    def __init__(self):
        self.driver = Driver()
        self.sessions = SessionTable(max_attempt_s=2)
        self.sessions.reset(time.monotonic())
        self.now = NOW
        self.tail = 0
        self.change(*(domain(name) for name in 'ab'))

    def change(self, *edits):
        self.tail += 1
        base = self.driver.state.read().versions.catalogue
        command = make_change(edits, base, str(self.tail), now=self.now)
        return self.driver.apply(command)

    def move(self, *targets):
        owners = self.driver.state.read().ownership
        moves = [
            OwnerMove(target=name, epoch=owners[name].epoch)
            for name in targets
            if name in owners
        ]
        self.driver.apply(MoveOwners(moves=moves, time=self.now))

    def grant(self, instance, *targets):
        owners = self.driver.state.read().ownership
        owner = Owner(instance=instance, start_id='s')
        grants = [
            OwnerGrant(
                target=name,
                epoch=owners[name].epoch if name in owners else 0,
                owner=owner,
            )
            for name in targets
        ]
        self.driver.apply(GrantOwners(grants=grants, time=self.now))

    def suspect(self, *digests):
        self.driver.apply(
            ReportSuspects(
                digests=digests,
                target='t',
                target_start_id=str(self.driver.index),
                time=self.now,
            )
        )

    def wait_a_day(self):
        self.now += DAY_S + 1
        self.driver.apply(AdvanceTime(time=self.now))

    def beat(self, instance, start_id='s', age_s=0):
        beat = Heartbeat(
            sequence=1,
            domain='a',
            address='127.0.0.1:1',
            roles=['entry'],
            readiness='ready',
            versions=Versions(),
            releases=(),
        )
        delivery = Delivery(instance, start_id, '', 0, None)
        self.sessions.renew(delivery, beat, time.monotonic() - age_s)

    def answer(self, versions, instances_version, whole=False):
        request = FetchState(
            versions=versions,
            instances_version=instances_version,
            whole=whole,
        )
        update = make_update(self.driver.state, self.sessions, request)
        return decode_tagged(encode_tagged(update))


class Follower:
    """A view that is brought up to date by updates."""

    def __init__(self, tier):
        self.tier = tier
        self.view = EMPTY_VIEW
        self.instances_version = 0

    def fetch(self):
        update = self.tier.answer(self.view.versions, self.instances_version)
        self.view = update_view(self.view, update, self.instances_version)
        self.instances_version = update.instances_version
        return update


def fetch_whole(tier):
    update = tier.answer(Versions(), 0, whole=True)
    return update_view(EMPTY_VIEW, update)


def call(name, *arguments):
    return st.tuples(st.just(name), *arguments).map(
        lambda parts: lambda tier: getattr(tier, parts[0])(*parts[1:])
    )


def spread(name, *arguments):
    names = st.lists(st.sampled_from(NAMES), min_size=1, max_size=3)
    return st.tuples(names, *arguments).map(
        lambda parts: lambda tier: getattr(tier, name)(*parts[1:], *parts[0])
    )


def trial(command_type, **fields):
    return st.sampled_from(NAMES).map(
        lambda digest: (
            lambda tier: tier.driver.apply(
                command_type(digest=digest, time=tier.now, **fields)
            )
        )
    )


TARGETS = st.lists(st.sampled_from(NAMES), min_size=1, max_size=2, unique=True)
SERVICES = st.builds(
    lambda name, targets, port: make_service(
        name,
        *(target(one, port + NAMES.index(one)) for one in targets),
    ),
    st.sampled_from(NAMES),
    TARGETS,
    st.sampled_from([1000, 2000]),
)
EDITS = st.lists(
    SERVICES
    | st.builds(domain, st.sampled_from(NAMES))
    | st.builds(
        remove,
        st.sampled_from(['services', 'domains']),
        st.sampled_from(NAMES),
    ),
    min_size=1,
    max_size=3,
)
INSTANCES = st.sampled_from(['e1', 'e2', 'e3'])
STEPS = st.one_of(
    EDITS.map(lambda edits: lambda tier: tier.change(*edits)),
    SERVICES.map(lambda edit: lambda tier: tier.change(edit)),
    spread('move'),
    spread('grant', st.sampled_from(['', 'e1', 'e2'])),
    spread('suspect'),
    trial(GrantTrial, holder='h', target='t'),
    trial(JudgeTrial, holder='h', lost=True),
    trial(JudgeTrial, holder='h', lost=False),
    trial(LiftQuarantine, operator='ada', reason='r'),
    call('wait_a_day'),
    call('beat', INSTANCES, st.sampled_from('st'), st.sampled_from([0, 10])),
    st.just(lambda tier: tier.driver.restart()),
    st.just(lambda tier: tier.sessions.reset(time.monotonic())),
)


@given(st.lists(st.tuples(STEPS, st.booleans()), max_size=40))
@settings(max_examples=300, deadline=None)
def test_view_by_differences_equals_the_whole(steps):
    """Guards against a difference that misses or invents a change."""
    tier = Tier()
    often = Follower(tier)
    seldom = Follower(tier)
    for step, is_fetched in steps:
        step(tier)
        often.fetch()
        assert often.view == fetch_whole(tier)
        if is_fetched:
            seldom.fetch()
    seldom.fetch()
    assert seldom.view == fetch_whole(tier)
    assert seldom.view.places == list_places(seldom.view.catalogue)


def test_only_changes_are_sent():
    """Guards against whole parts at every change, which don't scale."""
    tier = Tier()
    names = [f't{number}' for number in range(100)]
    tier.change(*(make_service(name, target(name, 1)) for name in names))
    tier.grant('e1', *names)
    tier.suspect(*names)
    for name in names:
        tier.beat(name)
    follower = Follower(tier)
    first = follower.fetch()
    assert first.catalogue is not None
    tier.change(make_service('t5', target('t5', 2)), remove('services', 't6'))
    tier.move('t7', 't8')
    tier.suspect('t9')
    tier.beat('t10', 'later')
    update = follower.fetch()
    whole = (
        update.catalogue,
        update.ownership,
        update.quarantine,
        update.instances,
    )
    assert whole == (None, None, None, None)
    assert {one.target for one in update.ownership_difference.put} == {
        't7',
        't8',
    }
    assert [one.digest for one in update.quarantine_difference.put] == ['t9']
    assert [one.instance for one in update.instances_difference.put] == ['t10']
    assert len(encode_tagged(update)) < len(encode_tagged(first)) / 10
    assert follower.view == fetch_whole(tier)


def test_large_difference_is_sent_whole():
    """Guards against a difference with more entries than the part."""
    tier = Tier()
    tier.grant('e1', 'a', 'b')
    follower = Follower(tier)
    follower.fetch()
    tier.move('a', 'b')
    update = follower.fetch()
    assert update.ownership_difference is None
    assert len(update.ownership) == 2


def test_request_for_the_whole_is_answered_whole():
    """Guards against a second difference after one that did not fit."""
    tier = Tier()
    names = [f't{number}' for number in range(9)]
    tier.grant('e1', *names)
    versions = tier.driver.state.read().versions
    tier.move('t1')
    known = replace(versions, catalogue=0)
    update = tier.answer(known, 0, whole=True)
    assert update.ownership_difference is None
    assert update.catalogue_difference is None
    assert len(update.ownership) == len(names)
