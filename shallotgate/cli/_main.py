"""Entry point of the command line."""

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import defopt

from shallotgate.cli._catalogue import CatalogueCommands, DomainCommands
from shallotgate.cli._client import HttpClient, ServerUnreachableError
from shallotgate.cli._exits import ExitCode
from shallotgate.cli._explain import explain
from shallotgate.cli._output import Output
from shallotgate.cli._query import QueryCommand
from shallotgate.cli._reads import ReadCommands, WriteCommands
from shallotgate.cli._session import Session
from shallotgate.errors import SettingsError
from shallotgate.settings import load_settings

_DESCRIPTION = """\
Command line for callers and operators of Shallotgate.

Options of all commands, in any position:
  --url URL      address of an instance, default SHALLOTGATE_URL
  --token TOKEN  operator's token, or caller's key for query,
                 default SHALLOTGATE_TOKEN
  --json         output as JSON

Exit codes: 0 done or complete, 1 refused or failed, 2 bad input,
3 unreachable, 4 conflict, 5 partial answer, 6 outcome unknown.
"""


def check_settings(path: Path) -> ExitCode:
    """Check a settings file and print all findings.

    :param path: Settings file.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.BAD_INPUT
    sys.stdout.write(f'{path}: settings of {settings.instance} are valid\n')
    return ExitCode.OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    common_options, command_arguments = _parse_common(
        sys.argv[1:] if arguments is None else arguments,
    )
    output = Output(as_json=common_options.json)
    session = Session(
        HttpClient(common_options.url, common_options.token), output
    )
    try:
        code = defopt.run(
            _list_commands(session),
            argv=command_arguments,
            argparse_kwargs={
                'prog': 'shallotgate',
                'description': _DESCRIPTION,
                'formatter_class': argparse.RawDescriptionHelpFormatter,
            },
        )
    except ServerUnreachableError as error:
        output.write_message(f'unreachable: {error}')
        return int(ExitCode.UNREACHABLE)
    return int(code)


def _parse_common(
    arguments: Sequence[str],
) -> tuple[argparse.Namespace, list[str]]:
    """Separate the options common to all commands from the rest."""
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument('--url', default=os.environ.get('SHALLOTGATE_URL', ''))
    parser.add_argument(
        '--token',
        default=os.environ.get('SHALLOTGATE_TOKEN', ''),
    )
    parser.add_argument('--json', action='store_true')
    return parser.parse_known_args(arguments)


def _list_commands(session: Session) -> dict[str, Any]:
    reads = ReadCommands(session)
    writes = WriteCommands(session)
    catalogue = CatalogueCommands(session)
    domains = DomainCommands(session)
    return {
        'query': QueryCommand(session).query,
        'catalogue': {
            'show': catalogue.show,
            'change': catalogue.change,
            'history': catalogue.history,
        },
        'domain': {'take-out': domains.take_out, 'return': domains.put_back},
        'instances': reads.show_instances,
        'targets': reads.show_targets,
        'snapshots': reads.show_snapshots,
        'quarantine': {
            'show': reads.show_quarantine,
            'lift': writes.lift_quarantine,
        },
        'status': reads.show_status,
        'control': {'replace': writes.replace_member},
        'settings': {'check': check_settings},
        'explain': explain,
    }
