"""Retry budget: bound on extra attempts across all entries."""

from shallotgate.extras._budget import RetryBudget
from shallotgate.extras._grant_pool import RetryGrantPool
from shallotgate.extras._policy import RetryBudgetPolicy
from shallotgate.extras._sliding_window import SlidingWindowCounter

__all__ = (
    'RetryBudget',
    'RetryBudgetPolicy',
    'RetryGrantPool',
    'SlidingWindowCounter',
)
