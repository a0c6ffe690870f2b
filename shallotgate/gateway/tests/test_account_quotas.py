"""Limits of accounts in the path of a request. No network is used."""

import asyncio
import dataclasses

import pytest

from shallotgate.account_limits import QuotaDecision
from shallotgate.gateway import _gateway
from shallotgate.routes import ClientAccount
from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual

ACCOUNT = ClientAccount('a', rate_per_s=10, burst=5)
ADMITTED = QuotaDecision(is_admitted=True, decided_by='leader')
REFUSED = QuotaDecision(
    is_admitted=False, decided_by='leader', retry_after_s=0.25
)


class Admission:
    """Answers with a decision after a time, and records what it gets."""

    def __init__(self, decision, delay_s=0.004):
        self.decision = decision
        self.delay_s = delay_s
        self.asked = []
        self.returned = []

    def request(self, account, callback):
        self.asked.append(account)
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, callback, self.decision)

    def give_back(self, account, admitted_at):
        self.returned.append(account)


@pytest.fixture(autouse=True)
def account(monkeypatch):
    """Account of all requests; stands for authentication."""
    make_call = _gateway.make_call
    accounts = [ACCOUNT]

    def make_call_of_account(*arguments):
        return dataclasses.replace(make_call(*arguments), account=accounts[0])

    monkeypatch.setattr(_gateway, 'make_call', make_call_of_account)
    return accounts


def play(admission, prepare=lambda entry: None, **fields):
    """Send one request; return entry and answer."""

    async def send():
        entry = SimulatedEntry(**{'shards': 1, **fields})
        entry.gateway.quotas.admission = admission
        prepare(entry)
        return entry, await entry.send_request('q')

    return run_virtual(send())


def count_received(entry):
    return sum(len(one.received_ids) for one in entry.list_all_targets())


def turn_away(entry):
    for target in entry.list_all_targets():
        target.is_not_run = True


def fail(entry):
    for target in entry.list_all_targets():
        target.drops_connection = True


@pytest.mark.parametrize('shards', [1, 4])
def test_request_above_the_limit_reaches_no_target(shards):
    """Guards against a 429 for a request that has run."""
    admission = Admission(REFUSED)
    entry, (response, duration_ms) = play(admission, shards=shards)
    assert response.status == 429
    assert duration_ms < 10
    assert count_received(entry) == 0
    assert not admission.returned


@pytest.mark.parametrize('shards', [1, 4])
def test_request_counts_once_and_keeps_its_place(shards):
    """Guards against a place for each shard, or one that is used twice."""
    admission = Admission(ADMITTED)
    _, (response, _) = play(admission, shards=shards)
    assert response.status == 200
    assert admission.asked == [ACCOUNT]
    assert not admission.returned


@pytest.mark.parametrize('shards', [1, 4])
def test_place_of_a_request_that_no_target_ran_is_returned(shards):
    """Guards against a quota that is used up by refused requests."""
    admission = Admission(ADMITTED)
    _, (response, _) = play(admission, turn_away, shards=shards)
    assert response.status == 503
    assert admission.returned == [ACCOUNT]


@pytest.mark.parametrize('shards', [1, 4])
def test_place_of_a_request_that_may_have_run_is_kept(shards):
    """Guards against more runs than the limit when targets fail."""
    admission = Admission(ADMITTED)
    _, (response, _) = play(admission, fail, shards=shards)
    assert response.status == 502
    assert not admission.returned


@pytest.mark.parametrize(('left_after_s', 'returned'), [(0.002, 1), (0.008, 0)])
def test_caller_that_leaves_returns_its_place_before_the_request_is_sent(
    left_after_s, returned
):
    """Guards against a limit that callers evade by leaving early."""

    async def leave():
        admission = Admission(ADMITTED)
        entry = SimulatedEntry(shards=1)
        entry.gateway.quotas.admission = admission
        asking = asyncio.ensure_future(entry.send_request('q'))
        await asyncio.sleep(left_after_s)
        asking.cancel()
        await asyncio.sleep(1)
        return len(admission.returned), count_received(entry)

    count, received = run_virtual(leave())
    assert (count, received) == (returned, 1 - returned)


@pytest.mark.parametrize(
    'unlimited', [None, ClientAccount('a'), ClientAccount('a', burst=5)]
)
def test_nothing_is_asked_without_a_limit(account, unlimited):
    """Guards against messages and waits in deployments without limits."""
    account[0] = unlimited
    admission = Admission(REFUSED)
    _, (response, _) = play(admission)
    assert response.status == 200
    assert not admission.asked


def test_entry_that_drains_uses_up_no_quota():
    """Guards against places for requests that a stopping entry refuses."""
    admission = Admission(ADMITTED)
    _, (response, _) = play(
        admission, lambda entry: entry.gateway.begin_drain(0)
    )
    assert response.status == 503
    assert not admission.asked
