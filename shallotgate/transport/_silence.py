"""Signs that connections carry nothing although they are open."""

from collections import Counter

# A connection that carried a message this long ago or later is taken to work.
# Longer than a peer that has nothing else to say holds its reply.
_MAX_PROOF_AGE_S = 1.0


class SilenceWatch:
    """Signs seen in this process, for all of its connections.

    Connections that fall silent mostly do so together, and each finds it out
    alone only after something is sent on it. So one that is found to be silent
    puts the others in doubt that have carried nothing since. Times are in
    monotonic seconds.
    """

    def __init__(self) -> None:
        self._unproven_before = float('-inf')
        self._losses: Counter[str] = Counter()

    def record_silence(self, peer: str, now: float) -> None:
        """Record that a peer acknowledges nothing of what it is sent."""
        self._unproven_before = now - _MAX_PROOF_AGE_S
        self.record_loss(peer)

    def record_loss(self, peer: str) -> None:
        """Record a message to a peer that it did not react to."""
        self._losses[peer] += 1

    def count_losses(self, peer: str) -> int:
        """Return the number of losses, which the peer is told.

        When it rises, the peer checks its own connection to this process: the
        loss may be on the way back.
        """
        return self._losses[peer]

    def is_in_doubt(self, proven_at: float) -> bool:
        """Return whether a connection may be silent that last worked then."""
        return proven_at < self._unproven_before


def get_doubt_time(now: float) -> float:
    """Return the time since which a connection must have carried a message.

    Otherwise it may be silent, if a peer tells of a loss ``now``.
    """
    return now - _MAX_PROOF_AGE_S
