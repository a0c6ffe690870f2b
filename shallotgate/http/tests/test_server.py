import socket
import threading

import pytest
import urllib3

from shallotgate.http import HttpServer, Request, Response


class Echo:
    def handle(self, request: Request) -> Response:
        return Response(200, request.body or request.bearer.encode())


def test_body_and_token_reach_the_application():
    """Guards against requests that lose their body, and oversized ones."""
    server = HttpServer('127.0.0.1:0', Echo(), threads=2, max_body_bytes=10)
    server.start()
    try:
        url = f'http://{server.address}/'
        assert urllib3.request('POST', url, body=b'abc').data == b'abc'
        token = {'Authorization': 'Bearer key'}
        assert urllib3.request('GET', url, headers=token).data == b'key'
        assert urllib3.request('POST', url, body=b'x' * 11).status == 413
    finally:
        server.stop()


def test_stopping_server_answers_what_it_handles():
    """Guards against answers that a planned stop cuts."""
    begun, released = threading.Event(), threading.Event()

    class Slow:
        def handle(self, request: Request) -> Response:
            begun.set()
            released.wait(5)
            return Response(200, b'done')

    server = HttpServer('127.0.0.1:0', Slow(), threads=1, max_body_bytes=10)
    server.start()
    host, _, port = server.address.rpartition(':')
    with socket.create_connection((host, int(port)), 5) as caller:
        caller.sendall(b'GET / HTTP/1.0\r\n\r\n')
        assert begun.wait(5)
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        released.set()
        # A caller of HTTP/1.0 waits for the end of the connection.
        answer = b''.join(iter(lambda: caller.recv(1000), b''))
        stopping.join(5)
    assert answer.endswith(b'done')


def test_taken_address_fails_the_start():
    server = HttpServer('127.0.0.1:0', Echo(), threads=1, max_body_bytes=10)
    server.start()
    try:
        other = HttpServer(server.address, Echo(), 1, 10)
        with pytest.raises(OSError, match='in use'):
            other.start()
        other.stop()
    finally:
        server.stop()
