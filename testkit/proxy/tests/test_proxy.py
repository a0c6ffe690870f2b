import contextlib
import socket
import socketserver
import threading
import time

import pytest

from testkit.proxy import Fault, FaultProxy


class Echo(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        while chunk := self.request.recv(1000):
            self.request.sendall(chunk)


@pytest.fixture
def link():
    """Yield the proxy and a function that dials through it."""
    server = socketserver.ThreadingTCPServer(('127.0.0.1', 0), Echo)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.server_address
    with contextlib.ExitStack() as stack:
        proxy = stack.enter_context(FaultProxy())
        address = proxy.add_link('link', f'{host}:{port}')

        def dial() -> socket.socket:
            listening = ('127.0.0.1', int(address.rpartition(':')[2]))
            return stack.enter_context(
                socket.create_connection(listening, timeout=5)
            )

        yield proxy, dial
    server.shutdown()
    server.server_close()


def exchange(connection: socket.socket) -> bytes:
    connection.sendall(b'ping')
    return connection.recv(100)


def test_bytes_are_forwarded_with_the_delay(link):
    """Guards against latencies that a run asks for and does not get."""
    proxy, dial = link
    assert exchange(dial()) == b'ping'
    proxy.set_fault('link', Fault(delay_ms=40))
    connection = dial()
    start = time.monotonic()
    assert exchange(connection) == b'ping'
    assert time.monotonic() - start >= 0.08


@pytest.mark.parametrize(
    'fault',
    [Fault(drop_forward=True), Fault(drop_backward=True)],
)
def test_drop_is_silent_and_heals(link, fault):
    """Guards against cuts that the ends can tell from a reset."""
    proxy, dial = link
    before = dial()
    assert exchange(before) == b'ping'
    proxy.set_fault('link', fault)
    during = dial()
    for connection in (before, during):
        connection.settimeout(0.2)
        with pytest.raises(TimeoutError):
            exchange(connection)
    proxy.heal()
    # The stream lost bytes, so it must end rather than go on.
    before.settimeout(5)
    with pytest.raises(ConnectionResetError):
        before.recv(100)
    assert exchange(dial()) == b'ping'


def test_silence_spares_new_connections(link):
    """Guards against silence that the ends can tell, or that hits all."""
    proxy, dial = link
    before = dial()
    assert exchange(before) == b'ping'
    proxy.silence('link')
    before.settimeout(0.2)
    with pytest.raises(TimeoutError):
        exchange(before)
    assert exchange(dial()) == b'ping'
    proxy.heal()
    with pytest.raises(TimeoutError):
        exchange(before)


def test_reset_ends_present_and_new_connections(link):
    """Guards against a reset that looks like an orderly end."""
    proxy, dial = link
    before = dial()
    assert exchange(before) == b'ping'
    proxy.set_fault('link', Fault(reset=True))
    with pytest.raises(ConnectionError):
        exchange(before)
    # The reset may come before the new connection is noticed to be open.
    with pytest.raises(ConnectionError):
        exchange(dial())


def test_throttle_limits_the_rate(link):
    """Guards against a throttle that lets everything through."""
    proxy, dial = link
    proxy.set_fault('link', Fault(bytes_per_s=40_000))
    connection = dial()
    start = time.monotonic()
    received = 0
    for _ in range(4):
        connection.sendall(b'x' * 1000)
        part = connection.recv(1000)
        received += len(part)
    assert received
    assert time.monotonic() - start >= 0.06
