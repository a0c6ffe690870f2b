"""Input of operators and its faults."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from shallotgate.codec import CodecError, decode_json
from shallotgate.errors import Finding, FindingsError
from shallotgate.settings import Document, check_schema, load_schema

_BODY = 'body'


def make_object_schema(*names: str) -> Mapping[str, Any]:
    """Return the schema of an object whose keys all have a text."""
    return MappingProxyType(
        {
            'type': 'object',
            'additionalProperties': False,
            'required': list(names),
            'properties': {
                name: {'type': 'string', 'minLength': 1, 'maxLength': 500}
                for name in names
            },
        }
    )


def make_change_schema() -> Mapping[str, Any]:
    """Return the schema of a change; entries are left to the log."""
    definitions = load_schema('catalogue')['$defs']
    return {'$ref': '#/$defs/Change', '$defs': definitions}


def parse_body(body: bytes, schema: Mapping[str, Any]) -> Any:
    """Decode a JSON body; raises ``FindingsError`` with all findings."""
    try:
        content = decode_json(body, object)
    except (CodecError, RecursionError) as error:
        reason = f'is not JSON: {error}'
        raise FindingsError([Finding(_BODY, _BODY, reason)]) from error
    findings = check_schema(Document(_BODY, content), schema)
    if findings:
        raise FindingsError(findings)
    return content


def list_findings(error: FindingsError) -> list[dict[str, str]]:
    """Return findings as content for JSON."""
    return [
        {'path': finding.path, 'reason': finding.reason}
        for finding in error.findings
    ]
