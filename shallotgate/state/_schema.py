"""Validation of catalogue changes against ``schema/catalogue.yaml``."""

import functools
from collections.abc import Iterator, Mapping
from importlib import resources
from types import MappingProxyType
from typing import Any

from jsonschema import Draft202012Validator
from ruamel.yaml import YAML

from shallotgate.generated.catalogue import ChangeFinding

# Definition of the entries of each kind.
DEFINITIONS: Mapping[str, str] = MappingProxyType(
    {
        'callers': 'Caller',
        'classes': 'ClassPolicy',
        'services': 'Service',
        'domains': 'Domain',
    }
)
# Kinds of catalogue entries.
ENTRY_KINDS = tuple(DEFINITIONS)
_SCHEMA_PATH = 'schema/catalogue.yaml'


@functools.cache
def _read_definitions() -> Mapping[str, Any]:
    source = resources.files('shallotgate').joinpath(_SCHEMA_PATH)
    schema = YAML(typ='safe').load(source.read_text(encoding='utf-8'))
    definitions: Mapping[str, Any] = schema['$defs']
    return definitions


@functools.cache
def _make_validator(definition: str) -> Draft202012Validator:
    return Draft202012Validator(
        {
            '$ref': f'#/$defs/{definition}',
            '$defs': _read_definitions(),
        }
    )


def list_findings(
    content: object,
    definition: str,
    path: str = '',
) -> Iterator[ChangeFinding]:
    """Yield every fault of a value, each with its path.

    >>> for finding in list_findings({'region': 1}, 'Domain', 'edits/0/spec'):
    ...     print(finding.path, finding.reason)
    edits/0/spec 'owner' is a required property
    edits/0/spec/region 1 is not of type 'string'
    """
    found = [
        ChangeFinding(
            path='/'.join([path, *map(str, error.absolute_path)]).strip('/'),
            reason=error.message,
        )
        for error in _make_validator(definition).iter_errors(content)
    ]
    yield from sorted(found, key=lambda finding: (finding.path, finding.reason))
