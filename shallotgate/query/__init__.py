"""Answers to callers' queries: fan-out, merge, coverage, at most once."""

from shallotgate.query._admission import Admission, RefusedError
from shallotgate.query._check import (
    CLASS_FORBIDDEN_REASON,
    canonicalize_request,
    parse_cutoff,
    validate_fields,
)
from shallotgate.query._merge import (
    BadMatchesError,
    decode_matches,
    merge_matches,
)
from shallotgate.query._service import QueryService
from shallotgate.query._task import QueryDependencies

__all__ = (
    'CLASS_FORBIDDEN_REASON',
    'Admission',
    'BadMatchesError',
    'QueryDependencies',
    'QueryService',
    'RefusedError',
    'canonicalize_request',
    'decode_matches',
    'merge_matches',
    'parse_cutoff',
    'validate_fields',
)
