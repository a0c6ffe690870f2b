"""Long-poll replies of the leader to entries."""

import queue
import time
import zlib

import pytest

from shallotgate.codec import encode_tagged
from shallotgate.generated.messages import (
    FollowTier,
    ListedTarget,
    ListingUpdate,
    ObservedReplies,
    PublishTable,
)
from shallotgate.registry import FollowerService, RegistryState
from shallotgate.target_limits import LimitBoard
from shallotgate.transport import Delivery

# Exceeds the long-poll timeout of the leader.
LIMIT_S = 5


class FakeMailbox:
    """Delivers messages to the service and records its replies."""

    instance = 'leader'

    def __init__(self):
        self.handlers = {}
        self.replies = queue.Queue()

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def reply(self, delivery, message):
        # Raises an error if the message cannot be sent.
        encode_tagged(message)
        self.replies.put((delivery.sender, message))

    def deliver(self, sender, message):
        delivery = Delivery(sender, 's', 'c', 0, message)
        self.handlers[type(message)](delivery)

    def wait_reply(self):
        return self.replies.get(timeout=LIMIT_S)


class FakeLog:
    """Log with settable leadership."""

    leader = 'other'

    def __init__(self):
        self.leads = True
        self.term = 1

    def get_leading_term(self):
        return self.term if self.leads else None

    def on_leadership(self, callback):
        """Ignore the callback."""


class FakeListing:
    """List with a settable change."""

    def __init__(self):
        self.update = None

    def subscribe(self, callback):
        """Ignore the callback."""

    def make_update(self, source, revision):
        return self.update


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
def listing():
    return FakeListing()


@pytest.fixture
def service(mailbox, state, log, listing):
    service = FollowerService(mailbox, log, state, listing, list, LimitBoard())
    service.start()
    yield service
    service.stop()


def follow(mailbox, sender, **fields):
    message = FollowTier(domain='a', domains_revision=0, **fields)
    mailbox.deliver(sender, message)


def sync_conditions(mailbox, sender):
    """Fetch the initial conditions for a follower; return their revision."""
    follow(mailbox, sender)
    return mailbox.wait_reply()[1].conditions.revision


def test_held_request_is_answered_when_the_table_changes(
    service, mailbox, state
):
    """Guards against a change that does not complete a pending request."""
    revision = sync_conditions(mailbox, 'entry')
    follow(mailbox, 'entry', conditions_revision=revision)
    time.sleep(0.2)
    assert mailbox.replies.empty()
    document = zlib.compress(b'table')
    command = PublishTable(version=3, document=document)
    state.apply(1, encode_tagged(command))
    sender, update = mailbox.wait_reply()
    assert (sender, update.table.version) == ('entry', 3)


def test_table_is_sent_despite_a_list_that_cannot_be(
    service, mailbox, state, listing
):
    """Guards against entries without a table because of one listed target."""
    revision = sync_conditions(mailbox, 'entry')
    target = ListedTarget(
        target='t', service='s', address='a:1', domain='a', slots=2**70
    )
    listing.update = ListingUpdate(
        source='l', revision=2, full=True, targets=[target]
    )
    follow(mailbox, 'entry', conditions_revision=revision)
    time.sleep(0.2)
    assert mailbox.replies.empty()
    command = PublishTable(version=3, document=zlib.compress(b'table'))
    state.apply(1, encode_tagged(command))
    update = mailbox.wait_reply()[1]
    assert (update.table.version, update.listing) == (3, None)
    # Without news, the entry is answered in time, but not over and over.
    follow(mailbox, 'entry', table_version=3, conditions_revision=revision)
    assert mailbox.wait_reply()[1].status == 'current'
    assert mailbox.replies.empty()


def test_entries_are_answered_despite_conditions_that_fail(
    service, mailbox, monkeypatch
):
    """Guards against a leader that no longer answers any entry."""
    sync_conditions(mailbox, 'entry')

    def fail(now):
        raise ZeroDivisionError

    monkeypatch.setattr(service._conditions, 'publish', fail)
    follow(mailbox, 'entry', table_version=-1)
    follow(mailbox, 'entry-2')
    assert mailbox.wait_reply()[1].status == 'current'


def test_request_without_changes_is_answered_after_the_timeout(
    service, mailbox
):
    """Guards against entries that take an idle leader for a lost one."""
    revision = sync_conditions(mailbox, 'entry')
    follow(mailbox, 'entry', conditions_revision=revision)
    update = mailbox.wait_reply()[1]
    assert update.status == 'current'
    assert update.conditions is None


def test_what_one_entry_saw_is_told_to_another(service, mailbox):
    """Guards against observations that the leader does not distribute."""
    revision = sync_conditions(mailbox, 'entry-2')
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


def test_new_leadership_begins_without_what_was_recorded(service, mailbox, log):
    """Guards against limits and conditions that another leader has replaced."""
    follow(mailbox, 'entry')
    mailbox.wait_reply()
    observed = ObservedReplies(
        targets=['t1'],
        replies=[5],
        slowness=[20],
        failures=[0],
        limited=['t2'],
        limits=[50],
    )
    mailbox.deliver('entry', observed)
    follow(mailbox, 'entry')
    update = mailbox.wait_reply()[1]
    assert update.conditions.targets == ['t1']
    assert update.limits.targets == ['t2']
    log.term = 3
    follow(
        mailbox,
        'entry',
        conditions_revision=update.conditions.revision,
        limits_revision=update.limits.revision,
    )
    update = mailbox.wait_reply()[1]
    assert update.conditions.targets == []
    assert update.limits is None


def test_member_that_does_not_lead_names_the_leader(service, mailbox, log):
    log.leads = False
    follow(mailbox, 'entry')
    update = mailbox.wait_reply()[1]
    assert (update.status, update.leader) == ('not_leader', 'other')
