"""Limits over all callers of an HTTP address."""

from shallotgate.aio import TotalLimits
from shallotgate.generated.settings import Settings


def make_caller_totals(settings: Settings) -> TotalLimits:
    """Return the limits over all connections of an address."""
    return TotalLimits(
        max_connections=settings.max_caller_connections,
        max_incomplete=settings.max_caller_incomplete,
        max_bytes=settings.max_caller_bytes,
    )
