"""Operators and their bearer tokens."""

import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any

from shallotgate.errors import Finding, SettingsError
from shallotgate.settings._document import (
    Document,
    check_schema,
    read_document,
    sort_findings,
)

_SCHEMA: Mapping[str, Any] = MappingProxyType(
    {
        'type': 'object',
        'additionalProperties': False,
        'required': ['operators'],
        'properties': {
            'operators': {
                'type': 'array',
                'minItems': 1,
                'items': {
                    'type': 'object',
                    'additionalProperties': False,
                    'required': ['name', 'token'],
                    'properties': {
                        'name': {'type': 'string', 'minLength': 1},
                        # Shorter tokens could be guessed by brute force.
                        'token': {'type': 'string', 'minLength': 16},
                        'administrator': {'type': 'boolean'},
                    },
                },
            },
        },
    }
)


@dataclass(frozen=True)
class OperatorKey:
    """An operator and the token that authenticates it."""

    name: str
    # Excluded from ``repr`` so that it is never logged.
    token: str = field(repr=False)
    # Whether the operator may change entries of any owner.
    administrator: bool = False

    def matches(self, token: str) -> bool:
        """Compare a token in constant time."""
        return hmac.compare_digest(self.token.encode(), token.encode())


def load_operator_keys(path: Path | str) -> tuple[OperatorKey, ...]:
    """Load the operator keys file; raises ``SettingsError``."""
    document, findings = check_operator_keys(path)
    if findings:
        raise SettingsError(findings)
    return tuple(OperatorKey(**item) for item in document.content['operators'])


def check_operator_keys(
    path: Path | str,
) -> tuple[Document, tuple[Finding, ...]]:
    """Return the parsed operator keys file and all its findings."""
    document = read_document(path)
    findings = list(document.findings)
    if document.content is not None or not findings:
        findings.extend(check_schema(document, _SCHEMA))
        for key in ('name', 'token'):
            findings.extend(_find_duplicates(document, key))
    return document, tuple(sort_findings(findings))


def find_operator(
    keys: Iterable[OperatorKey],
    token: str,
) -> OperatorKey | None:
    """Return the operator that has a token, or None.

    Compares with every key, so that the time does not show which one matched.
    """
    found = None
    for key in keys:
        if key.matches(token):
            found = key
    return found


def _find_duplicates(document: Document, key: str) -> Iterable[Finding]:
    content = document.content
    items = content.get('operators') if isinstance(content, dict) else None
    seen = set()
    for index, item in enumerate(items if isinstance(items, list) else ()):
        text = item.get(key) if isinstance(item, dict) else None
        if isinstance(text, str) and text in seen:
            path = ('operators', index, key)
            yield document.make_finding(path, 'is used twice')
        seen.add(repr(text) if text is None else text)
