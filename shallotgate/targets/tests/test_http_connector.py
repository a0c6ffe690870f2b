"""HTTP connector and owner tested with a stand-in process."""

import queue
import time

import msgspec
import pytest

from shallotgate.errors import (
    TargetConnectError,
    TargetError,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from shallotgate.generated.catalogue import Target
from shallotgate.http_client.tests.invalid_replies import INTERIM, INVALID
from shallotgate.http_client.tests.raw_server import ENDLESS, serve_bytes
from shallotgate.targets import HttpTargetConnector
from shallotgate.targets._http import HttpConnection, _read_report
from shallotgate.targets.tests.fakes import WAIT_S, Rig, wait_until
from testkit.standin import StandinProcess, make_matches

OPTIONS = ('--slots=3', '--service-ms=5', '--versions', '7:4:0,2')


@pytest.fixture
def standin():
    process = StandinProcess('t', OPTIONS)
    process.start()
    yield process
    process.stop()


@pytest.fixture
def rig(standin):
    rig = Rig(connector=HttpTargetConnector(), address=standin.address)
    yield rig
    rig.close()


def connect(standin):
    target = Target(
        name='t', address=standin.address, domain='d', slots=3, connections=9
    )
    return HttpTargetConnector().connect(target, 5)


def test_reply_contains_the_matches_of_the_target(standin, rig):
    """Guards against matches that are altered or lost."""
    reply = rig.run(body=b'{"item": "cheque-7"}', limit=1)
    expected = make_matches({'item': 'cheque-7'}, 7, 2)
    assert msgspec.json.decode(reply.matches) == expected[:1]
    assert reply.truncated
    assert (reply.index_version, reply.partition) == (7, 2)
    versions = reply.state.versions
    assert [list(version.held) for version in versions] == [[0, 2]]


@pytest.mark.parametrize(
    ('nonsense', 'error'),
    [
        ('garbage', TargetProtocolError),
        ('huge', TargetProtocolError),
        ('wrong_id', TargetProtocolError),
        ('wrong_version', TargetProtocolError),
        ('wrong_partition', TargetProtocolError),
        ('wrong_match', TargetProtocolError),
        ('drip', TargetTimeoutError),
        ('silent', TargetTimeoutError),
    ],
)
def test_invalid_reply_raises_an_error_in_time(standin, rig, nonsense, error):
    """Guards against invalid replies that block or break the owner."""
    connection = connect(standin)
    standin.change(nonsense=nonsense)
    begun = time.monotonic()
    with pytest.raises(error):
        connection.run(rig.make_attempt(), 0.5)
    assert time.monotonic() - begun < 2
    connection.close()


@pytest.mark.parametrize('is_slow', [False, True])
@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_reply_ends_in_time(kind, is_slow):
    """Guards against an owner's thread that reads for ever.

    A target in trouble sends bytes without end, in a head or a body.
    """
    start, repeated = ENDLESS[kind]
    begun = time.monotonic()
    repeated = repeated[:30] if is_slow else repeated
    with serve_bytes(start, repeated, is_slow) as server:
        target = Target(
            name='t', address=server.address, domain='d', slots=3, connections=9
        )
        with pytest.raises(TargetError):
            HttpTargetConnector().connect(target, 0.5)
    assert time.monotonic() - begun < 2


def test_invalid_reply_fails_only_its_own_attempt(standin, rig):
    """Guards against reuse of a connection after an invalid reply."""
    assert rig.run().status == 'ok'
    standin.change(nonsense='wrong_id')
    assert rig.run().reason == 'bad_reply'
    standin.change(nonsense='')
    assert rig.run().status == 'ok'


def test_errors_tell_whether_something_was_sent(standin, rig):
    """Guards against status "not run" for an attempt that was sent."""
    idle = connect(standin)
    sent = connect(standin)
    standin.change(crash_on_content=True)
    with pytest.raises(TargetLostError):
        sent.run(rig.make_attempt(body=b'{"crash": true}'), 5)
    wait_until(standin.has_exited, 'the crash')
    with pytest.raises(TargetConnectError):
        idle.run(rig.make_attempt(), 5)
    with pytest.raises(TargetError):
        connect(standin)


def test_nothing_is_sent_after_the_deadline(standin, rig):
    """Guards against an attempt that is sent after its deadline.

    The process may be suspended between the check of its lease and the write.
    When it resumes, the target may belong to another owner or be out of
    service.
    """
    connection = connect(standin)
    with pytest.raises(TargetConnectError):
        connection.run(rig.make_attempt(), 0)
    assert not standin.change()['counters'].get('ran')
    connection.close()


class CountingSocket:
    """Counts the writes to a socket."""

    def __init__(self, inner):
        self.inner = inner
        self.writes = 0

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def sendall(self, content):
        self.writes += 1
        self.inner.sendall(content)


def test_attempt_is_sent_in_one_write(standin, rig):
    """Guards against a request that is sent in two writes.

    If the process is suspended between them, the target already has the
    headers and runs the attempt when the body arrives, after the lease has
    expired.
    """
    connection = connect(standin)
    inner = connection._connection
    inner.sock = CountingSocket(inner.sock)
    assert connection.run(rig.make_attempt(), 5).status == 'ok'
    assert inner.sock.writes == 1
    connection.close()


def test_late_reply_is_never_delivered_to_another_attempt(standin, rig):
    """Guards against mismatched replies after timeouts and cancellations."""
    assert rig.run().status == 'ok'
    for number in range(30):
        standin.change(slow_factor=8)
        late, late_replies = rig.submit(time_left_ms=15)
        cancelled, _ = rig.submit()
        rig.owned.cancel(cancelled.attempt_id)
        standin.change(slow_factor=1)
        body = b'{"n": %d}' % number
        reply = rig.run(body=body)
        expected = make_matches({'n': number}, 7, 2)
        assert msgspec.json.decode(reply.matches) == expected
        assert late_replies.get(timeout=WAIT_S).attempt_id == late.attempt_id
        assert late_replies.empty()


def test_cancelling_stops_the_target(standin, rig):
    """Guards against cancelled attempts that still occupy a slot."""
    assert rig.run().status == 'ok'
    standin.change(service_ms=60_000)
    attempt, replies = rig.submit()
    wait_until(lambda: rig.state().in_flight, 'the dispatch')
    wait_until(
        lambda: attempt.request_id in standin.change()['ran_requests'],
        'the run',
    )
    rig.owned.cancel(attempt.attempt_id)
    assert replies.get(timeout=WAIT_S).status == 'cancelled'
    wait_until(
        lambda: standin.change()['counters'].get('cancelled') == 1,
        'the target to notice',
    )


def feed(rig, seconds, width):
    """Keep ``width`` attempts in flight; returns the reply statuses."""
    replies = queue.SimpleQueue()
    statuses = []
    pending = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until or pending:
        while pending < width and time.monotonic() < until:
            rig.owned.submit(rig.make_attempt(), replies.put)
            pending += 1
        statuses.append(replies.get(timeout=WAIT_S).status)
        pending -= 1
    return statuses


@pytest.fixture
def slow_standin():
    # The stand-in tolerates ten attempts of 80 ms in excess of its slots, as
    # the default one does with 20 ms; longer attempts reduce the effect of
    # scheduling noise.
    process = StandinProcess(
        't',
        [*OPTIONS, '--service-ms=20', '--overfeed-ms=800'],
    )
    process.start()
    yield process
    process.stop()


@pytest.mark.parametrize('turn', ['started', 'turned'])
def test_cold_target_under_load_does_not_collapse(slow_standin, turn):
    """Guards against overload of a cold target.

    The target is cold from its start or becomes cold later.
    """
    rig = Rig(connector=HttpTargetConnector(), address=slow_standin.address)
    try:
        check_cold_target(slow_standin, rig, turn)
    finally:
        rig.close()


def check_cold_target(standin, rig, turn):
    if turn == 'turned':
        wait_until(
            lambda: feed(rig, 0.1, 6) and not rig.state().cold,
            'a warm target',
        )
        assert rig.state().limit == 3
    standin.change(turn_cold_ms=2000)
    statuses = feed(rig, 3, 6)
    counters = standin.change()['counters']
    print(counters, len(statuses))
    assert not counters.get('collapses')
    assert set(statuses) == {'ok'}
    assert counters['most_busy'] <= 3
    wait_until(
        lambda: feed(rig, 0.1, 6) and not rig.state().cold,
        'a warm target',
    )


def test_crash_is_reported_and_the_target_restarts_cold(standin, rig):
    """Guards against a restarted target that is treated as warm."""
    wait_until(
        lambda: feed(rig, 0.1, 6) and not rig.state().cold, 'a warm target'
    )
    standin.change(crash_on_content=True)
    reply = rig.run(body=b'{"crash": true}', digest='poison')
    assert (reply.status, reply.reason) == ('lost', 'target_lost')
    command = rig.commands.proposed.get(timeout=WAIT_S)
    assert list(command.digests) == ['poison']
    standin.stop()
    standin.start()
    assert rig.run(digest='poison').reason in {'suspect', 'unreachable'}
    wait_until(lambda: rig.run().status == 'ok', 'the target')
    assert rig.state().limit == 1
    assert rig.run(digest='poison').reason == 'suspect'


def test_stall_fails_only_its_attempts(standin, rig):
    """Guards against suspects and endless waits after a stall."""
    assert rig.run().status == 'ok'
    standin.change(stall_ms=2500)
    begun = time.monotonic()
    assert rig.run(time_left_ms=200).status == 'timeout'
    assert time.monotonic() - begun < 2
    wait_until(lambda: rig.run().status == 'ok', 'the end of the stall')
    assert rig.commands.proposed.empty()


def test_connections_stay_within_what_the_limiter_needs(standin, rig):
    """Guards against connection storms."""
    feed(rig, 1, 12)
    counters = standin.change()['counters']
    # Three connections for attempts, one for reports and the one of this call.
    assert counters['most_connections'] <= 5


def test_log_names_the_target_that_is_unreachable(standin, rig, caplog):
    """Guards against the repr of a connection in the log message."""
    assert rig.run().status == 'ok'
    standin.stop()
    wait_until(lambda: rig.run().reason == 'unreachable', 'the refusal')
    (line,) = [text for text in caplog.messages if 'unreachable' in text]
    place = f'Target {rig.target.name} at {standin.address} unreachable: '
    assert place in line
    assert 'refused' in line
    assert '_MinimalHTTPConnection' not in line


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * 3000 + b']' * 3000,
        b'[{"index_version": %d, "partitions": 1, "held": []}]' % (2**70),
        b'[{"index_version": 1, "partitions": 1, "held": [%d]}]' % (2**70),
    ],
)
def test_odd_report_is_an_invalid_reply(odd):
    """Guards against a target whose numbers can't be sent to the entries.

    Reports of all targets of an owner are sent together.
    """
    report = (
        b'{"start_id": "s", "uptime_ms": 1, "draining": false, "busy": 0,'
        b' "versions": %s}' % odd
    )
    with pytest.raises(TargetProtocolError):
        _read_report(report)


@pytest.mark.parametrize('kind', INVALID)
def test_invalid_reply_is_a_fault_and_closes_the_connection(kind):
    """Guards against work whose outcome is read from an invalid reply."""
    with serve_bytes(INVALID[kind]) as server:
        host, _, port = server.address.rpartition(':')
        connection = HttpConnection(host, int(port))
        with pytest.raises(TargetProtocolError, match='invalid HTTP'):
            connection.open(1)
        with pytest.raises(TargetConnectError):
            connection.read_report(1)
        connection.close()


def test_interim_replies_are_skipped():
    reply = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'
    with serve_bytes(INTERIM + reply) as server:
        host, _, port = server.address.rpartition(':')
        connection = HttpConnection(host, int(port))
        with pytest.raises(TargetProtocolError, match='invalid report'):
            connection.open(1)
        connection.close()
