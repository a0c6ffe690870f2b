"""The query command."""

from collections.abc import Mapping
from typing import Any

from shallotgate.cli._client import UnknownOutcomeError
from shallotgate.cli._exits import ExitCode, get_query_exit_code
from shallotgate.cli._output import format_pairs
from shallotgate.cli._session import Session
from shallotgate.codec import CodecError, decode_json

_MS_PER_S = 1000
# Time allowed beyond the deadline for the response to arrive.
_RESPONSE_GRACE_S = 5
_MAX_DEADLINE_MS = 60_000


class QueryCommand:
    """Command that sends one query."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def query(
        self,
        group: str,
        class_name: str,
        query: str,
        *,
        limit: int = 100,
        deadline_ms: int = 0,
        key: str = '',
    ) -> ExitCode:
        """Send a query and show the answer; the token is the caller's key.

        :param group: Group of services.
        :param class_name: Class of the request.
        :param query: Content of the query as a JSON object.
        :param limit: Maximum number of matches.
        :param deadline_ms: Deadline in milliseconds; 0 for the default.
        :param key: Idempotency key of an at-most-once request.
        """
        try:
            content = decode_json(query.encode(), dict[str, Any])
        except CodecError as error:
            self._session.output.write_message(
                f'query: is not a JSON object: {error}'
            )
            return ExitCode.BAD_INPUT
        request = {
            'group': group,
            'class_name': class_name,
            'query': content,
            'limit': limit,
            'deadline_ms': deadline_ms,
            'key': key,
        }
        timeout_s = (
            deadline_ms or _MAX_DEADLINE_MS
        ) / _MS_PER_S + _RESPONSE_GRACE_S
        try:
            reply = self._session.client.call(
                'POST',
                '/v1/query',
                request,
                timeout_s,
            )
        except UnknownOutcomeError as error:
            self._session.output.write_message(f'outcome unknown: {error}')
            return ExitCode.UNKNOWN
        if isinstance(reply.content, dict):
            self._session.output.show(
                reply.content, _format_answer(reply.content)
            )
        else:
            self._session.output.show(reply.content, str(reply.content))
        return get_query_exit_code(reply)


def _format_answer(answer: Mapping[str, Any]) -> str:
    shards = answer.get('shards') or {}
    lines = [
        f'{answer.get("outcome")} {answer.get("reason", "")}'.strip(),
        f'snapshot {answer.get("snapshot", 0)}, '
        f'shards {shards.get("answered", 0)} of {shards.get("asked", 0)}, '
        f'{answer.get("elapsed_ms", 0):.1f} ms',
    ]
    lines.extend(
        f'missing shard {missing["partition"]}: {missing["reason"]}'
        for missing in shards.get('missing', ())
    )
    lines.extend(
        f'{finding["path"]}: {finding["reason"]}'
        for finding in answer.get('findings', ())
    )
    matches = answer.get('matches', ())
    completeness = 'all' if answer.get('matches_full') else 'not all'
    lines.append(f'{len(matches)} matches ({completeness}):')
    lines.extend(f'- {format_pairs(match, "  ").strip()}' for match in matches)
    return '\n'.join(lines)
