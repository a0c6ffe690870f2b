"""Limits of client accounts for the requests of all entries together."""

from shallotgate.account_limits._admission import (
    AccountAdmission,
    DecisionCallback,
    QuotaDecision,
)
from shallotgate.account_limits._allocator import AccountLists, ShareAllocator
from shallotgate.account_limits._limits import get_allowance
from shallotgate.account_limits._shares import AccountShares

__all__ = (
    'AccountAdmission',
    'AccountLists',
    'AccountShares',
    'DecisionCallback',
    'QuotaDecision',
    'ShareAllocator',
    'get_allowance',
)
