"""Attempts beyond the first: what a service bears from all entries together."""

from shallotgate.extras._budget import ExtraBudget
from shallotgate.extras._grant_pool import ExtraPool
from shallotgate.extras._policy import ExtraAllowance

__all__ = (
    'ExtraAllowance',
    'ExtraBudget',
    'ExtraPool',
)
