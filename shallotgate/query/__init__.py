"""Query execution: admission, fan-out, merging and at-most-once requests."""

from shallotgate.query._admission import Admission, RefusedError
from shallotgate.query._merge import (
    InvalidMatchesError,
    decode_matches,
    merge_matches,
)
from shallotgate.query._service import QueryService
from shallotgate.query._task import QueryDependencies
from shallotgate.query._validation import (
    CLASS_FORBIDDEN_REASON,
    canonicalize_request,
    parse_cutoff,
    validate_fields,
)

__all__ = (
    'CLASS_FORBIDDEN_REASON',
    'Admission',
    'InvalidMatchesError',
    'QueryDependencies',
    'QueryService',
    'RefusedError',
    'canonicalize_request',
    'decode_matches',
    'merge_matches',
    'parse_cutoff',
    'validate_fields',
)
