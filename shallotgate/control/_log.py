"""What the control service needs of the replicated log."""

from collections.abc import Callable
from typing import Protocol


class ReplicatedLog(Protocol):
    """The replicated log of this control member."""

    def propose(self, command: bytes, timeout_s: float) -> object:
        """Commit a command and return the result of applying it.

        Raises ``NotLeaderError`` if it was not taken and
        ``CommitUnknownError`` if it may have been.
        """

    def read_barrier(self, timeout_s: float) -> int:
        """Wait until all that was committed before the call is applied."""

    @property
    def leader(self) -> str | None:
        """Known leader."""

    def is_leading(self) -> bool:
        """Return whether this member leads, inside its leader lease."""

    def on_leadership(self, callback: Callable[[bool], None]) -> None:
        """Call back with each gain and loss of leadership, in order."""

    def status(self) -> object:
        """Return term, indexes and members as a message or mapping."""

    def replace_member(self, instance: str, timeout_s: float) -> object:
        """Replace the identity of a member whose disk was lost."""

    def transfer_leadership(self) -> object:
        """Hand leadership over to another member."""
