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
    confirm_caller,
)

LIMITS = ServerLimits(
    max_header_bytes=200,
    max_body_bytes=20,
    header_timeout_ms=300,
    idle_timeout_ms=300,
)


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
        server = AsyncHttpServer(f'127.0.0.1:{port}', echo, lambda: LIMITS)
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
