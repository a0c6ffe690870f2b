"""State machine that the log drives."""

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic state; called by one thread at a time."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result.

        An exception is handed to the proposer; the state must then be the
        same on all members.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
