"""Validation of request bodies sent by operators."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from shallotgate.codec import CodecError, decode_json
from shallotgate.errors import Finding, FindingsError
from shallotgate.settings import Document, check_schema, load_schema

_BODY_NAME = 'body'


def make_text_object_schema(*names: str) -> Mapping[str, Any]:
    """Return the schema of an object of required, non-empty strings."""
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
    """Return the schema of a change, without the schemas of its entries.

    Entries are validated when the command is applied from the log.
    """
    definitions = load_schema('catalogue')['$defs']
    return {'$ref': '#/$defs/Change', '$defs': definitions}


def parse_body(body: bytes, schema: Mapping[str, Any]) -> Any:
    """Decode and validate a JSON body.

    Raises ``FindingsError`` with all findings.
    """
    try:
        content = decode_json(body, object)
    except (CodecError, RecursionError) as error:
        reason = f'is not JSON: {error}'
        raise FindingsError(
            [Finding(_BODY_NAME, _BODY_NAME, reason)]
        ) from error
    findings = check_schema(Document(_BODY_NAME, content), schema)
    if findings:
        raise FindingsError(findings)
    return content


def encode_findings(error: FindingsError) -> list[dict[str, str]]:
    """Return findings as JSON-serializable objects."""
    return [
        {'path': finding.path, 'reason': finding.reason}
        for finding in error.findings
    ]
