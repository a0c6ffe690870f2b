"""Single queries sent as a caller."""

from collections.abc import Iterable
from typing import Any

from shallotgate.cli import ServerUnreachableError, UnknownOutcomeError
from testkit.runner import Tier, wait_until
from tests.support._timeouts import WAIT_TIMEOUT_S

# Exceptions that a client raises when it gets no reply.
NO_REPLY = (ServerUnreachableError, UnknownOutcomeError)
_TIMEOUT_S = 40


def ask(
    tier: Tier,
    entry: str,
    request: dict[str, Any],
    timeout_s: float = _TIMEOUT_S,
) -> dict[str, Any] | None:
    """Send a query as the first caller; return None without a reply."""
    client = tier.clients.caller(entry, tier.deployment.callers[0].name)
    try:
        return client.call('POST', '/v1/query', request, timeout_s).content
    except NO_REPLY:
        return None


def wait_answered(
    tier: Tier,
    entries: Iterable[str],
    request: dict[str, Any],
) -> None:
    """Wait until each of the entries returns a complete answer."""
    for entry in entries:
        wait_until(
            lambda entry=entry: is_complete(ask(tier, entry, request)),
            WAIT_TIMEOUT_S,
            f'complete answer of {entry} to {request}',
        )


def is_complete(answer: dict[str, Any] | None) -> bool:
    """Return whether an answer was received and is complete."""
    return bool(answer) and answer.get('outcome') == 'complete'
