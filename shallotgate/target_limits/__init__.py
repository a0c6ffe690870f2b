"""Limits that targets state for the requests of all entries together."""

from shallotgate.target_limits._board import LimitBoard

__all__ = ('LimitBoard',)
