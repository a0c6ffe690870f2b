import dataclasses
import queue
import socket
import time

import pytest

from shallotgate.generated.catalogue import Catalogue, Service
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    CancelAttempt,
    InstanceRecord,
    OwnerReport,
    SubscribeReports,
    Versions,
)
from shallotgate.membership import EMPTY_VIEW, TierView, list_places
from shallotgate.metrics import Metrics
from shallotgate.routing import (
    IndexMap,
    LatencyTracker,
    MailboxAttemptPort,
    ReportSubscriber,
    TargetObservations,
)
from shallotgate.routing.tests.builders import (
    make_ownership,
    make_state,
    make_target,
    make_version,
    wait_until,
)
from shallotgate.timers import TimerService
from shallotgate.transport import Mailbox


def free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class Local:
    def __init__(self):
        self.cancelled = []
        self.reported = []

    def states(self):
        return self.reported

    def submit(self, attempt, on_reply):
        on_reply(AttemptReply(attempt_id=attempt.attempt_id, status='ok'))

    def cancel(self, attempt_id):
        self.cancelled.append(attempt_id)


class Pair:
    """An entry with a port, and an owner that the test controls."""

    def __init__(self, limits='owner'):
        addresses = {name: free_address() for name in ('entry', 'owner')}
        self.entry, self.owner = (
            Mailbox(name, f'start-{name}', address)
            for name, address in addresses.items()
        )
        for box in (self.entry, self.owner):
            for name, address in addresses.items():
                box.set_address(name, address)
        self.view = TierView()
        self.observations = TargetObservations()
        self.index_map = IndexMap()
        self.metrics = Metrics()
        self.local = Local()
        self.timers = TimerService()
        self.port = MailboxAttemptPort(
            self.entry,
            self.local,
            self.view,
            self.observations,
            self.index_map,
            LatencyTracker(),
            self.metrics,
            limits,
        )
        self.subscriber = ReportSubscriber(
            self.entry, self.view, self.observations
        )
        self.received = queue.SimpleQueue()
        self.sink = queue.SimpleQueue()
        for kind in (Attempt, CancelAttempt, SubscribeReports):
            self.owner.subscribe(kind, self.received.put)
        self.port.start(self.timers)
        self.publish_owner('start-owner')
        self.timers.start()
        self.entry.start()
        self.owner.start()

    def publish_owner(self, start_id):
        target = make_target('t', 'x')
        service = Service(owner='o', group='g', targets=[target])
        catalogue = Catalogue(version=1, services={'s': service})
        record = InstanceRecord(
            instance='owner',
            start_id=start_id,
            domain='x',
            address='',
            roles=['entry'],
            readiness='ready',
        )
        ownership = make_ownership('t', 'owner')
        self.view.replace(
            dataclasses.replace(
                EMPTY_VIEW,
                catalogue=catalogue,
                ownership={'t': ownership},
                instances={'owner': record},
                places=list_places(catalogue),
                versions=Versions(catalogue=1),
            )
        )

    def submit(self, attempt_id='a-1', owner='owner', time_left_ms=5000):
        attempt = Attempt(
            attempt_id=attempt_id,
            request_id='a',
            target='t',
            epoch=1,
            group='g',
            service='s',
            partition=0,
            index_version=1,
            class_name='c',
            digest='d',
            body=b'{}',
            limit=10,
            time_left_ms=time_left_ms,
        )
        self.port.submit(owner, attempt, self.sink)
        return attempt

    def reply(self, attempt_id='a-1', **fields):
        self.owner.send(
            'entry', AttemptReply(attempt_id=attempt_id, status='ok', **fields)
        )

    def stop(self):
        self.timers.stop()
        self.entry.stop()
        self.owner.stop()


@pytest.fixture
def pair():
    made = Pair()
    yield made
    made.stop()


def test_each_attempt_gets_its_own_reply_once(pair):
    """Guards against swapped, duplicate and late replies."""
    for number in range(20):
        pair.submit(f'a-{number}')
    attempts = [pair.received.get(timeout=5).message for _ in range(20)]
    for attempt in reversed(attempts):
        pair.reply(attempt.attempt_id)
        pair.reply(attempt.attempt_id)
    replies = [pair.sink.get(timeout=5).attempt_id for _ in range(20)]
    assert replies == [attempt.attempt_id for attempt in reversed(attempts)]
    wait_until(
        lambda: (
            pair.metrics.get_counter('replies_dropped_total', reason='late')
            == 20
        )
    )
    assert pair.sink.empty()
    assert 'attempts_pending 0' in pair.metrics.render()
    assert pair.observations.record_for('t').in_flight == 0


