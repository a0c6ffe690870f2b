"""State of a connection in the kernel: round-trip time and send queue."""

import asyncio
import fcntl
import socket
import struct
import termios

# Layout of ``struct tcp_info`` in linux/tcp.h up to the round-trip time: eight
# bytes, then numbers of 32 bits of which it is the sixteenth, in microseconds.
_FORMAT = struct.Struct('=8B16I')
_COUNT_FORMAT = struct.Struct('=i')
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


def get_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the sent bytes that the peer has not acknowledged."""
    connection = transport.get_extra_info('socket')
    if connection is None or connection.fileno() < 0:
        return 0
    try:
        encoded = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, bytes(_COUNT_FORMAT.size)
        )
    except OSError:
        # Closed meanwhile, or not offered for this kind of socket.
        return 0
    count: int = _COUNT_FORMAT.unpack(encoded)[0]
    return count
