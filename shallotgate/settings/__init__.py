"""Loading and validation of settings and operator keys.

All findings of a file are reported together.
"""

from shallotgate.settings._document import (
    Document,
    DocumentPath,
    check_schema,
    list_schema_faults,
    load_schema,
    read_document,
    sort_findings,
)
from shallotgate.settings._keys import (
    OperatorKey,
    find_operator,
    load_operator_keys,
)
from shallotgate.settings._load import load_settings

__all__ = (
    'Document',
    'DocumentPath',
    'OperatorKey',
    'check_schema',
    'find_operator',
    'list_schema_faults',
    'load_operator_keys',
    'load_schema',
    'load_settings',
    'read_document',
    'sort_findings',
)
