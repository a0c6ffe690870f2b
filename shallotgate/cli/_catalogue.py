"""Commands that show and change the catalogue and failure domains."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from shallotgate.cli._changes import (
    ChangeRequest,
    fetch_catalogue,
    send_change,
    wait_until_in_force,
)
from shallotgate.cli._client import HttpReply, make_timestamped_id
from shallotgate.cli._edits import EditsFile, load_edits
from shallotgate.cli._exits import ExitCode, get_exit_code
from shallotgate.cli._output import format_pairs, format_table
from shallotgate.cli._session import Session
from shallotgate.errors import FindingsError

_HISTORY_COLUMNS = ('version', 'time', 'operator', 'change_id', 'reason')
_DIFFERENCE_COLUMNS = ('kind', 'name', 'change')
_CURRENT_VERSION = -1
_MAX_ATTEMPTS = 3


class CatalogueCommands:
    """Commands that show and change the catalogue."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(self) -> ExitCode:
        """Show the active catalogue."""
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
        base_version: int = _CURRENT_VERSION,
        wait: bool = True,
    ) -> ExitCode:
        """Apply all edits of a file or none, and show the verdict.

        :param edits: YAML or JSON file with ``edits`` and optional ``reason``.
        :param reason: Reason; takes precedence over the reason in the file.
        :param change_id: Id of an earlier change that is to be resent.
        :param base_version: Version to base the edits on; default: current.
        :param wait: Wait until the change is active on all instances.
        """
        try:
            loaded = load_edits(edits)
        except FindingsError as error:
            self._session.output.write_message(str(error))
            return ExitCode.BAD_INPUT
        reason = reason or loaded.reason
        if not reason:
            self._session.output.write_message(f'{edits}:1: reason: is missing')
            return ExitCode.BAD_INPUT
        if base_version == _CURRENT_VERSION:
            base = fetch_catalogue(self._session)
            if base is None:
                return ExitCode.FAILED
            base_version = base['version']
        change_request = ChangeRequest(
            change_id or make_timestamped_id(),
            base_version,
            loaded.edits,
            reason,
        )
        return _submit_change(self._session, change_request, loaded, wait=wait)


class DomainCommands:
    """Commands that enable and disable failure domains."""

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
        """Stop sending new requests to a failure domain.

        :param domain: Name of the failure domain.
        :param reason: Reason, recorded in the history.
        :param drain_entries: Make its entries refuse new queries too.
        :param wait: Wait until the change is active on all instances.
        """
        flags = {'taken_out': True, 'drain_entries': drain_entries}
        return self._set_flags(domain, flags, reason, wait=wait)

    def put_back(
        self,
        domain: str,
        *,
        reason: str = 'return',
        wait: bool = True,
    ) -> ExitCode:
        """Resume sending requests to a failure domain.

        :param domain: Name of the failure domain.
        :param reason: Reason, recorded in the history.
        :param wait: Wait until the change is active on all instances.
        """
        flags = {'taken_out': False, 'drain_entries': False}
        return self._set_flags(domain, flags, reason, wait=wait)

    def _set_flags(
        self,
        domain: str,
        flags: Mapping[str, bool],
        reason: str,
        *,
        wait: bool,
    ) -> ExitCode:
        """Set flags of a domain, with retries on conflicting changes."""
        code = ExitCode.CONFLICT
        for _ in range(_MAX_ATTEMPTS):
            base = fetch_catalogue(self._session)
            if base is None:
                return ExitCode.FAILED
            spec = base['domains'].get(domain)
            if spec is None:
                self._session.output.write_message(
                    f'no failure domain {domain}'
                )
                return ExitCode.BAD_INPUT
            edit = {'op': 'put', 'kind': 'domains', 'name': domain}
            change_request = ChangeRequest(
                make_timestamped_id(),
                base['version'],
                [edit | {'spec': spec | flags}],
                reason,
            )
            code = _submit_change(self._session, change_request, wait=wait)
            if code != ExitCode.CONFLICT:
                break
        return code


def _submit_change(
    session: Session,
    change_request: ChangeRequest,
    loaded: EditsFile | None = None,
    *,
    wait: bool,
) -> ExitCode:
    """Send a change, show the verdict and wait until it is active."""
    reply = send_change(session, change_request)
    if reply is None:
        return ExitCode.UNKNOWN
    code = get_exit_code(reply)
    content = reply.content
    if not isinstance(content, dict) or 'change_id' not in content:
        return session.show_refusal(reply)
    session.output.show(content, _format_verdict(reply, loaded))
    if code == ExitCode.OK and wait:
        return wait_until_in_force(session, content['version'])
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
