"""How parts of an instance reach the control group."""

from typing import Protocol


class CommandPort(Protocol):
    """Commits commands of the replicated log through the leader."""

    def propose(self, command: object, timeout_s: float) -> object:
        """Commit a command and return its result message.

        The leader sets the command's ``time``. A command may be sent more
        than once: all commands are idempotent by the ids that they carry.
        Raises ``NoLeaderError`` if it was certainly not taken and
        ``CommitUnknownError`` if it may have been.
        """
