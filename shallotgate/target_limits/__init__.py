"""Limits that targets state for the requests of all entries together."""

from shallotgate.target_limits._allocator import DENIED, PermitAllocator
from shallotgate.target_limits._board import NO_LIMIT, LimitBoard
from shallotgate.target_limits._bucket import TokenBucket
from shallotgate.target_limits._fallback import FallbackShare

__all__ = (
    'DENIED',
    'NO_LIMIT',
    'FallbackShare',
    'LimitBoard',
    'PermitAllocator',
    'TokenBucket',
)
