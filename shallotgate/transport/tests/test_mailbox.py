import queue
import socket

import pytest

from shallotgate.errors import CallTimeoutError, PeerUnreachableError
from shallotgate.generated.messages import Done, LiftQuarantine
from shallotgate.transport import Mailbox


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


@pytest.fixture
def pair():
    addresses = {name: f'127.0.0.1:{free_port()}' for name in 'ab'}
    mailboxes = [Mailbox(name, f's-{name}', addresses[name]) for name in 'ab']
    for mailbox in mailboxes:
        for name, address in addresses.items():
            mailbox.set_address(name, address)
        mailbox.start()
    yield mailboxes
    for mailbox in mailboxes:
        mailbox.stop()


def test_call_returns_its_own_reply(pair):
    """Guards against replies that are delivered to another call."""
    first, second = pair

    def answer(delivery):
        second.reply(
            delivery, Done(changed=True, reason=delivery.message.reason)
        )

    second.subscribe(Done, answer)
    for number in range(50):
        reply = first.call('b', Done(changed=False, reason=str(number)), 5)
        assert reply.reason == str(number)


def test_messages_arrive_in_order(pair):
    """Guards against reordered messages on one connection."""
    first, second = pair
    received = queue.SimpleQueue()
    second.subscribe(Done, lambda delivery: received.put(delivery.message))
    for number in range(200):
        first.send('b', Done(changed=True, reason=str(number)))
    reasons = [received.get(timeout=5).reason for _ in range(200)]
    assert reasons == [str(number) for number in range(200)]


def test_call_without_handler_times_out(pair):
    """Guards against a call that never returns."""
    message = LiftQuarantine(digest='d', operator='o', reason='r', time=0)
    with pytest.raises(CallTimeoutError):
        pair[0].call('b', message, 0.1)


def test_send_to_unknown_peer_raises_an_error(pair):
    """Guards against silent loss of a message to an unknown peer."""
    with pytest.raises(PeerUnreachableError):
        pair[0].send('c', Done(changed=True))
