import asyncio

import pytest

from shallotgate.errors import CommitUnknownError
from shallotgate.generated.messages import DomainOutcome, StartRolloutOutcome
from shallotgate.registry import OperatorService, RolloutOrder


class FakeClient:
    """Commits commands and returns prepared outcomes, one after the other."""

    def __init__(self, outcomes, revision=4):
        self.outcomes = list(outcomes)
        self.revision = revision
        self.commands = []

    def get_domains_revision(self):
        return self.revision

    def get_rollout_order(self, service):
        return self.revision

    def commit(self, command, timeout_s):
        self.commands.append(command)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


async def confirm():
    """Confirm each caller."""


def set_domain(client, confirm_caller=confirm):
    service = OperatorService(client, codec=None)
    call = service.set_domain('a', is_out=False, confirm_caller=confirm_caller)
    return asyncio.run(call)


def test_order_states_the_revision_known_before_the_caller_was_seen():
    """Guards against an order that hides behind a change it can't know.

    The revision is read first: whatever the caller orders after it left, the
    leader has a newer one.
    """
    client = FakeClient([DomainOutcome(revision=9, accepted=True)])

    async def learn_of_a_newer_order():
        client.revision = 8

    result = set_domain(client, learn_of_a_newer_order)
    assert result.status == 'accepted'
    assert [command.base_revision for command in client.commands] == [4]


def test_order_of_a_caller_that_left_is_not_committed():
    """Guards against orders that waited at a frozen member.

    Their callers have had them accepted by another member since.
    """
    client = FakeClient([])

    async def cancel():
        raise asyncio.CancelledError

    with pytest.raises(asyncio.CancelledError):
        set_domain(client, cancel)
    assert not client.commands


def test_order_is_repeated_on_a_newer_revision_while_the_caller_waits():
    """Guards against refusals after changes that the member had not learnt."""
    client = FakeClient(
        [
            DomainOutcome(revision=7, accepted=False),
            DomainOutcome(revision=9, accepted=True),
        ]
    )
    confirmed = []

    async def count():
        confirmed.append(len(client.commands))

    assert set_domain(client, count).status == 'accepted'
    assert [command.base_revision for command in client.commands] == [4, 7]
    # The caller was seen before each attempt.
    assert confirmed == [0, 1]


def test_order_without_a_known_outcome_is_in_doubt():
    client = FakeClient([CommitUnknownError('no reply')])
    assert set_domain(client).status == 'in_doubt'


def test_order_that_is_late_already_is_not_committed(monkeypatch):
    """Guards against orders that are sent after a freeze of the member."""
    client = FakeClient([])
    times = iter([100.0, 104.0])
    monkeypatch.setattr(
        'shallotgate.registry._operators.time.monotonic', lambda: next(times)
    )
    service = OperatorService(client, codec=None)
    call = service.set_domain('a', is_out=True, confirm_caller=confirm)
    with pytest.raises(StopIteration):
        call.send(None)
    assert not client.commands


def start_rollout(client, duration_s=30.0):
    service = OperatorService(client, codec=None)
    order = RolloutOrder('s', 'v2', duration_s)
    call = service.start_rollout(order, confirm_caller=confirm)
    return asyncio.run(call).status


@pytest.mark.parametrize(
    ('outcome', 'status'),
    [
        ('started', 'accepted'),
        ('repeated', 'accepted'),
        ('in_progress', 'in_progress'),
    ],
)
def test_rollout_is_acknowledged_unless_another_one_runs(outcome, status):
    """Guards against refusing an order that is sent again."""
    outcomes = [StartRolloutOutcome(status=outcome, order=9)]
    assert start_rollout(FakeClient(outcomes)) == status


def test_rollout_is_repeated_on_a_newer_order_while_the_caller_waits():
    """Guards against an order that is dropped or undoes a later one."""
    client = FakeClient(
        [
            StartRolloutOutcome(status='outdated', order=7),
            StartRolloutOutcome(status='started', order=9),
        ]
    )
    assert start_rollout(client) == 'accepted'
    assert [command.base_order for command in client.commands] == [4, 7]


def test_rollout_without_a_usable_duration_is_not_committed():
    client = FakeClient([])
    assert start_rollout(client, 0) == 'faulty'
    assert start_rollout(client, float('nan')) == 'faulty'
    assert not client.commands


def test_rollout_without_a_known_outcome_is_in_doubt():
    assert start_rollout(FakeClient([CommitUnknownError('no')])) == 'in_doubt'
