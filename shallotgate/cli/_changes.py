"""Sending of catalogue changes."""

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from shallotgate.cli._client import (
    HttpReply,
    ServerUnreachableError,
    UnknownOutcomeError,
)
from shallotgate.cli._exits import ExitCode, judge_reply
from shallotgate.cli._session import Session

_RESENDS = 5
# An election takes up to two seconds.
_RESEND_PAUSE_S = 1
_NOT_TAKEN = 503
_IN_FORCE_LIMIT_S = 30
_POLL_S = 0.2
_PATH = '/v1/catalogue'


@dataclass(frozen=True)
class Draft:
    """A change that is about to be sent."""

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


def send_change(session: Session, draft: Draft) -> HttpReply | None:
    """Send a change and resend it while its outcome is unknown.

    Returns None if it remained unknown. A resend gets the first verdict, so
    it changes nothing twice.
    """
    for resend in range(_RESENDS):
        if resend:
            time.sleep(_RESEND_PAUSE_S)
        reply = _send_once(session, draft, first=not resend)
        if reply is not None:
            return reply
        session.output.remark('No answer yet.')
    session.output.remark(
        f'Outcome unknown. To resend: --change-id {draft.change_id} '
        f'--base-version {draft.base_version} with the same edits and reason.',
    )
    return None


def _send_once(
    session: Session,
    draft: Draft,
    *,
    first: bool,
) -> HttpReply | None:
    """Send a change; None if its outcome is unknown.

    That a resend was not taken tells nothing of the first sending.
    """
    try:
        reply = session.client.call('POST', _PATH, draft.make_content())
    except UnknownOutcomeError:
        return None
    except ServerUnreachableError:
        if first:
            raise
        return None
    if judge_reply(reply) == ExitCode.UNKNOWN:
        return None
    return reply if first or reply.status != _NOT_TAKEN else None


def read_base(session: Session) -> Mapping[str, Any] | None:
    """Return the catalogue in force, or None after showing why not."""
    reply = session.read(_PATH)
    if reply is None:
        return None
    if judge_reply(reply) != ExitCode.OK:
        session.show_refusal(reply)
        return None
    catalogue: Mapping[str, Any] = reply.content
    return catalogue


def wait_in_force(session: Session, version: int) -> ExitCode:
    """Show on how many instances a version is in force until on all."""
    deadline = time.monotonic() + _IN_FORCE_LIMIT_S
    shown = ''
    while time.monotonic() < deadline:
        applied = _read_applied(session)
        count = sum(found >= version for found in applied)
        progress = f'in force on {count} of {len(applied)} instances'
        if progress != shown:
            session.output.remark(f'version {version} {progress}')
            shown = progress
        if applied and count == len(applied):
            return ExitCode.OK
        time.sleep(_POLL_S)
    session.output.remark('not in force on all instances')
    return ExitCode.UNKNOWN


def _read_applied(session: Session) -> list[int]:
    """Return the catalogue version of each instance with a lease."""
    try:
        reply = session.read('/v1/status')
    except ServerUnreachableError:
        return []
    if reply is None or judge_reply(reply) != ExitCode.OK:
        return []
    return [
        record.get('versions', {}).get('catalogue', 0)
        for record in reply.content.get('instances', ())
        if record.get('has_lease', True)
    ]
