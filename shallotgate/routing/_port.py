"""Interface for sending attempts to the owners of their targets."""

from queue import SimpleQueue
from typing import Protocol

from shallotgate.generated.messages import Attempt, AttemptReply

ReplySink = SimpleQueue[AttemptReply]


class AttemptPort(Protocol):
    """Sends attempts to owners, local or remote."""

    def submit(self, owner: str, attempt: Attempt, sink: ReplySink) -> None:
        """Send an attempt to the instance that owns its target.

        Exactly one reply is put into the sink: that of the owner, or a
        generated one, for example of status ``not_run`` if the attempt was
        certainly not sent, or ``timeout`` if the attempt has expired.
        """

    def cancel(self, owner: str, attempt: Attempt) -> None:
        """Cancel an attempt at the owner of its target."""

    def is_silent(self, owner: str, since: float) -> bool:
        """Return whether an owner has not replied to any attempt since.

        ``since`` is a monotonic time. Reports don't count: they still arrive
        if only the direction towards the owner is cut.
        """
