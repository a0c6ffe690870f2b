"""Replies without end, and replies that are cut at any byte."""

import asyncio
import contextlib
import socket
import struct
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.aio import ReplyBuffer, ReplyLimits, TargetConnection
from shallotgate.errors import ReplyLimitError, TargetError

BUFFER = ReplyBuffer(max_bytes=48 * 1024)
LIMITS = ReplyLimits(
    max_body_bytes=32 * 1024,
    max_head_bytes=16 * 1024,
    buffer=BUFFER,
)
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'
# What a target sends first, and what it repeats until it is disconnected.
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'O' * 1000),
    'header lines': (STATUS, b'Name: value\r\n'),
    'one header name': (STATUS, b'n' * 1000),
    'one header': (STATUS + b'Name: ', b'v' * 1000),
    'interim replies': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'replies to others': (
        b'',
        STATUS + b'Id: 2\r\nContent-Length: 0\r\n\r\n',
    ),
    'unframed body': (STATUS + b'\r\n', b'b' * 1000),
    'stated length': (STATUS + b'Content-Length: 999999999\r\n\r\n', b'b'),
    'chunks': (CHUNKED, b'1\r\nb\r\n'),
    'one chunk': (CHUNKED + b'fffffff\r\n', b'b' * 1000),
    'chunk extension': (CHUNKED + b'1;', b'e' * 1000),
    'trailers': (CHUNKED + b'1\r\nb\r\n0\r\n', b'Name: value\r\n'),
    'no reply': (b'\x00\xff', b'\x00' * 1000),
}
# Bytes that may be on the way when the connection is closed: the buffers of
# both sockets and one read of the event loop.
MAX_TAKEN_BYTES = 8 * 1024 * 1024
REPEATS_PER_WRITE = 50
# Counted for each header besides its text.
HEADER_BYTES = 200


