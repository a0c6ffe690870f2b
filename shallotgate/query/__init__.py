"""Answers to callers' queries: fan-out, merge, coverage, at most once."""

from shallotgate.query._admission import Admission, RefusedError
from shallotgate.query._check import (
    FORBIDDEN,
    encode_content,
    find_faults,
    parse_cutoff,
)
from shallotgate.query._merge import (
    BadMatchesError,
    decode_matches,
    merge_matches,
)
from shallotgate.query._service import QueryService
from shallotgate.query._task import QueryParts

__all__ = (
    'FORBIDDEN',
    'Admission',
    'BadMatchesError',
    'QueryParts',
    'QueryService',
    'RefusedError',
    'decode_matches',
    'encode_content',
    'find_faults',
    'merge_matches',
    'parse_cutoff',
)
