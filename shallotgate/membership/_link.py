"""Transport from an instance to the control leader."""

import threading
from collections.abc import Sequence
from typing import Protocol

from shallotgate.transport import Mailbox


class ControlLink(Protocol):
    """Sends calls to the control leader or its proxy.

    Session and command port depend only on this interface, so a regional
    relay can replace the direct link.
    """

    def choose(self) -> str:
        """Return the peer to call."""

    def call(self, peer: str, message: object, timeout_s: float) -> object:
        """Send to a peer and wait for the reply.

        Raises ``PeerUnreachableError`` if it was not sent and
        ``CallTimeoutError`` if no reply came in time.
        """

    def mark_leader(self, peer: str) -> None:
        """Record that the peer replied as the leader."""

    def mark_refused(self, peer: str, leader: str) -> None:
        """Record that the peer did not reply or does not lead.

        ``leader`` is the leader according to the peer, or empty.
        """


class DirectLink:
    """Calls control members directly, the known leader first."""

    def __init__(self, mailbox: Mailbox, members: Sequence[str]) -> None:
        self._mailbox = mailbox
        self._members = tuple(members)
        self._lock = threading.Lock()
        self._preferred = self._members[0]

    def choose(self) -> str:
        """Return the known leader or the next member to try."""
        return self._preferred

    def call(self, peer: str, message: object, timeout_s: float) -> object:
        """Call a member; errors are those of ``Mailbox.call``."""
        return self._mailbox.call(peer, message, timeout_s)

    def mark_leader(self, peer: str) -> None:
        """Prefer this peer."""
        with self._lock:
            self._preferred = peer

    def mark_refused(self, peer: str, leader: str) -> None:
        """Prefer the named leader or the next member."""
        with self._lock:
            if self._preferred != peer:
                # Another thread has already moved on.
                return
            if leader and leader != peer:
                self._preferred = leader
            else:
                self._preferred = self._find_next(peer)

    def _find_next(self, peer: str) -> str:
        if peer not in self._members:
            return self._members[0]
        next_index = self._members.index(peer) + 1
        return self._members[next_index % len(self._members)]
