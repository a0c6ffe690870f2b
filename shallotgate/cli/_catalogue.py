"""Commands on the catalogue and on failure domains."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from shallotgate.cli._changes import (
    Draft,
    read_base,
    send_change,
    wait_in_force,
)
from shallotgate.cli._client import HttpReply, make_timestamped_id
from shallotgate.cli._edits import EditsFile, load_edits
from shallotgate.cli._exits import ExitCode, judge_reply
from shallotgate.cli._output import format_pairs, format_table
from shallotgate.cli._session import Session
from shallotgate.errors import FindingsError

_HISTORY_COLUMNS = ('version', 'time', 'operator', 'change_id', 'reason')
_DIFFERENCE_COLUMNS = ('kind', 'name', 'change')
_NO_BASE = -1
_ATTEMPTS = 3


class CatalogueCommands:
    """Commands on the whole catalogue."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(self) -> ExitCode:
        """Show the catalogue in force."""
        return self._session.show_page('/v1/catalogue')

    def history(self) -> ExitCode:
        """Show the accepted changes."""
        return self._session.show_page(
            '/v1/history',
            'history',
            _HISTORY_COLUMNS,
        )

    def change(
        self,
        edits: Path,
        *,
        reason: str = '',
        change_id: str = '',
        base_version: int = _NO_BASE,
        wait: bool = True,
    ) -> ExitCode:
        """Change the catalogue as a whole and show the verdict.

        :param edits: YAML or JSON file with ``edits`` and perhaps ``reason``.
        :param reason: Why; goes before the reason in the file.
        :param change_id: Id of a change to resend.
        :param base_version: Version it is made from; default is the present.
        :param wait: Wait until the change is in force on all instances.
        """
        try:
            loaded = load_edits(edits)
        except FindingsError as error:
            self._session.output.remark(str(error))
            return ExitCode.BAD_INPUT
        reason = reason or loaded.reason
        if not reason:
            self._session.output.remark(f'{edits}:1: reason: is missing')
            return ExitCode.BAD_INPUT
        if base_version == _NO_BASE:
            base = read_base(self._session)
            if base is None:
                return ExitCode.FAILED
            base_version = base['version']
        draft = Draft(
            change_id or make_timestamped_id(),
            base_version,
            loaded.edits,
            reason,
        )
        return _finish(self._session, draft, loaded, wait=wait)


class DomainCommands:
    """Commands on failure domains."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def take_out(
        self,
        domain: str,
        *,
        reason: str = 'take out',
        drain_entries: bool = False,
        wait: bool = True,
    ) -> ExitCode:
        """Send no new work to a failure domain.

        :param domain: Name of the failure domain.
        :param reason: Why, for the history.
        :param drain_entries: Entries there refuse new queries too.
        :param wait: Wait until it is in force on all instances.
        """
        flags = {'taken_out': True, 'drain_entries': drain_entries}
        return self._set(domain, flags, reason, wait=wait)

    def put_back(
        self,
        domain: str,
        *,
        reason: str = 'return',
        wait: bool = True,
    ) -> ExitCode:
        """Send work to a failure domain again.

        :param domain: Name of the failure domain.
        :param reason: Why, for the history.
        :param wait: Wait until it is in force on all instances.
        """
        flags = {'taken_out': False, 'drain_entries': False}
        return self._set(domain, flags, reason, wait=wait)

    def _set(
        self,
        domain: str,
        flags: Mapping[str, bool],
        reason: str,
        *,
        wait: bool,
    ) -> ExitCode:
        """Set flags, again if a change to something else came between."""
        code = ExitCode.CONFLICT
        for _ in range(_ATTEMPTS):
            base = read_base(self._session)
            if base is None:
                return ExitCode.FAILED
            spec = base['domains'].get(domain)
            if spec is None:
                self._session.output.remark(f'no failure domain {domain}')
                return ExitCode.BAD_INPUT
            edit = {'op': 'put', 'kind': 'domains', 'name': domain}
            draft = Draft(
                make_timestamped_id(),
                base['version'],
                [edit | {'spec': spec | flags}],
                reason,
            )
            code = _finish(self._session, draft, wait=wait)
            if code != ExitCode.CONFLICT:
                break
        return code


def _finish(
    session: Session,
    draft: Draft,
    loaded: EditsFile | None = None,
    *,
    wait: bool,
) -> ExitCode:
    """Send a change, show the verdict and wait until it is in force."""
    reply = send_change(session, draft)
    if reply is None:
        return ExitCode.UNKNOWN
    code = judge_reply(reply)
    content = reply.content
    if not isinstance(content, dict) or 'change_id' not in content:
        return session.show_refusal(reply)
    session.output.show(content, _format_verdict(reply, loaded))
    if code == ExitCode.OK and wait:
        return wait_in_force(session, content['version'])
    return code


def _format_verdict(reply: HttpReply, loaded: EditsFile | None) -> str:
    verdict: Mapping[str, Any] = reply.content
    names = ('outcome', 'version', 'change_id')
    lines = [format_pairs({name: verdict.get(name) for name in names})]
    for finding in verdict.get('findings', ()):
        located = '{path}: {reason}'.format_map(finding)
        if loaded is not None:
            located = str(loaded.locate(finding))
        lines.append(located)
    differences = verdict.get('differences', ())
    if differences:
        lines.append('changed since the base version:')
        lines.append(format_table(differences, _DIFFERENCE_COLUMNS))
    return '\n'.join(lines)
