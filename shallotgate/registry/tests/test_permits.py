"""Answers of the leader about targets with a limit."""

import pytest

from shallotgate.generated.messages import AskPermits, PermitRequest
from shallotgate.registry import PermitService
from shallotgate.registry.tests.fakes import FakeLog, FakeMailbox
from shallotgate.target_limits import LimitBoard
from shallotgate.transport import Delivery
from testkit.virtual import run_virtual

REQUEST = PermitRequest(scope='s', priority=1, needed=1, choices=[['t']])


@pytest.fixture
def mailbox():
    return FakeMailbox()


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def limits():
    return LimitBoard()


@pytest.fixture
def service(mailbox, log, limits):
    return PermitService(mailbox, log, limits)


def ask(mailbox, number=1, limit=10.0, count=1):
    message = AskPermits(
        number=number, requests=[REQUEST] * count, limited=['t'], limits=[limit]
    )
    mailbox.handler(Delivery('entry', 's', '', 0, message))
    return mailbox.sent[-1][1]


def test_member_that_does_not_lead_decides_nothing(service, mailbox, limits):
    """Guards against a denial by a member that knows of no limits."""
    reply = ask(mailbox)
    assert (reply.number, reply.leading, reply.granted) == (1, False, [])
    assert limits.list_limits(0) == {}


def test_new_leader_learns_limits_from_the_question(service, mailbox, log):
    """Guards against a leader that grants freely until it knows a limit."""

    async def play():
        log.leads = True
        log.notify(True)
        return [ask(mailbox, number, count=30) for number in range(2)]

    first, second = run_virtual(play())
    assert first.leading
    assert sum(one == [0] for one in first.granted + second.granted) == 0


def test_former_leader_grants_nothing(service, mailbox, log):
    """Guards against two members that grant one limit."""
    log.leads = True
    log.notify(True)
    log.leads = False
    assert not ask(mailbox).leading
