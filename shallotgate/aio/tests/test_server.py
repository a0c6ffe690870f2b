"""Requests of callers over real sockets."""

import asyncio
import contextlib
import socket
import time

import pytest

from shallotgate.aio import (
    AsyncHttpServer,
    Response,
    ServerLimits,
    TotalLimits,
    confirm_caller,
)

LIMITS = ServerLimits(
    max_header_bytes=200,
    max_body_bytes=20,
    header_timeout_ms=300,
    idle_timeout_ms=300,
)
TOTALS = TotalLimits(max_bytes=10_000, progress_timeout_ms=700)


def find_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def play(script, handler=None):
    """Run a script against a server that answers with the path."""
    cancelled = []

    async def echo(request):
        if request.path == b'/slow':
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                cancelled.append(request.path)
                raise
        if request.path == b'/fail':
            raise ValueError('broken')
        return Response(200, request.path + b':' + request.body)

    async def run():
        port = find_port()
        server = AsyncHttpServer(
            f'127.0.0.1:{port}', echo, lambda: LIMITS, TOTALS
        )
        await server.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            return await script(reader, writer, server)
        finally:
            writer.close()
            await server.stop()

    return asyncio.run(run()), cancelled


def send(received):
    """Return all that the server answers to some bytes until it closes."""

    async def script(reader, writer, server):
        writer.write(received)
        return await asyncio.wait_for(reader.read(), 3)

    return play(script)[0]


CLOSE = b'Connection: close\r\n\r\n'


def test_pipelined_requests_are_answered_in_order():
    """Guards against crossed answers on one connection."""
    answer = send(
        b'GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n'
        + CLOSE,
    )
    assert [part[:2] for part in answer.split(b'\r\n\r\n')[1:]] == [
        b'/1',
        b'/2',
        b'/3',
    ]


def test_chunked_body_is_joined():
    answer = send(
        b'POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
        + CLOSE
        + b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
    )
    assert answer.endswith(b'/p:abc')


@pytest.mark.parametrize(
    ('received', 'status'),
    [
        (b'GET /' + b'x' * 300 + b' HTTP/1.1\r\n\r\n', b'431'),
        (b'GET / HTTP/1.1\r\nA: ' + b'x' * 300 + b'\r\n\r\n', b'431'),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\n' + b'x' * 30,
            b'413',
        ),
        (b'nonsense\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
        ),
    ],
)
def test_input_that_can_not_be_trusted_is_refused(received, status):
    """Guards against requests smuggled behind wrong framing."""
    assert send(received).split(b' ')[1] == status


def test_failing_handler_answers_500():
    assert b' 500 ' in send(b'GET /fail HTTP/1.1\r\n' + CLOSE)


def test_request_is_cancelled_when_its_caller_leaves():
    """Guards against work for callers that are gone."""

    async def script(reader, writer, server):
        writer.write(b'GET /slow HTTP/1.1\r\n\r\n')
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)

    assert play(script)[1] == [b'/slow']


@pytest.mark.parametrize('received', [b'', b'GET / HT'])
def test_silent_connection_is_closed(received):
    """Guards against connections that pile up."""
    assert send(received) == b''


def test_closing_server_finishes_what_it_has_begun():
    """Guards against answers that a planned stop cuts."""

    async def script(reader, writer, server):
        writer.write(b'GET /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx')
        await asyncio.sleep(0.05)
        server.close_idle()
        writer.write(b'y')
        return await asyncio.wait_for(reader.read(), 3)

    answer, _ = play(script)
    assert answer.endswith(b'/a:xy')
    assert b'Connection: close' in answer


def test_closing_server_answers_all_that_it_has_read():
    """Guards against pipelined requests that a planned stop drops."""

    async def script(reader, writer, server):
        server.disable_keep_alive()
        writer.write(
            b'GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n'
            b'GET /3 HTTP/1.1\r\n\r\n',
        )
        return await asyncio.wait_for(reader.read(), 3)

    answer, _ = play(script)
    assert [part[:2] for part in answer.split(b'\r\n\r\n')[1:]] == [
        b'/1',
        b'/2',
        b'/3',
    ]
    assert answer.count(b'Connection: close') == 1


def test_request_that_was_just_read_is_not_idle():
    """Guards against closing a connection between read and handling."""

    async def script(reader, writer, server):
        await asyncio.sleep(0.05)
        (connection,) = server.connections
        connection.data_received(b'GET /now HTTP/1.1\r\n\r\n')
        server.close_idle()
        return await asyncio.wait_for(reader.read(), 3)

    assert play(script)[0].endswith(b'/now:')


CHUNKED_POST = b'POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'GET /', b'p' * 1000),
        (b'GET /1 HTTP/1.1\r\n', b'n' * 1000),
        (b'GET /1 HTTP/1.1\r\nName: ', b'v' * 1000),
        (b'GET /1 HTTP/1.1\r\n', b'N: v\r\n' * 100),
        (CHUNKED_POST + b'1;', b'e' * 1000),
        (CHUNKED_POST + b'1\r\nb\r\n0\r\n', b'N: v\r\n' * 100),
        (CHUNKED_POST, b'1\r\nb\r\n' * 100),
        (b'', b'\r\n' * 100),
    ],
)
def test_endless_request_is_cut_at_its_limit(start, repeated):
    """Guards against callers that exhaust the memory of an entry."""
    sent = []

    async def script(reader, writer, server):
        writer.write(start)
        # Half of the time that a caller has for its headers.
        deadline = asyncio.get_running_loop().time() + 0.15
        with contextlib.suppress(ConnectionError):
            while asyncio.get_running_loop().time() < deadline:
                writer.write(repeated)
                sent.append(len(repeated))
                await writer.drain()
                await asyncio.sleep(0)
                if reader.at_eof():
                    return
        assert writer.transport.is_closing()

    play(script)
    assert sum(sent) < 1024 * 1024


