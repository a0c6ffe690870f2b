"""Representations of messages, which tracebacks and logs may contain."""

from shallotgate.aio import IncomingRequest, Response


def test_representations_contain_no_header_and_no_body():
    """Guards against keys of accounts in logs."""
    headers = [(b'X-Own', b'secret')]
    shown = repr(IncomingRequest(b'PUT', b'/', headers, b'secret', 0))
    assert 'secret' not in shown
    assert 'secret' not in repr(Response(200, b'secret'))
