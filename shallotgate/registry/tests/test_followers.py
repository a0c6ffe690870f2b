"""Answers of the leader to entries that follow it."""

import queue
import time
import zlib

import pytest

from shallotgate.codec import encode_tagged
from shallotgate.generated.messages import (
    FollowTier,
    ObservedReplies,
    PublishTable,
)
from shallotgate.registry import FollowerService, RegistryState
from shallotgate.transport import Delivery

# Longer than the leader holds a request without news.
LIMIT_S = 5


class FakeMailbox:
    """Hands messages to the service and keeps its replies."""

    instance = 'leader'

    def __init__(self):
        self.handlers = {}
        self.replies = queue.Queue()

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def reply(self, delivery, message):
        self.replies.put((delivery.sender, message))

    def deliver(self, sender, message):
        delivery = Delivery(sender, 's', 'c', 0, message)
        self.handlers[type(message)](delivery)

    def wait_reply(self):
        return self.replies.get(timeout=LIMIT_S)


class FakeLog:
    """Log of a member that leads, or does not."""

    leader = 'other'

    def __init__(self):
        self.leads = True

    def is_leading(self):
        return self.leads

    def on_leadership(self, callback):
        """Take a callback that is never made."""


class FakeListing:
    """List without news."""

    def subscribe(self, callback):
        """Take a callback that is never made."""

    def make_update(self, source, revision):
        return None


@pytest.fixture
def mailbox():
    return FakeMailbox()


@pytest.fixture
def state():
    return RegistryState()


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def service(mailbox, state, log):
    service = FollowerService(mailbox, log, state, FakeListing(), list)
    service.start()
    yield service
    service.stop()


def follow(mailbox, sender, **fields):
    message = FollowTier(domain='a', domains_revision=0, **fields)
    mailbox.deliver(sender, message)


def settle(mailbox, sender):
    """Let a follower take up the first conditions; return their revision."""
    follow(mailbox, sender)
    return mailbox.wait_reply()[1].conditions.revision


def test_held_request_is_answered_when_the_table_changes(
    service, mailbox, state
):
    """Guards against news that a held request misses."""
    revision = settle(mailbox, 'entry')
    follow(mailbox, 'entry', conditions_revision=revision)
    time.sleep(0.2)
    assert mailbox.replies.empty()
    document = zlib.compress(b'table')
    command = PublishTable(version=3, document=document)
    state.apply(1, encode_tagged(command))
    sender, update = mailbox.wait_reply()
    assert (sender, update.table.version) == ('entry', 3)


def test_request_without_news_is_answered_after_a_while(service, mailbox):
    """Guards against entries that take a quiet leader for a lost one."""
    revision = settle(mailbox, 'entry')
    follow(mailbox, 'entry', conditions_revision=revision)
    update = mailbox.wait_reply()[1]
    assert update.status == 'current'
    assert update.conditions is None


def test_what_one_entry_saw_is_told_to_another(service, mailbox):
    """Guards against observations that stay with the leader."""
    revision = settle(mailbox, 'entry-2')
    follow(mailbox, 'entry-2', conditions_revision=revision)
    observed = ObservedReplies(
        targets=['t1'],
        replies=[5],
        slowness=[20],
        failures=[0],
    )
    mailbox.deliver('entry-1', observed)
    sender, update = mailbox.wait_reply()
    assert sender == 'entry-2'
    assert update.conditions.targets == ['t1']


def test_member_that_does_not_lead_names_the_leader(service, mailbox, log):
    log.leads = False
    follow(mailbox, 'entry')
    update = mailbox.wait_reply()[1]
    assert (update.status, update.leader) == ('not_leader', 'other')
