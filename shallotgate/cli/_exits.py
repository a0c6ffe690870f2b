"""Exit codes and the mapping of responses to them."""

import enum
from collections.abc import Mapping
from types import MappingProxyType

from shallotgate.cli._client import HttpReply


class ExitCode(enum.IntEnum):
    """Exit code of a command, for use in scripts."""

    # The command succeeded, or the answer is complete.
    OK = 0
    # The request was refused, not permitted, not found, or failed.
    FAILED = 1
    # The arguments, a file or a change are invalid.
    BAD_INPUT = 2
    # No connection could be opened.
    UNREACHABLE = 3
    # A conflicting change was committed first; see the differences.
    CONFLICT = 4
    # The answer is correct but incomplete.
    PARTIAL = 5
    # The request was sent, but its outcome is unknown.
    UNKNOWN = 6


_EXIT_CODE_BY_STATUS: Mapping[int, ExitCode] = MappingProxyType(
    {
        200: ExitCode.OK,
        400: ExitCode.BAD_INPUT,
        409: ExitCode.CONFLICT,
        413: ExitCode.BAD_INPUT,
        422: ExitCode.BAD_INPUT,
        504: ExitCode.UNKNOWN,
    }
)
_EXIT_CODE_BY_OUTCOME: Mapping[str, ExitCode] = MappingProxyType(
    {
        'complete': ExitCode.OK,
        'partial': ExitCode.PARTIAL,
        'unknown': ExitCode.UNKNOWN,
    }
)


def get_exit_code(reply: HttpReply) -> ExitCode:
    """Return the exit code for a response of the operator API.

    >>> get_exit_code(HttpReply(503, {}))
    <ExitCode.FAILED: 1>
    """
    return _EXIT_CODE_BY_STATUS.get(reply.status, ExitCode.FAILED)


def get_query_exit_code(reply: HttpReply) -> ExitCode:
    """Return the exit code for the response to a query."""
    content = reply.content if isinstance(reply.content, dict) else {}
    outcome = str(content.get('outcome', ''))
    if outcome == 'refused' and get_exit_code(reply) == ExitCode.BAD_INPUT:
        return ExitCode.BAD_INPUT
    return _EXIT_CODE_BY_OUTCOME.get(outcome, ExitCode.FAILED)
