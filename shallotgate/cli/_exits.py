"""Exit codes and how answers map to them."""

import enum
from collections.abc import Mapping
from types import MappingProxyType

from shallotgate.cli._client import HttpReply


class ExitCode(enum.IntEnum):
    """What a command found, for scripts."""

    # Done, or a complete answer.
    OK = 0
    # Refused as not run, not permitted, not found, or failed.
    FAILED = 1
    # Arguments, a file or a change are faulty.
    BAD_INPUT = 2
    # No connection could be opened.
    UNREACHABLE = 3
    # Another change won; see the differences.
    CONFLICT = 4
    # A true but partial answer.
    PARTIAL = 5
    # Sent, but what became of it is not known.
    UNKNOWN = 6


_BY_STATUS: Mapping[int, ExitCode] = MappingProxyType(
    {
        200: ExitCode.OK,
        400: ExitCode.BAD_INPUT,
        409: ExitCode.CONFLICT,
        413: ExitCode.BAD_INPUT,
        422: ExitCode.BAD_INPUT,
        504: ExitCode.UNKNOWN,
    }
)
_BY_OUTCOME: Mapping[str, ExitCode] = MappingProxyType(
    {
        'complete': ExitCode.OK,
        'partial': ExitCode.PARTIAL,
        'unknown': ExitCode.UNKNOWN,
    }
)


def judge_reply(reply: HttpReply) -> ExitCode:
    """Return the exit code for an operator page.

    >>> judge_reply(HttpReply(503, {}))
    <ExitCode.FAILED: 1>
    """
    return _BY_STATUS.get(reply.status, ExitCode.FAILED)


def judge_answer(reply: HttpReply) -> ExitCode:
    """Return the exit code for the answer to a query."""
    content = reply.content if isinstance(reply.content, dict) else {}
    outcome = str(content.get('outcome', ''))
    if outcome == 'refused' and judge_reply(reply) == ExitCode.BAD_INPUT:
        return ExitCode.BAD_INPUT
    return _BY_OUTCOME.get(outcome, ExitCode.FAILED)
