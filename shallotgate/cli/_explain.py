"""Reconstruction of the decisions on a request from logs."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from shallotgate.cli._exits import ExitCode


def explain(request_id: str, *logs: Path) -> ExitCode:
    """Print the decisions on a request from the logs of all instances.

    :param request_id: Id of the request.
    :param logs: Log files of the instances.
    """
    lines = [
        line for path in logs for line in _find_log_lines(path, request_id)
    ]
    lines.sort(key=_get_time)
    for line in lines:
        for text in _format_line(line):
            sys.stdout.write(f'{text}\n')
    if lines:
        return ExitCode.OK
    sys.stderr.write(
        f'{request_id}: in no log; successful requests are only sampled\n',
    )
    return ExitCode.FAILED


def _get_time(line: dict[str, Any]) -> str:
    return str(line.get('time'))


def _find_log_lines(path: Path, request_id: str) -> Iterator[dict[str, Any]]:
    for text in path.read_text(errors='replace').splitlines():
        start = text.find('{')
        if start < 0 or request_id not in text:
            continue
        try:
            line = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            # Output of another program that contains the request id.
            continue
        if line.get('request_id') == request_id:
            yield line


def _format_line(line: dict[str, Any]) -> Iterator[str]:
    yield (
        f'{line.get("time")} {line.get("instance")}: status {line["status"]} '
        f'after {line["duration_ms"]} ms of {line["time_allowed_ms"]} ms, '
        f'objective {line["objective_ms"]} ms, route {line["route"]} '
        f'of table {line["table_version"]}'
    )
    for step in line['steps']:
        inputs = ', '.join(
            f'{key} {value}'
            for key, value in step.items()
            if key not in {'step', 'at_ms'}
        )
        yield f'  {step["at_ms"]:>8} ms {step["step"]}: {inputs}'
