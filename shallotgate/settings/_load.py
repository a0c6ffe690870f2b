"""Loads and validates settings files."""

import dataclasses
from pathlib import Path

from shallotgate.codec import load_builtins
from shallotgate.errors import Finding, SettingsError
from shallotgate.generated.settings import Policy, Settings
from shallotgate.settings._cross import cross_check
from shallotgate.settings._document import (
    check_schema,
    load_schema,
    read_document,
    sort_findings,
)
from shallotgate.settings._keys import check_operator_keys

_SCHEMA = 'settings'


def load_settings(path: Path | str) -> Settings:
    """Load and validate a settings file.

    ``data_folder`` and ``operator_keys`` are resolved relative to the folder
    of the settings file and returned as absolute paths. A missing ``policy``
    is replaced by the default policy. Raises ``SettingsError`` with all
    findings of the settings file and of the operator keys file.
    """
    document = read_document(path)
    findings = list(document.findings)
    if document.content is not None or not findings:
        findings.extend(check_schema(document, load_schema(_SCHEMA)))
        faulty = frozenset(finding.path for finding in findings)
        findings.extend(cross_check(document, faulty))
        findings.extend(_check_keys(Path(path), document.content))
    if findings:
        raise SettingsError(sort_findings(findings))
    settings = load_builtins(document.content, Settings)
    folder = Path(path).resolve().parent
    return dataclasses.replace(
        settings,
        data_folder=_resolve(folder, settings.data_folder),
        operator_keys=_resolve(folder, settings.operator_keys),
        policy=settings.policy or Policy(),
    )


def _resolve(folder: Path, name: str) -> str:
    return str(folder / name) if name else ''


def _check_keys(path: Path, content: object) -> tuple[Finding, ...]:
    """Return the findings of the operator keys file, if it exists."""
    name = content.get('operator_keys') if isinstance(content, dict) else None
    if not isinstance(name, str) or not name:
        return ()
    keys = path.parent / name
    return check_operator_keys(keys)[1] if keys.is_file() else ()
