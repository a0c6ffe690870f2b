"""Command line for callers and operators, and its HTTP client."""

from shallotgate.cli._client import (
    HttpClient,
    HttpReply,
    ServerUnreachableError,
    UnknownOutcomeError,
    make_timestamped_id,
)
from shallotgate.cli._exits import ExitCode
from shallotgate.cli._main import main

__all__ = (
    'ExitCode',
    'HttpClient',
    'HttpReply',
    'ServerUnreachableError',
    'UnknownOutcomeError',
    'main',
    'make_timestamped_id',
)
