"""Open connections that fall silent together, in both directions."""

import time

import pytest

from shallotgate.errors import CallTimeoutError
from shallotgate.generated.messages import Done, LiftQuarantine
from shallotgate.transport import Mailbox
from shallotgate.transport.tests.test_mailbox import free_port
from testkit.proxy import FaultProxy

MESSAGE = Done(changed=True)
ACKNOWLEDGING = LiftQuarantine(digest='d', operator='o', reason='r', time=0)
_CALL_TIMEOUT_S = 0.4
# A connection is replaced when nothing was acknowledged for 2 s; a call may
# have begun just before.
_DETECTION_S = 2.0 + 2 * _CALL_TIMEOUT_S
# A caller that waited in vain tells the peer, whose connection is replaced if
# it has carried nothing for 1 s.
_LOSS_S = 1.0 + 2 * _CALL_TIMEOUT_S


@pytest.fixture
def proxy():
    with FaultProxy() as proxy:
        yield proxy


@pytest.fixture
def mailboxes(proxy):
    """Return mailboxes that echo and reach each other through the proxy."""
    mailboxes = {}
    addresses = {}
    for name in 'abc':
        upstream = f'127.0.0.1:{free_port()}'
        mailboxes[name] = Mailbox(name, f's-{name}', upstream)
        addresses[name] = proxy.add_link(name, upstream)
    for mailbox in mailboxes.values():
        for name, address in addresses.items():
            mailbox.set_address(name, address)
        mailbox.subscribe(LiftQuarantine, lambda delivery: None)
        mailbox.subscribe(
            Done,
            lambda delivery, mailbox=mailbox: mailbox.reply(
                delivery, delivery.message
            ),
        )
        mailbox.start()
    yield mailboxes
    for mailbox in mailboxes.values():
        mailbox.stop()


def call(mailboxes, caller, peer, timeout_s=_CALL_TIMEOUT_S):
    return mailboxes[caller].call(peer, MESSAGE, timeout_s)


def prepare(mailboxes):
    """Let the caller acknowledge all that the peer has sent."""
    for _ in range(3):
        call(mailboxes, 'a', 'b', 5)
    mailboxes['a'].send('b', ACKNOWLEDGING)
    time.sleep(0.1)


def measure_recovery_s(mailboxes, caller, peer):
    """Call a peer until it answers and return how long that took."""
    started_at = time.monotonic()
    while True:
        try:
            call(mailboxes, caller, peer)
        except CallTimeoutError:
            assert time.monotonic() < started_at + 10
            continue
        return time.monotonic() - started_at


def test_both_directions_are_replaced_at_the_same_time(mailboxes, proxy):
    """Guards against time-outs of both sides that add up.

    The peer sent nothing on its own silent connection before the first call
    arrived on the caller's new one, so its time-out began only then.
    """
    prepare(mailboxes)
    for link in 'ab':
        proxy.silence(link)
    assert measure_recovery_s(mailboxes, 'a', 'b') < _DETECTION_S


def test_reply_connection_is_replaced_when_calls_are_in_vain(mailboxes, proxy):
    """Guards against replies that are lost while the calls still arrive."""
    prepare(mailboxes)
    proxy.silence('a')
    assert measure_recovery_s(mailboxes, 'a', 'b') < _LOSS_S


def test_idle_connections_are_replaced_with_a_silent_one(mailboxes, proxy):
    """Guards against finding out again at each peer that connections are dead.

    An entry that lost its leader asks the other members on connections that it
    has not used for long.
    """
    call(mailboxes, 'a', 'c', 5)
    call(mailboxes, 'a', 'b', 5)
    time.sleep(1)
    for link in 'abc':
        proxy.silence(link)
    measure_recovery_s(mailboxes, 'a', 'b')
    assert measure_recovery_s(mailboxes, 'a', 'c') < 2 * _CALL_TIMEOUT_S


def test_connection_that_carries_messages_is_kept(mailboxes, proxy):
    """Guards against replacing sound connections for the sake of a silent one.

    Slow links would lose what is on its way.
    """
    for peer in 'bc':
        call(mailboxes, 'a', peer, 5)
    proxy.silence('b')
    sockets = [mailboxes['a']._senders['c']._socket]
    deadline = time.monotonic() + _DETECTION_S
    while time.monotonic() < deadline:
        call(mailboxes, 'a', 'c', 5)
        mailboxes['a'].send('b', MESSAGE)
        time.sleep(0.1)
    sockets.append(mailboxes['a']._senders['c']._socket)
    assert sockets[0] is sockets[1]
