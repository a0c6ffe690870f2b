"""Replacement of connections whose messages do not arrive."""

import time

import msgspec
import pytest

from shallotgate.generated.messages import Done
from shallotgate.transport._acknowledgements import AcknowledgementTimer
from shallotgate.transport._envelope import decode_envelope
from shallotgate.transport.tests.test_mailbox import pair

__all__ = ('pair',)

MESSAGE = Done(changed=True)


@pytest.fixture
def timer():
    timer = AcknowledgementTimer()
    timer.record_sent(10, now=10)
    return timer


def test_hearing_the_peer_is_no_acknowledgement(timer):
    """Guards against a dead connection that is kept for the other one's sake.

    The peer is heard all the time and states an older message.
    """
    for now in range(11, 15):
        timer.record_acknowledged(9, now)
    assert timer.get_waiting_s(15) == pytest.approx(4)


def test_time_restarts_with_each_acknowledgement(timer):
    """Guards against a busy connection that never counts as alive."""
    timer.record_sent(11, now=11)
    timer.record_acknowledged(10, now=12)
    assert timer.get_waiting_s(13) == pytest.approx(1)


def test_idle_connection_does_not_wait(timer):
    """Guards against replacing connections that nothing is sent on."""
    timer.record_acknowledged(10, now=11)
    assert timer.get_waiting_s(1000) == 0
    timer.record_sent(1000, now=1000)
    assert timer.get_waiting_s(1001) == pytest.approx(1)


def test_new_connection_starts_without_open_messages(timer):
    """Guards against replacing the new connection for the old one's losses."""
    timer.record_replaced(now=11)
    assert timer.get_waiting_s(20) == 0


def test_acknowledgement_of_a_former_process_does_not_count(timer):
    """Guards against a machine whose clock started anew after a power loss."""
    timer.record_acknowledged(5000, now=11)
    assert timer.get_waiting_s(12) == pytest.approx(2)


def test_reply_acknowledges_the_call(pair):
    """Guards against replaced connections between processes that are well."""
    first, second = pair
    second.subscribe(
        Done, lambda delivery: second.reply(delivery, delivery.message)
    )
    for _ in range(3):
        first.call('b', MESSAGE, 5)
        timer = first._senders['b']._timer
        assert timer.get_waiting_s(time.monotonic() + 100) == 0


def test_message_of_an_older_build_acknowledges_all(pair):
    """Guards against replaced connections while builds are mixed."""
    first, _ = pair
    first.send('b', MESSAGE)
    fields = ('b', 's-b', 1.0, '', False, 'Done', MESSAGE)
    envelope, _ = decode_envelope(msgspec.msgpack.encode(fields))
    sender = first._senders['b']
    sender.record_acknowledged(envelope.acknowledged)
    assert sender._timer.get_waiting_s(time.monotonic() + 100) == 0
