"""Rollouts at the leader, with a log that commits at once."""

import pytest

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.errors import NotLeaderError
from shallotgate.generated.messages import (
    AskExposure,
    EndRollout,
    ObservedRollout,
    StartRollout,
)
from shallotgate.registry import RegistryState, RolloutService
from shallotgate.registry.tests.fakes import FakeLog, FakeMailbox
from shallotgate.rollouts.tests.simulation import list_targets
from shallotgate.transport import Delivery


class CommittingLog(FakeLog):
    """Applies proposals to a state at once."""

    leads = True

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.is_failing = False
        self.commands = []

    def propose(self, command, timeout_s):
        if self.is_failing:
            raise NotLeaderError(None)
        self.index += 1
        self.commands.append(decode_tagged(command))
        return self.state.apply(self.index, command)


class FakeListing:
    def __init__(self):
        self.targets = tuple(list_targets('v1'))

    def list_targets(self):
        return self.targets


class Clock:
    now = 100.0

    def read(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(
        'shallotgate.registry._rollouts.time.monotonic', clock.read
    )
    return clock


@pytest.fixture
def state():
    return RegistryState()


@pytest.fixture
def log(state):
    return CommittingLog(state)


@pytest.fixture
def listing():
    return FakeListing()


@pytest.fixture
def mailbox():
    return FakeMailbox()


@pytest.fixture
def service(clock, mailbox, log, state, listing):
    service = RolloutService(mailbox, log, state, listing)
    service.review()
    return service


def order(log, version='v2', duration_s=30):
    command = StartRollout(
        service='s', target_version=version, duration_s=duration_s
    )
    return log.propose(encode_tagged(command), 1).order


def ask(mailbox, number, requests=50, **sums):
    fields = {'held': 0, 'exposed': 0, 'order': number}
    arrays = ('routes', 'targets', 'replies', 'failures', 'slow')
    fields.update({name: sums.get(name, []) for name in arrays})
    observed = ObservedRollout(requests=requests, **fields)
    question = AskExposure(number=7, source='e', rollouts=[observed])
    mailbox.handler(Delivery('entry', 's', 'c', 0, question))
    return mailbox.sent[-1][1].counts if mailbox.sent else None


def test_version_of_the_list_is_remembered_before_any_order(service, state):
    """Guards against an order whose previous version nobody knows."""
    assert state.read().rollouts.get_version('s') == 'v1'
    assert service.make_update(0) is None


def test_rules_are_equal_at_all_leaders(service, log, state, listing, clock):
    """Guards against rules that are sent again after each election."""
    order(log)
    update = service.make_update(0)
    assert service.make_update(update.revision) is None
    other = RolloutService(FakeMailbox(), log, state, listing)
    assert other.make_update(0) == update


def test_list_that_was_not_read_yet_changes_no_rule(service, log, listing):
    """Guards against a new leader that lets entries use a candidate."""
    order(log)
    listing.targets = None
    assert service.make_update(0) is None


def test_permits_are_granted_by_the_leader_only(service, log, mailbox):
    number = order(log)
    service.review()
    assert ask(mailbox, number) == [1]
    log.leads = False
    mailbox.sent.clear()
    assert ask(mailbox, number) is None


def test_permits_await_the_review_of_another_leadership(service, log, mailbox):
    """Guards against permits beside those of the former leader."""
    number = order(log)
    service.review()
    log.term += 1
    assert ask(mailbox, number) is None
    service.review()
    assert ask(mailbox, number) == [0]


def test_bad_version_gets_nothing_more_while_no_commit_succeeds(
    service, log, state, mailbox, clock
):
    """Guards against exposure that lasts until a majority is back."""
    number = order(log)
    service.review()
    sums = {
        'routes': ['r', 'r', 'r'],
        'targets': ['', 'v2-0', 'v2-1'],
        'replies': [100, 9, 9],
        'failures': [0, 9, 9],
        'slow': [0, 0, 0],
    }
    assert ask(mailbox, number, **sums) == [1]
    log.is_failing = True
    service.review()
    assert state.read().rollouts.find('s').is_running
    assert ask(mailbox, number, requests=200, **sums) == [0]
    log.is_failing = False
    service.review()
    assert state.read().rollouts.find('s').state == 'rolled_back'
    assert isinstance(log.commands[-1], EndRollout)
    assert (service.count_running(), service.count_ended('rolled_back')) == (
        0,
        1,
    )


def test_progress_is_recorded_every_second(service, log, state, clock):
    """Guards against a new leader that starts the time anew."""
    order(log)
    for _ in range(30):
        clock.now += 0.1
        service.review()
    rollout = state.read().rollouts.find('s')
    assert 2 <= rollout.elapsed_s <= 3
    assert len(log.commands) < 8
