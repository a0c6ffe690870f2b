"""Attempts beyond the first: what a service bears from all entries together."""

from shallotgate.extras._allowance import ExtraAllowance
from shallotgate.extras._budget import ExtraBudget
from shallotgate.extras._pool import ExtraPool

__all__ = (
    'ExtraAllowance',
    'ExtraBudget',
    'ExtraPool',
)