@pytest.mark.parametrize('is_frozen', [False, True])
def test_request_of_a_caller_that_left_is_not_confirmed(is_frozen):
    """Guards against acting for a caller that left while the process stood.

    Its request and its close wait in the socket, or the timer of the handler
    is due before the close is read.
    """
    confirmed = []

    async def handle(request):
        if is_frozen:
            asyncio.get_running_loop().call_soon(time.sleep, 0.2)
        await confirm_caller()
        confirmed.append(request.path)
        return Response(200)

    async def run():
        port = find_port()
        server = AsyncHttpServer(f'127.0.0.1:{port}', handle)
        await server.start()
        with socket.create_connection(('127.0.0.1', port)) as caller:
            caller.sendall(b'GET /a HTTP/1.1\r\nHost: a\r\n\r\n')
        await asyncio.sleep(0.5)
        await server.stop()

    asyncio.run(run())
    assert not confirmed


def test_request_of_a_caller_that_waits_is_confirmed():
    async def handle(request):
        await confirm_caller()
        return Response(200)

    async def script(reader, writer, server):
        server.handler = handle
        writer.write(b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
        return await asyncio.wait_for(reader.read(), 3)

    assert play(script)[0].startswith(b'HTTP/1.1 200')


def test_body_may_take_longer_than_the_headers():
    """Guards against cutting large bodies on a link that all callers share."""

    async def script(reader, writer, server):
        writer.write(
            b'POST /p HTTP/1.1\r\nContent-Length: 2\r\n' + CLOSE + b'a'
        )
        await asyncio.sleep(0.6)
        writer.write(b'b')
        return await asyncio.wait_for(reader.read(), 3)

    assert play(script)[0].endswith(b'/p:ab')


def test_body_that_makes_no_progress_is_cut():
    """Guards against bodies that stop just short of their end."""
    assert send(b'POST /p HTTP/1.1\r\nContent-Length: 2\r\n\r\na') == b''


def test_request_beyond_the_bytes_of_all_is_refused_without_a_run():
    """Guards against a 503 for a request that runs nevertheless."""
    handled = []

    async def handle(request):
        handled.append(request.path)
        await asyncio.sleep(0.2)
        return Response(200)

    async def script(reader, writer, server):
        server.handler = handle
        small = b'POST /%d HTTP/1.1\r\nContent-Length: 20\r\n\r\n' + b'b' * 20
        # Each holds about 1,300 bytes.
        writer.write(b''.join(small % number for number in range(9)))
        writer.write(b'GET /last HTTP/1.1\r\n' + CLOSE)
        return await asyncio.wait_for(reader.read(), 5)

    answer = play(script)[0]
    statuses = [part[:3] for part in answer.split(b'HTTP/1.1 ')[1:]]
    assert statuses.count(b'503') == 10 - len(handled)
    assert 0 < len(handled) < 10
    assert answer.count(b'Retry-After') == 10 - len(handled)


def test_crowd_is_shed_and_an_ordinary_request_served():
    """Guards against silent connections that keep others out."""

    async def run():
        server = AsyncHttpServer(
            '127.0.0.1:0',
            lambda request: asyncio.sleep(0, Response(200)),
            totals=TotalLimits(max_connections=5),
        )
        await server.start()
        host, _, port = server.bound_address.rpartition(':')
        crowd = [
            await asyncio.open_connection(host, int(port)) for _ in range(9)
        ]
        await asyncio.sleep(0.3)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /a HTTP/1.1\r\n' + CLOSE)
        answer = await asyncio.wait_for(reader.read(), 3)
        refusal = await asyncio.wait_for(crowd[0][0].read(), 3)
        count = len(server.connections)
        for _, member in (*crowd, (reader, writer)):
            member.close()
        await server.stop()
        return answer, refusal, count

    answer, refusal, count = asyncio.run(run())
    assert answer.startswith(b'HTTP/1.1 200')
    assert refusal.startswith(b'HTTP/1.1 503')
    assert count <= 5


def test_answers_that_are_not_read_are_counted_and_end():
    """Guards against callers that never read, also while the kernel holds all.

    Nothing waits in the process then, but each connection still costs memory.
    """

    async def script(reader, writer, server):
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        writer.transport.pause_reading()
        server.handler = lambda request: asyncio.sleep(
            0, Response(200, b'a' * 500_000)
        )
        writer.write(b'GET /a HTTP/1.1\r\n\r\n')
        await asyncio.sleep(0.3)
        held = server.totals.held_bytes
        await asyncio.sleep(2)
        return held, len(server.connections), server.events['unread']

    held, connections, unread = play(script)[0]
    assert held > 100_000
    assert (connections, unread) == (0, 1)
