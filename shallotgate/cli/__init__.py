"""HTTP client of instances and the command line."""

from shallotgate.cli._client import (
    HttpClient,
    HttpReply,
    ServerUnreachableError,
    UnknownOutcomeError,
    make_dated_id,
)

__all__ = (
    'HttpClient',
    'HttpReply',
    'ServerUnreachableError',
    'UnknownOutcomeError',
    'make_dated_id',
)
