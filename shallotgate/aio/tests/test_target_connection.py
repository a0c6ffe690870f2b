"""Replies that are late, extra, cut or unframed, over real sockets."""

import asyncio
import socket
import struct

import pytest

from shallotgate.aio import TargetConnection
from shallotgate.errors import (
    TargetConnectError,
    TargetError,
    TargetProtocolError,
)
from shallotgate.http_client.tests.invalid_replies import INTERIM, INVALID

OWN = b'HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok'
OTHER = b'HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad'


def matches_request(headers):
    return (b'Id', b'2') not in headers


def exchange(*chunks, requests=1, reset=False):
    """Return the results of requests to a target that writes chunks."""
    finished = asyncio.Event()

    async def answer(reader, writer):
        try:
            await write_chunks(reader, writer)
        finally:
            finished.set()

    async def write_chunks(reader, writer):
        await reader.read(100)
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        if reset:
            # Closing without lingering sends a reset.
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                struct.pack('ii', 1, 0),
            )
            writer.transport.abort()
        else:
            writer.close()

    async def play():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        connection = await TargetConnection.open(
            f'127.0.0.1:{port}', 1, lambda _: None
        )
        try:
            future = connection.send(
                b'x', lambda headers: (b'Id', b'2') not in headers
            )
            reply = await asyncio.wait_for(future, 2)
            await asyncio.sleep(0.05)
            return reply, connection.is_usable
        finally:
            connection.close()
            # A writer that outlives the event loop can't close any more.
            await asyncio.wait_for(finished.wait(), 2)
            server.close()

    return asyncio.run(play())


def test_whole_reply_is_taken():
    reply, _ = exchange(OWN)
    assert (reply.status, reply.body) == (200, b'ok')


def test_idle_timeout_without_end_is_ignored():
    """Guards against a reply that is lost because of one odd header."""
    head, _, rest = OWN.partition(b'\r\n')
    keep_alive = b'Keep-Alive: timeout=' + b'9' * 5000
    reply, _ = exchange(b'\r\n'.join((head, keep_alive, rest)))
    assert reply.status == 200


def test_reply_in_pieces_is_taken():
    reply, _ = exchange(OWN[:20], OWN[20:-1], OWN[-1:])
    assert reply.body == b'ok'


def test_late_reply_to_another_request_is_skipped():
    """Guards against answers that belong to another request."""
    reply, is_usable = exchange(OTHER, OWN)
    assert reply.body == b'ok'
    assert not is_usable


def test_bytes_after_the_reply_end_the_link():
    """Guards against extra bytes that are read as the next reply."""
    reply, is_usable = exchange(OWN + OTHER)
    assert reply.body == b'ok'
    assert not is_usable


def test_bytes_between_replies_end_the_link():
    _, is_usable = exchange(OWN, OTHER)
    assert not is_usable


def test_unframed_reply_ends_with_its_connection():
    reply, _ = exchange(b'HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall', b' of it')
    assert reply.body == b'all of it'


@pytest.mark.parametrize(
    ('chunks', 'reset'),
    [
        ([b'HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall', b' of it'], True),
        ([OWN[:-1]], False),
        ([OWN[:15]], False),
        ([b'not a reply\r\n\r\n'], False),
        ([OTHER], False),
        (
            [
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n',
            ],
            False,
        ),
        ([], False),
    ],
)
def test_incomplete_reply_fails(chunks, reset):
    """Guards against cut replies that look whole."""
    with pytest.raises(TargetError):
        exchange(*chunks, reset=reset)


def test_refused_connection_is_told_apart():
    """Guards against "may have run" for what was never sent."""

    async def play():
        server = await asyncio.start_server(print, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        await TargetConnection.open(f'127.0.0.1:{port}', 1, lambda _: None)

    with pytest.raises(TargetConnectError):
        asyncio.run(play())


@pytest.mark.parametrize('kind', INVALID)
def test_invalid_reply_fails_at_once_and_ends_the_connection(kind):
    """Guards against a caller that gets status 000 from a faulty target."""

    async def play():
        # Never closes by itself, so that only the reply can end the attempt.
        async def answer(reader, writer):
            await reader.read(100)
            writer.write(INVALID[kind])
            assert not await reader.read(100)
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        connection = await TargetConnection.open(
            f'127.0.0.1:{port}', 1, lambda _: None
        )
        try:
            with pytest.raises(TargetProtocolError):
                await asyncio.wait_for(
                    connection.send(b'x', matches_request), 2
                )
            assert not connection.is_usable
        finally:
            connection.close()
            await asyncio.sleep(0.05)
            server.close()

    asyncio.run(play())


def test_interim_replies_are_skipped():
    reply, _ = exchange(INTERIM + OWN)
    assert (reply.status, reply.body) == (200, b'ok')
