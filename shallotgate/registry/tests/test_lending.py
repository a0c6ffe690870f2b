"""Answers of the leader to entries that need more extra attempts."""

import time

from shallotgate.extras import ExtraAllowance, ExtraPool
from shallotgate.generated.messages import AskExtras, GrantExtras
from shallotgate.registry import ExtraLending
from shallotgate.transport import Delivery


class FakeMailbox:
    """Hands messages to the part and keeps what it sends."""

    def __init__(self):
        self.sent = []

    def subscribe(self, message_type, handler):
        self.handler = handler

    def send(self, peer, message):
        self.sent.append((peer, message))


class FakeLog:
    """Log of a member that leads, or does not."""

    leads = False

    def is_leading(self):
        return self.leads

    def on_leadership(self, callback):
        self.notify = callback


def test_only_a_leader_under_its_lease_lends():
    """Guards against two members that lend at a time."""
    mailbox, log = FakeMailbox(), FakeLog()
    pool = ExtraPool(ExtraAllowance(ratio=0.2, slack=1000, window_s=10))
    ExtraLending(mailbox, log, pool)
    ask = AskExtras(number=4, services=['s', 't'], counts=[2, 1])
    delivery = Delivery('entry', 'start', 'call', 0, ask)
    refused = ('entry', GrantExtras(number=4, counts=[0, 0]))

    mailbox.handler(delivery)
    assert mailbox.sent[-1] == refused
    log.notify(True)
    log.leads = True
    # A new leader lends 35 a second of a slack of 1000 in 10 s.
    time.sleep(0.2)
    mailbox.handler(delivery)
    lent = ('entry', GrantExtras(number=4, counts=[2, 1]))
    assert mailbox.sent[-1] == lent
    log.leads = False
    mailbox.handler(delivery)
    assert mailbox.sent[-1] == refused
    log.leads = True
    log.notify(False)
    mailbox.handler(delivery)
    assert mailbox.sent[-1] == refused
