import asyncio

from shallotgate.aio._round_trip import get_round_trip_s


def test_loopback_has_a_short_round_trip():
    """Guards against another layout of the kernel's structure."""

    async def play():
        served = asyncio.get_running_loop().create_future()

        async def accept(reader, writer):
            served.set_result(get_round_trip_s(writer.transport))
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            return await served
        finally:
            writer.close()
            server.close()

    assert 0 < asyncio.run(play()) < 0.1


def test_without_a_socket_it_is_unknown():
    assert get_round_trip_s(asyncio.BaseTransport()) == 0
