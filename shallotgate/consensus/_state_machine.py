"""Interface of the replicated state machine."""

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic state machine; called by one thread at a time."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result.

        An exception is passed to the proposer. The state must be the same on
        all members in this case, too.
        """

    def snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with an encoded one."""
