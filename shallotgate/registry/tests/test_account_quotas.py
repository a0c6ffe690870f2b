"""Answers of the leader about the limits of accounts."""

import asyncio
import zlib

import pytest

from shallotgate.errors import FindingsError
from shallotgate.generated.messages import (
    AskShares,
    PublishTable,
    ShareRequest,
)
from shallotgate.registry import QuotaService, RegistryState
from shallotgate.registry.tests.fakes import FakeLog, FakeMailbox
from shallotgate.routes import ClientAccount, RoutingTable
from shallotgate.transport import Delivery
from testkit.virtual import run_virtual


class Codec:
    """Reads a table whose document is the rate of its only account."""

    def decode_table(self, document):
        if document == b'damaged':
            raise FindingsError([])
        account = ClientAccount('a', rate_per_s=float(document))
        return RoutingTable(1, accounts=(account,))


class Tier:
    """A member, its table and an entry."""

    def __init__(self):
        self.mailbox = FakeMailbox()
        self.log = FakeLog()
        self.state = RegistryState()
        self.silent_share = 0.0
        self.service = QuotaService(
            self.mailbox,
            self.log,
            self.state,
            Codec(),
            lambda: self.silent_share,
        )
        self.publish(1, b'10')

    def publish(self, version, document):
        table = PublishTable(version=version, document=zlib.compress(document))
        self.state._publish(table)

    def lead(self):
        self.log.leads = True
        self.log.notify(True)

    def ask(self, waiting=100):
        request = ShareRequest(account='a', waiting=waiting)
        message = AskShares(number=7, requests=[request])
        self.mailbox.handler(Delivery('entry', 's', '', 0, message))
        return self.mailbox.sent[-1][1]


@pytest.fixture
def tier():
    return Tier()


def test_member_that_does_not_lead_decides_nothing(tier):
    """Guards against a refusal by a member that knows of no shares."""
    reply = tier.ask()
    assert (reply.number, reply.leading, reply.grants) == (7, False, [])


def test_leader_uses_the_limit_of_the_newest_table(tier):
    """Guards against grants at a limit that operators have changed."""

    async def play():
        tier.lead()
        first = tier.ask(waiting=0).grants[0]
        await asyncio.sleep(2)
        tier.publish(2, b'20')
        await asyncio.sleep(2)
        return first.places, tier.ask().grants[0].spacing_s

    assert run_virtual(play()) == (0, 0.05)


def test_unreadable_table_leaves_the_decision_to_the_entries(tier, caplog):
    """Guards against refusals for a fault in the leader."""

    async def play():
        tier.publish(2, b'damaged')
        tier.lead()
        return tier.ask().grants[0].decided

    assert not run_virtual(play())
    lines = [one for one in caplog.records if 'unknown' in one.message]
    assert [one.version for one in lines] == [2]
