"""How attempts reach the owner of their target."""

from queue import SimpleQueue
from typing import Protocol

from shallotgate.generated.messages import Attempt, AttemptReply

ReplySink = SimpleQueue[AttemptReply]


class AttemptPort(Protocol):
    """Sends attempts to owners, local or remote."""

    def submit(self, owner: str, attempt: Attempt, sink: ReplySink) -> None:
        """Hand an attempt to the owner instance of its target.

        Exactly one reply is put into the sink: the owner's, or a made one of
        status ``not_run`` where it was certainly not sent, or ``timeout``
        when the time of the attempt is over.
        """

    def cancel(self, owner: str, attempt: Attempt) -> None:
        """Tell the owner that the attempt is no longer needed."""

    def is_silent(self, owner: str, since: float) -> bool:
        """Return whether an owner replied to no attempt since then.

        ``since`` is a monotonic time. Reports don't count: they still come
        in where only the way to the owner is cut.
        """
