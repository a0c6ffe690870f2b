"""Round-trip time of a connection, as the kernel measures it."""

import asyncio
import socket
import struct

# Layout of ``struct tcp_info`` in linux/tcp.h up to the round-trip time: eight
# bytes, then numbers of 32 bits of which it is the sixteenth, in microseconds.
_FORMAT = struct.Struct('=8B16I')
_US_PER_S = 1_000_000


def get_round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Return the round-trip time in seconds; 0 if the kernel tells none."""
    connection = transport.get_extra_info('socket')
    option = getattr(socket, 'TCP_INFO', None)
    if connection is None or option is None:
        return 0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, option, _FORMAT.size)
    except OSError:
        # Not offered for this kind of socket; the default margin serves.
        return 0
    if len(info) < _FORMAT.size:
        return 0
    round_trip_us: int = _FORMAT.unpack(info)[-1]
    return round_trip_us / _US_PER_S
