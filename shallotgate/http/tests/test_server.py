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
