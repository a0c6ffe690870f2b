"""Responses without end, slow ones, and responses that are cut."""

import time

import pytest

from shallotgate.http_client import (
    ExchangeLimits,
    HttpClient,
    HttpConnectError,
    HttpExchangeError,
)
from shallotgate.http_client.tests.invalid_replies import INTERIM, INVALID
from shallotgate.http_client.tests.raw_server import (
    ENDLESS,
    STATUS,
    serve_bytes,
)

LIMITS = ExchangeLimits(timeout_s=1.0, max_bytes=256 * 1024)
# Bytes that may be in the buffers of both sockets when the client closes.
MAX_TAKEN_BYTES = 16 * 1024 * 1024
WHOLE = STATUS + b'Content-Length: 5\r\nName: value\r\n\r\nhello'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'


def request(server, **options):
    client = HttpClient(LIMITS, **options)
    try:
        return client.request('GET', f'http://{server.address}/')
    finally:
        client.close()


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_response_ends_at_the_limit(kind):
    """Guards against memory or a thread lost to a server in trouble."""
    started_at = time.monotonic()
    with serve_bytes(*ENDLESS[kind]) as server:
        with pytest.raises(HttpExchangeError):
            request(server)
        assert server.sent_bytes < MAX_TAKEN_BYTES
    assert time.monotonic() - started_at < 2 * LIMITS.timeout_s


@pytest.mark.parametrize('kind', ENDLESS)
def test_slow_endless_response_ends_at_the_deadline(kind):
    """Guards against timeouts that start anew with each byte."""
    start, repeated = ENDLESS[kind]
    started_at = time.monotonic()
    endless = serve_bytes(start, repeated[:30], drip=True)
    with endless as server, pytest.raises(HttpExchangeError):
        request(server)
    assert time.monotonic() - started_at < 2 * LIMITS.timeout_s


@pytest.mark.parametrize('whole', [WHOLE, CHUNKED])
def test_cut_response_never_looks_whole(whole):
    """Guards against a head that ends early and passes for an empty body."""
    with serve_bytes(whole) as server:
        response = request(server)
        assert (response.body, response.is_framed) == (b'hello', True)
    for length in range(len(whole)):
        with serve_bytes(whole[:length]) as server:
            try:
                response = request(server, reuse=False)
            except HttpExchangeError:
                continue
            # The last line of a chunked body may be missing.
            is_whole = response.body == b'hello'
            assert is_whole or not response.is_framed, whole[:length]


def test_no_connection_means_that_nothing_was_sent():
    """Guards against "outcome unknown" for a request that was never sent."""
    with serve_bytes(b'') as server:
        pass
    with pytest.raises(HttpConnectError):
        request(server)


@pytest.mark.parametrize('kind', INVALID)
def test_invalid_response_fails(kind):
    """Guards against a list that is read from a reply of unclear framing."""
    invalid = serve_bytes(INVALID[kind])
    with invalid as server, pytest.raises(HttpExchangeError):
        request(server)


def test_interim_responses_are_skipped():
    with serve_bytes(INTERIM + WHOLE) as server:
        response = request(server)
    assert (response.status, response.body) == (200, b'hello')