class EndlessTarget(asyncio.Protocol):
    """Writes as fast as the caller reads, until the caller closes."""

    def __init__(self, start, repeated):
        self.start, self.repeated = start, repeated
        self.written = 0
        self.closed = asyncio.Event()
        self.can_write = asyncio.Event()

    def connection_made(self, transport):
        self.transport = transport
        self.can_write.set()

    def data_received(self, data):
        self.transport.write(self.start)
        self.task = asyncio.ensure_future(self.write())

    def pause_writing(self):
        self.can_write.clear()

    def resume_writing(self):
        self.can_write.set()

    def connection_lost(self, exc):
        self.closed.set()
        self.can_write.set()

    async def write(self):
        block = self.repeated * REPEATS_PER_WRITE
        while not self.closed.is_set() and self.written < 10 * MAX_TAKEN_BYTES:
            await self.can_write.wait()
            self.transport.write(block)
            self.written += len(block)
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def connect(make_protocol):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(make_protocol, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    connection = await TargetConnection.open(
        f'127.0.0.1:{port}', 1, lambda _: None
    )
    try:
        yield connection
    finally:
        connection.close()
        server.close()


def matches_request(headers):
    return (b'Id', b'2') not in headers


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_reply_is_aborted(kind):
    """Guards against targets that exhaust the memory of an entry.

    A target in trouble sends bytes without end until the caller closes.
    """
    target = EndlessTarget(*ENDLESS[kind])

    async def play():
        async with connect(lambda: target) as connection:
            future = connection.send(b'x', matches_request, LIMITS)
            with pytest.raises(TargetError) as caught:
                await asyncio.wait_for(future, 20)
            await asyncio.wait_for(target.closed.wait(), 2)
            assert not connection.is_usable
            return caught.value

    error = asyncio.run(play())
    if kind != 'no reply':
        assert isinstance(error, ReplyLimitError)
    assert target.written < MAX_TAKEN_BYTES
    assert BUFFER.used_bytes == 0


def test_replies_of_all_connections_share_one_bound():
    """Guards against many moderate replies that exhaust the memory together."""
    start = STATUS + b'Content-Length: 30000\r\n\r\n'

    class Target(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            self.transport.write(start + b'b' * 29000)

    async def play():
        async with connect(Target) as first, connect(Target) as second:
            futures = [
                connection.send(b'x', matches_request, LIMITS)
                for connection in (first, second)
            ]
            done, _ = await asyncio.wait(
                futures, timeout=5, return_when=asyncio.FIRST_COMPLETED
            )
            (failed,) = done
            assert isinstance(failed.exception(), ReplyLimitError)
            assert BUFFER.used_bytes == 29000 + len(start) + HEADER_BYTES

    asyncio.run(play())
    assert BUFFER.used_bytes == 0


@pytest.mark.parametrize('kind', ['one header', 'unframed body'])
def test_failed_attempts_keep_no_bytes(kind):
    """Guards against errors and parsers that hold what was received.

    The errors of its attempts are kept until a request ends.
    """

    async def fail():
        target = EndlessTarget(*ENDLESS[kind])
        async with connect(lambda: target) as connection:
            future = connection.send(b'x', matches_request, LIMITS)
            await asyncio.wait({future}, timeout=20)
            return connection, future.exception()

    async def play():
        await fail()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        kept = [await fail() for _ in range(20)]
        held = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return held, kept

    held, kept = asyncio.run(play())
    assert all(isinstance(error, ReplyLimitError) for _, error in kept)
    assert held < len(kept) * 16 * 1024


# Replies that stop in the middle of their head.
PARTIAL_HEADS = {
    'one header': STATUS + b'Name: ' + b'v' * 14_000,
    # Each takes far more memory than its bytes.
    'many headers': STATUS + b'a:b\r\n' * 200,
}


@pytest.mark.parametrize('kind', PARTIAL_HEADS)
def test_heads_of_all_connections_share_one_bound(kind):
    """Guards against heads without end that exhaust the memory together.

    Each stays below its own limit, and many targets send one slowly.
    """

    class Target(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            self.transport.write(PARTIAL_HEADS[kind])

    async def play():
        async with contextlib.AsyncExitStack() as stack:
            connections = [
                await stack.enter_async_context(connect(Target))
                for _ in range(4)
            ]
            futures = [
                connection.send(b'x', matches_request, LIMITS)
                for connection in connections
            ]
            failed, _ = await asyncio.wait(
                futures, timeout=2, return_when=asyncio.FIRST_COMPLETED
            )
            assert failed
            for each in failed:
                assert isinstance(each.exception(), ReplyLimitError)

    asyncio.run(play())
    assert BUFFER.used_bytes == 0


def test_answered_requests_leave_nothing_reserved():
    """Guards against a bound that fills up with what was answered."""

    async def play():
        async with connect(lambda: CuttingTarget(OWN, True, False)) as one:
            await one.send(b'x', matches_request, LIMITS)
            assert BUFFER.used_bytes == 0
            await one.send(b'x', matches_request, LIMITS)

    asyncio.run(play())
    assert BUFFER.used_bytes == 0


WHOLE_REPLIES = {
    'length': STATUS + b'Id: 1\r\nContent-Length: 4\r\n\r\nbody',
    'chunked': CHUNKED + b'2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nT: t\r\n\r\n',
    'interim': b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'
    + STATUS
    + b'Content-Length: 4\r\n\r\nbody',
    'other first': STATUS
    + b'Id: 2\r\nContent-Length: 4\r\n\r\nelse'
    + STATUS
    + b'Content-Length: 4\r\n\r\nbody',
    'unframed': STATUS + b'Id: 1\r\n\r\nbody',
    'empty': STATUS + b'Content-Length: 0\r\n\r\n',
}
OWN = STATUS + b'Content-Length: 2\r\n\r\nok'


class CuttingTarget(asyncio.Protocol):
    """Answers a first request if asked to, cuts the reply to the next."""

    def __init__(self, cut, is_kept, is_reset):
        self.cut, self.is_kept, self.is_reset = cut, is_kept, is_reset

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if self.is_kept:
            self.is_kept = False
            self.transport.write(OWN)
            return
        self.transport.write(self.cut)
        if self.is_reset:
            # Closing without lingering sends a reset.
            self.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self.transport.close()


def exchange(cut, is_kept, is_reset):
    async def play():
        async with connect(
            lambda: CuttingTarget(cut, is_kept, is_reset)
        ) as connection:
            if is_kept:
                await connection.send(b'x', matches_request)
            future = connection.send(b'x', matches_request)
            return await asyncio.wait_for(future, 5)

    return asyncio.run(play())


@settings(max_examples=300, deadline=None)
@given(
    kind=st.sampled_from(sorted(WHOLE_REPLIES)),
    data=st.data(),
    is_kept=st.booleans(),
    is_reset=st.booleans(),
)
def test_cut_reply_is_never_taken_as_whole(kind, data, is_kept, is_reset):
    """Guards against a 200 with an empty or short body that looks whole.

    A target stops at any byte of its reply, for example within a header, and
    closes or resets the connection.
    """
    whole = WHOLE_REPLIES[kind]
    cut = whole[: data.draw(st.integers(0, len(whole) - 1))]
    # A reply without a length ends with its connection.
    ends_by_close = kind == 'unframed' and cut.find(b'\r\n\r\n') >= 0
    if ends_by_close and not is_reset:
        return
    with pytest.raises(TargetError):
        exchange(cut, is_kept, is_reset)


@pytest.mark.parametrize('kind', WHOLE_REPLIES)
@pytest.mark.parametrize('is_kept', [False, True])
def test_end_in_the_same_read_as_the_last_bytes_cuts_nothing(kind, is_kept):
    reply = exchange(WHOLE_REPLIES[kind], is_kept, is_reset=False)
    assert reply.body == (b'' if kind == 'empty' else b'body')
