"""What was received from each peer."""

from dataclasses import dataclass, field

from shallotgate.transport._envelope import AgeEstimator, Envelope


@dataclass
class _PeerReceipts:
    start_id: str
    # Send time of its newest message, on its clock.
    newest_sent_at: float
    # Monotonic time at which it was last heard.
    received_at: float
    # Losses that it has told of.
    losses: int = 0
    estimator: AgeEstimator = field(default_factory=AgeEstimator)


class Receipts:
    """Newest message of each peer and the delay of its messages.

    Only the receiving thread records messages.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _PeerReceipts] = {}

    def record(self, envelope: Envelope, now: float) -> float:
        """Record a message received at a monotonic time.

        Returns its delay in seconds beyond the shortest delay observed from
        this start of the sender.
        """
        peer = self._peers.get(envelope.sender)
        if peer is None or peer.start_id != envelope.start_id:
            peer = _PeerReceipts(
                envelope.start_id, envelope.sent_at, now, envelope.losses
            )
            self._peers[envelope.sender] = peer
        peer.received_at = now
        peer.losses = max(peer.losses, envelope.losses)
        peer.newest_sent_at = max(peer.newest_sent_at, envelope.sent_at)
        return peer.estimator.estimate(envelope.sent_at, now)

    def tells_of_loss(self, envelope: Envelope) -> bool:
        """Return whether a message that is not recorded yet tells of a loss."""
        peer = self._peers.get(envelope.sender)
        return (
            peer is not None
            and peer.start_id == envelope.start_id
            and peer.losses < envelope.losses
        )

    def get_received_at(self, name: str) -> float:
        """Return the monotonic time of the last message from a peer."""
        peer = self._peers.get(name)
        return float('-inf') if peer is None else peer.received_at

    def get_newest_sent_at(self, name: str) -> float:
        """Return the send time of a peer's newest message, on its clock.

        Minus infinity if nothing was received from it.
        """
        peer = self._peers.get(name)
        return float('-inf') if peer is None else peer.newest_sent_at
