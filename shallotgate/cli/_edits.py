"""Reading and validation of files with catalogue edits."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

from shallotgate.errors import Finding, FindingsError
from shallotgate.settings import (
    Document,
    DocumentPath,
    check_schema,
    list_schema_faults,
    load_schema,
    read_document,
    sort_findings,
)

_SPEC_TYPES: Mapping[str, str] = MappingProxyType(
    {
        'callers': 'Caller',
        'classes': 'ClassPolicy',
        'services': 'Service',
        'domains': 'Domain',
    }
)


@dataclass(frozen=True)
class EditsFile:
    """Catalogue edits with their positions in the file."""

    document: Document
    edits: list[dict[str, Any]]
    reason: str

    def locate(self, finding: Mapping[str, str]) -> Finding:
        """Return a finding of a verdict with its line number in the file."""
        path = tuple(
            int(step) if step.isdigit() else step
            for step in finding['path'].split('/')
        )
        return self.document.make_finding(path, finding['reason'])


def load_edits(path: Path) -> EditsFile:
    """Read a YAML or JSON file with ``edits`` and an optional ``reason``.

    Raises ``FindingsError`` with all findings.
    """
    document = read_document(path)
    findings = list(document.findings)
    if document.content is not None or not findings:
        findings.extend(check_schema(document, _make_schema()))
        findings.extend(_check_specs(document))
    if findings:
        raise FindingsError(sort_findings(findings))
    content = document.content
    return EditsFile(document, content['edits'], content.get('reason', ''))


def _make_schema() -> Mapping[str, Any]:
    definitions = load_schema('catalogue')['$defs']
    properties = definitions['Change']['properties']
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': ['edits'],
        'properties': {
            'edits': properties['edits'],
            'reason': properties['reason'],
        },
        '$defs': definitions,
    }


def _check_specs(document: Document) -> list[Finding]:
    content = document.content
    edits = content.get('edits') if isinstance(content, dict) else None
    findings: list[Finding] = []
    for index, edit in enumerate(edits if isinstance(edits, list) else ()):
        if isinstance(edit, dict) and edit.get('op') == 'put':
            findings.extend(_check_spec(document, edit, index))
    return findings


def _check_spec(
    document: Document,
    edit: Mapping[str, Any],
    index: int,
) -> tuple[Finding, ...]:
    kind = _SPEC_TYPES.get(str(edit.get('kind')))
    if kind is None:
        return ()
    prefix: DocumentPath = ('edits', index, 'spec')
    definitions = load_schema('catalogue')['$defs']
    schema = {'$ref': f'#/$defs/{kind}', '$defs': definitions}
    spec = Document(document.name, edit.get('spec', {}))
    return tuple(
        document.make_finding((*prefix, *path), reason)
        for path, reason in list_schema_faults(spec, schema)
    )
