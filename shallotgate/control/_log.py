"""Interface of the replicated log that the control service uses."""

from collections.abc import Callable
from typing import Protocol


class ReplicatedLog(Protocol):
    """Replicated log of this control member."""

    def propose(self, command: bytes, timeout_s: float) -> object:
        """Commit a command and return the result of applying it.

        Raises ``NotLeaderError`` if the command was not accepted, and
        ``CommitUnknownError`` if it may have been committed.
        """

    def read_barrier(self, timeout_s: float) -> int:
        """Wait until every entry committed before this call is applied."""

    @property
    def leader(self) -> str | None:
        """Name of the leader, or ``None`` if it is unknown."""

    def is_leading(self) -> bool:
        """Return whether this member leads and its leader lease is valid."""

    def on_leadership(self, callback: Callable[[bool], None]) -> None:
        """Call back on each gain and loss of leadership, in order."""

    def status(self) -> object:
        """Return the term, indexes and members as a message or mapping."""

    def replace_member(self, instance: str, timeout_s: float) -> object:
        """Replace the identity of a member whose disk was lost."""

    def transfer_leadership(self) -> object:
        """Transfer leadership to another member."""
