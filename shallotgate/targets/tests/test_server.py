"""Attempts from other instances and the platform's list."""

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

    def take(self, message_type):
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


def test_attempt_is_answered_to_its_sender(rig):
    """Guards against replies to another instance."""
    attempt = rig.make()
    rig.mailbox.deliver(attempt, age_s=0.001)
    reply = rig.mailbox.take(AttemptReply)
    assert (reply.attempt_id, reply.status) == (attempt.attempt_id, 'ok')


def test_attempt_that_was_held_up_is_dropped(rig):
    """Guards against work for callers who no longer wait."""
    rig.mailbox.deliver(rig.make(time_left_ms=100), age_s=0.2)
    reply = rig.mailbox.take(AttemptReply)
    assert (reply.status, reply.reason) == ('not_run', 'late')
    assert not rig.connector.started


def test_cancel_reaches_the_attempt(rig):
    """Guards against cancellations that stop at the owner."""
    rig.connector.hold.clear()
    attempt = rig.make()
    rig.mailbox.deliver(attempt)
    wait_until(lambda: rig.connector.running, 'the dispatch')
    rig.mailbox.deliver(
        CancelAttempt(attempt_id=attempt.attempt_id, target='t')
    )
    assert rig.mailbox.take(AttemptReply).status == 'cancelled'


def test_subscribers_get_reports(rig):
    """Guards against entries that don't learn of versions and drain."""
    rig.mailbox.deliver(SubscribeReports())
    report = rig.mailbox.take(OwnerReport)
    assert [state.target for state in report.states] == ['t']


def test_unchanged_reports_are_empty_until_the_entry_restarts(rig):
    """Guards against traffic without news and a restarted entry without."""
    rig.mailbox.deliver(SubscribeReports())
    assert rig.mailbox.take(OwnerReport).full
    report = rig.mailbox.take(OwnerReport)
    assert (report.full, list(report.states)) == (False, [])
    rig.mailbox.deliver(SubscribeReports())
    assert not rig.mailbox.take(OwnerReport).full
    rig.mailbox.deliver(SubscribeReports(), start_id='start-10')
    report = rig.mailbox.take(OwnerReport)
    assert (report.full, len(report.states)) == (True, 1)
    rig.mailbox.deliver(SubscribeReports(full=True), start_id='start-10')
    assert rig.mailbox.take(OwnerReport).full


class ListServer:
    def __init__(self):
        self.body = b''

    def handle(self, request):
        return Response(200 if self.body else 500, self.body)


def test_platform_list_yields_names_and_survives_faults():
    """Guards against a missing or broken list that changes the state."""
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
            b' {"name": "b", "state": "leaving"}]}'
        )
        platform.start()
        wait_until(lambda: seen, 'a poll')
        assert seen[0] == ({'a'}, {'b'})
    finally:
        platform.stop()
        server.stop()
