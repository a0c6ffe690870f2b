"""Submission of catalogue changes."""

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from shallotgate.cli._client import (
    HttpReply,
    ServerUnreachableError,
    UnknownOutcomeError,
)
from shallotgate.cli._exits import ExitCode, get_exit_code
from shallotgate.cli._session import Session

_MAX_SENDS = 5
# An election takes up to 2 s, so several resends outlast it.
_RESEND_DELAY_S = 1
_NOT_ACCEPTED_STATUS = 503
_IN_FORCE_TIMEOUT_S = 30
_POLL_INTERVAL_S = 0.2
_CATALOGUE_PATH = '/v1/catalogue'


@dataclass(frozen=True)
class ChangeRequest:
    """A catalogue change to be sent."""

    change_id: str
    base_version: int
    edits: Sequence[Mapping[str, Any]]
    reason: str

    def make_content(self) -> dict[str, Any]:
        """Return the body of the request."""
        return {
            'change_id': self.change_id,
            'base_version': self.base_version,
            'edits': list(self.edits),
            'reason': self.reason,
        }


def send_change(
    session: Session, change_request: ChangeRequest
) -> HttpReply | None:
    """Send a change and resend it while its outcome is unknown.

    Returns None if the outcome remained unknown. Resending is idempotent: a
    change id that was already applied gets the verdict of the first time.
    """
    for resend in range(_MAX_SENDS):
        if resend:
            time.sleep(_RESEND_DELAY_S)
        reply = _send_attempt(session, change_request, is_first=not resend)
        if reply is not None:
            return reply
        session.output.write_message('No answer yet.')
    session.output.write_message(
        f'Outcome unknown. To resend: --change-id {change_request.change_id} '
        f'--base-version {change_request.base_version} '
        'with the same edits and reason.',
    )
    return None


def _send_attempt(
    session: Session,
    change_request: ChangeRequest,
    *,
    is_first: bool,
) -> HttpReply | None:
    """Send a change; None if its outcome is unknown.

    If a resend is not accepted, the first request may still be committed, so
    the outcome stays unknown.
    """
    try:
        reply = session.client.call(
            'POST', _CATALOGUE_PATH, change_request.make_content()
        )
    except UnknownOutcomeError:
        return None
    except ServerUnreachableError:
        if is_first:
            raise
        return None
    if get_exit_code(reply) == ExitCode.UNKNOWN:
        return None
    return reply if is_first or reply.status != _NOT_ACCEPTED_STATUS else None


def fetch_catalogue(session: Session) -> Mapping[str, Any] | None:
    """Return the active catalogue, or None after showing the error."""
    reply = session.fetch(_CATALOGUE_PATH)
    if reply is None:
        return None
    if get_exit_code(reply) != ExitCode.OK:
        session.show_refusal(reply)
        return None
    catalogue: Mapping[str, Any] = reply.content
    return catalogue


def wait_until_in_force(session: Session, version: int) -> ExitCode:
    """Wait until a version is active on all instances; show the progress."""
    deadline = time.monotonic() + _IN_FORCE_TIMEOUT_S
    shown = ''
    while time.monotonic() < deadline:
        applied = _fetch_applied_versions(session)
        count = sum(found >= version for found in applied)
        progress = f'in force on {count} of {len(applied)} instances'
        if progress != shown:
            session.output.write_message(f'version {version} {progress}')
            shown = progress
        if applied and count == len(applied):
            return ExitCode.OK
        time.sleep(_POLL_INTERVAL_S)
    session.output.write_message('not in force on all instances')
    return ExitCode.UNKNOWN


def _fetch_applied_versions(session: Session) -> list[int]:
    """Return the catalogue version of each instance that holds a lease."""
    try:
        reply = session.fetch('/v1/status')
    except ServerUnreachableError:
        return []
    if reply is None or get_exit_code(reply) != ExitCode.OK:
        return []
    return [
        record.get('versions', {}).get('catalogue', 0)
        for record in reply.content.get('instances', ())
        if record.get('has_lease', True)
    ]
