"""Attempts of other instances, and the platform's list."""

import queue

import pytest

from shallotgate.generated.messages import (
    AttemptReply,
    CancelAttempt,
    OwnerReport,
    SubscribeReports,
)
from shallotgate.http import HttpServer, Response
from shallotgate.targets import OwnerServer, PlatformListPoller
from shallotgate.targets.tests.fakes import WAIT_S, Rig, wait_until
from shallotgate.transport import Delivery


class FakeMailbox:
    def __init__(self):
        self.handlers = {}
        self.sent = queue.SimpleQueue()

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, peer, message):
        self.sent.put((peer, message))

    def deliver(self, message, age_s=0, start_id='start-9'):
        self.handlers[type(message)](
            Delivery('entry-9', start_id, '', age_s, message)
        )

    def receive(self, message_type):
        while True:
            peer, message = self.sent.get(timeout=WAIT_S)
            if isinstance(message, message_type):
                assert peer == 'entry-9'
                return message


@pytest.fixture
def rig():
    rig = Rig()
    rig.mailbox = FakeMailbox()
    rig.server = OwnerServer(rig.mailbox, rig.owned, rig.timers)
    rig.server.start()
    yield rig
    rig.server.stop()
    rig.close()


def test_reply_is_sent_to_the_sender(rig):
    """Guards against replies to another instance."""
    attempt = rig.make_attempt()
    rig.mailbox.deliver(attempt, age_s=0.001)
    reply = rig.mailbox.receive(AttemptReply)
    assert (reply.attempt_id, reply.status) == (attempt.attempt_id, 'ok')


def test_delayed_attempt_is_refused_as_late(rig):
    """Guards against attempts for callers that no longer wait."""
    rig.mailbox.deliver(rig.make_attempt(time_left_ms=100), age_s=0.2)
    reply = rig.mailbox.receive(AttemptReply)
    assert (reply.status, reply.reason) == ('not_run', 'late')
    assert not rig.connector.started


def test_cancel_reaches_the_attempt(rig):
    """Guards against cancellations that do not reach the target."""
    rig.connector.may_reply.clear()
    attempt = rig.make_attempt()
    rig.mailbox.deliver(attempt)
    wait_until(lambda: rig.connector.running, 'the dispatch')
    rig.mailbox.deliver(
        CancelAttempt(attempt_id=attempt.attempt_id, target='t')
    )
    assert rig.mailbox.receive(AttemptReply).status == 'cancelled'


def test_subscribers_get_reports(rig):
    """Guards against entries without current versions and drains."""
    rig.mailbox.deliver(SubscribeReports())
    report = rig.mailbox.receive(OwnerReport)
    assert [state.target for state in report.states] == ['t']


def test_unchanged_reports_are_empty_until_the_entry_restarts(rig):
    """Guards against redundant reports and incomplete ones after a restart.

    A restarted entry must get a full report.
    """
    rig.mailbox.deliver(SubscribeReports())
    assert rig.mailbox.receive(OwnerReport).full
    report = rig.mailbox.receive(OwnerReport)
    assert (report.full, list(report.states)) == (False, [])
    rig.mailbox.deliver(SubscribeReports())
    assert not rig.mailbox.receive(OwnerReport).full
    rig.mailbox.deliver(SubscribeReports(), start_id='start-10')
    report = rig.mailbox.receive(OwnerReport)
    assert (report.full, len(report.states)) == (True, 1)
    rig.mailbox.deliver(SubscribeReports(full=True), start_id='start-10')
    assert rig.mailbox.receive(OwnerReport).full


class ListServer:
    def __init__(self):
        self.body = b''

    def handle(self, request):
        return Response(200 if self.body else 500, self.body)


def test_platform_list_is_polled_and_survives_errors():
    """Guards against a missing or invalid list that changes the state."""
    application = ListServer()
    server = HttpServer('127.0.0.1:0', application, 2, 1000)
    server.start()
    seen = []
    url = f'http://{server.address}/list'
    platform = PlatformListPoller(url, 0.01, lambda *names: seen.append(names))
    try:
        assert not platform.poll()
        application.body = b'{"instances": [{"name": 1}]}'
        assert not platform.poll()
        assert not seen
        application.body = (
            b'{"instances": [{"name": "a", "state": "live", "zone": 1},'
            b' {"name": 1}, {"name": "c", "state": "odd"}, 5,'
            b' {"name": "b", "state": "leaving"}]}'
        )
        platform.start()
        wait_until(lambda: seen, 'a poll')
        assert seen[0] == ({'a'}, {'b'})
    finally:
        platform.stop()
        server.stop()
