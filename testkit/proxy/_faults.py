"""Faults of a link."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """What a link does to the bytes that cross it."""

    # One-way delay in milliseconds, in both directions.
    delay_ms: float = 0
    # Swallow what the dialling end sends, without a reset.
    drop_forward: bool = False
    # Swallow what the listening end sends, without a reset.
    drop_backward: bool = False
    # Reset present and new connections.
    reset: bool = False
    # Largest rate in each direction of a connection; 0 for no limit.
    bytes_per_s: float = 0

    def drops(self, *, forward: bool) -> bool:
        """Return whether bytes in a direction are swallowed."""
        return self.drop_forward if forward else self.drop_backward


HEALTHY = Fault()
