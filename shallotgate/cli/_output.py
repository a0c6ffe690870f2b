"""Output as text for people or as JSON for scripts."""

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

_INDENT = 2


class Output:
    """Writes results to standard output and messages to standard error."""

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, content: object, text: str) -> None:
        """Write the content as JSON, or the text, to standard output."""
        shown = json.dumps(content, indent=_INDENT) if self.as_json else text
        sys.stdout.write(f'{shown}\n')
        sys.stdout.flush()

    def write_message(self, text: str) -> None:
        """Write a line to standard error."""
        sys.stderr.write(f'{text}\n')
        sys.stderr.flush()


def format_table(
    rows: Iterable[Mapping[str, Any]],
    columns: Sequence[str],
) -> str:
    """Return an aligned table; a column may be a path like ``a.b``.

    >>> print(format_table([{'a': {'b': 1}, 'c': True}], ('a.b', 'c')))
    b  c
    1  yes
    """
    cells = [[column.rpartition('.')[2] for column in columns]]
    cells.extend(
        [_format_cell(row, column) for column in columns] for row in rows
    )
    widths = [max(map(len, texts)) for texts in zip(*cells, strict=True)]
    return '\n'.join(_join_cells(texts, widths) for texts in cells)


def format_pairs(content: Mapping[str, Any], indent: str = '') -> str:
    """Return nested content as indented ``key: value`` lines.

    >>> print(format_pairs({'a': 1, 'b': {'c': [2, 3]}}))
    a: 1
    b:
      c: 2, 3
    """
    lines = []
    for key, item in content.items():
        if isinstance(item, dict) and item:
            lines.append(f'{indent}{key}:')
            lines.append(format_pairs(item, f'{indent}  '))
        elif isinstance(item, list) and _has_objects(item):
            lines.append(f'{indent}{key}:')
            lines.extend(f'{indent}- {_format_item(row)}' for row in item)
        else:
            lines.append(f'{indent}{key}: {_format_item(item)}')
    return '\n'.join(lines)


def _has_objects(items: Sequence[Any]) -> bool:
    return any(isinstance(entry, dict) for entry in items)


def _join_cells(texts: Sequence[str], widths: Sequence[int]) -> str:
    padded = map(str.ljust, texts, widths)
    return '  '.join(padded).rstrip()


def _format_cell(row: Mapping[str, Any], column: str) -> str:
    current: Any = row
    for step in column.split('.'):
        current = current.get(step) if isinstance(current, dict) else None
    return _format_item(current)


def _format_item(item: Any) -> str:
    if item is None or item == '':
        return '-'
    if isinstance(item, bool):
        return 'yes' if item else 'no'
    if isinstance(item, float):
        return f'{item:.4g}'
    if isinstance(item, list):
        return ', '.join(map(_format_item, item)) or '-'
    if isinstance(item, dict):
        pairs = (f'{key}={_format_item(part)}' for key, part in item.items())
        return ' '.join(pairs)
    return str(item)