def test_replies_and_reports_update_states(pair):
    """Guards against routing by outdated states."""
    pair.submit()
    pair.received.get(timeout=5)
    versions = [make_version(7, 1, [0])]
    pair.reply(state=make_state('t', versions=versions))
    pair.sink.get(timeout=5)
    assert pair.index_map.list_versions('g') == [7]
    report = OwnerReport(states=[make_state('t', draining=True)])
    pair.owner.send('entry', report)
    wait_until(lambda: pair.observations.record_for('t').is_unavailable())


def test_unsent_attempt_is_not_run(pair):
    """Guards against an unknown outcome of an attempt that was not sent."""
    pair.submit(owner='nobody')
    reply = pair.sink.get(timeout=5)
    assert (reply.status, reply.reason) == ('not_run', 'owner_unreachable')


def test_silence_after_sending_is_never_called_not_run(pair):
    """Guards against a refusal of an attempt that the owner may have run."""
    pair.submit('a-1', time_left_ms=100)
    pair.submit('a-2', time_left_ms=60_000)
    first = pair.sink.get(timeout=5)
    assert (first.attempt_id, first.status) == ('a-1', 'timeout')
    second = pair.sink.get(timeout=10)
    assert (second.status, second.reason) == ('lost', 'owner_silent')


def test_owner_without_replies_is_avoided(pair):
    """Guards against further attempts to an unreachable owner."""
    pair.submit()
    # Reports still arrive if only the direction towards the owner is cut.
    pair.owner.send('entry', OwnerReport(states=[make_state('t')]))
    wait_until(lambda: pair.observations.is_avoided('owner'))
    assert pair.observations.record_for('t').state is not None
    assert pair.port.is_silent('owner', time.monotonic() - 0.2)
    pair.reply()
    wait_until(lambda: not pair.observations.is_avoided('owner'))


def test_owner_without_a_lease_is_avoided(pair):
    """Guards against retries that all go to an owner without a lease."""
    pair.submit()
    pair.owner.send(
        'entry',
        AttemptReply(attempt_id='a-1', status='not_run', reason='no_lease'),
    )
    wait_until(lambda: pair.observations.is_avoided('owner'))


def test_restarted_owner_has_lost_its_attempts(pair):
    """Guards against waiting for an attempt that a restart has dropped."""
    pair.submit(time_left_ms=60_000)
    pair.received.get(timeout=5)
    pair.publish_owner('start-again')
    reply = pair.sink.get(timeout=1)
    assert (reply.status, reply.reason) == ('lost', 'owner_restarted')


def test_empty_session_table_loses_no_attempts(pair):
    """Guards against lost attempts when a new control leader is elected."""
    pair.submit()
    pair.received.get(timeout=5)
    view = pair.view.current()
    pair.view.replace(dataclasses.replace(view, instances={}))
    pair.reply()
    assert pair.sink.get(timeout=5).status == 'ok'


def test_reply_of_another_instance_is_dropped(pair):
    """Guards against replies from an instance other than the owner."""
    pair.submit()
    pair.received.get(timeout=5)
    delivery_of = AttemptReply(attempt_id='a-1', status='ok')
    pair.entry.send('entry', delivery_of)
    wait_until(
        lambda: pair.metrics.get_counter(
            'replies_dropped_total', reason='sender'
        )
    )
    assert pair.sink.empty()


def test_cancel_reaches_the_owner(pair):
    """Guards against superseded attempts that keep their slots."""
    attempt = pair.submit()
    pair.received.get(timeout=5)
    pair.port.cancel('owner', attempt)
    message = pair.received.get(timeout=5).message
    assert (message.attempt_id, message.target) == ('a-1', 't')


def test_own_targets_need_no_message():
    """Guards against messages for targets that this instance owns."""
    for limits, owner in (('owner', 'entry'), ('none', 'owner')):
        pair = Pair(limits)
        try:
            pair.submit(owner=owner)
            assert pair.sink.get(timeout=1).status == 'ok'
            assert pair.received.empty()
        finally:
            pair.stop()


def test_owners_are_asked_for_reports(pair):
    """Guards against missing reports of targets without attempts."""
    assert not pair.subscriber.has_all_reports()
    pair.subscriber.start(pair.timers)
    pair.subscriber.renew()
    message = pair.received.get(timeout=5).message
    assert isinstance(message, SubscribeReports)
    pair.owner.send('entry', OwnerReport(states=[make_state('t')]))
    wait_until(pair.subscriber.has_all_reports)


def test_own_targets_are_reported_without_messages(pair):
    """Guards against missing states of the targets of this instance."""
    pair.local.reported = [make_state('t')]
    wait_until(lambda: pair.observations.record_for('t').state is not None)
    assert pair.subscriber.has_all_reports()
