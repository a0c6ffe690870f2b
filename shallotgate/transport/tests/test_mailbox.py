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
    boxes = [Mailbox(name, f's-{name}', addresses[name]) for name in 'ab']
    for box in boxes:
        for name, address in addresses.items():
            box.set_address(name, address)
        box.start()
    yield boxes
    for box in boxes:
        box.stop()


def test_call_returns_the_reply_of_its_own_call(pair):
    """Guards against replies that are handed to another call."""
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
    """Guards against reordering on one connection."""
    first, second = pair
    received = queue.SimpleQueue()
    second.subscribe(Done, lambda delivery: received.put(delivery.message))
    for number in range(200):
        first.send('b', Done(changed=True, reason=str(number)))
    reasons = [received.get(timeout=5).reason for _ in range(200)]
    assert reasons == [str(number) for number in range(200)]


def test_unhandled_call_times_out(pair):
    """Guards against a caller that waits for ever."""
    message = LiftQuarantine(digest='d', operator='o', reason='r', time=0)
    with pytest.raises(CallTimeoutError):
        pair[0].call('b', message, 0.1)


def test_unknown_peer_is_reported(pair):
    """Guards against silent loss of a message without a route."""
    with pytest.raises(PeerUnreachableError):
        pair[0].send('c', Done(changed=True))
