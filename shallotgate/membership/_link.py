"""The way from an instance to the control leader."""

import threading
from collections.abc import Sequence
from typing import Protocol

from shallotgate.transport import Mailbox


class ControlLink(Protocol):
    """Carries calls to whoever answers for the control leader.

    The session and the command port know no more of the leader than this, so
    a relay of the region can stand in for it.
    """

    def choose(self) -> str:
        """Return the peer to ask now."""

    def call(self, peer: str, message: object, timeout_s: float) -> object:
        """Send to a peer and wait for the reply.

        Raises ``PeerUnreachableError`` if it was not sent and
        ``CallTimeoutError`` if no reply came in time.
        """

    def mark_leader(self, peer: str) -> None:
        """Note that the peer answered as the leader."""

    def mark_refused(self, peer: str, leader: str) -> None:
        """Note that the peer gave no answer or does not lead.

        ``leader`` is the leader that it named, or empty.
        """


class DirectLink:
    """Asks the control members themselves, the known leader first."""

    def __init__(self, mailbox: Mailbox, members: Sequence[str]) -> None:
        self._mailbox = mailbox
        self._members = tuple(members)
        self._lock = threading.Lock()
        self._choice = self._members[0]

    def choose(self) -> str:
        """Return the known leader, or the member to try next."""
        return self._choice

    def call(self, peer: str, message: object, timeout_s: float) -> object:
        """Call a member; errors are those of ``Mailbox.call``."""
        return self._mailbox.call(peer, message, timeout_s)

    def mark_leader(self, peer: str) -> None:
        """Ask this peer from now on."""
        with self._lock:
            self._choice = peer

    def mark_refused(self, peer: str, leader: str) -> None:
        """Ask the named leader or the next member from now on."""
        with self._lock:
            if self._choice != peer:
                # Another thread has found out already.
                return
            if leader and leader != peer:
                self._choice = leader
            else:
                self._choice = self._find_next(peer)

    def _find_next(self, peer: str) -> str:
        if peer not in self._members:
            return self._members[0]
        position = self._members.index(peer) + 1
        return self._members[position % len(self._members)]
