"""Time for which messages to a peer stay unacknowledged."""


class AcknowledgementTimer:
    """Measures how long a connection has carried nothing to its peer.

    A message is identified by its send time on the monotonic clock of this
    process. Each message from the peer states the newest one that arrived
    there. That the peer is heard says nothing about this direction: each
    direction has a connection of its own. As in TCP, the time restarts with
    each acknowledgement of a further message. Times are in seconds.

    >>> timer = AcknowledgementTimer()
    >>> timer.record_sent(1.0, now=1.0)
    >>> timer.get_waiting_s(now=3.0)
    2.0
    >>> timer.record_acknowledged(1.0, now=3.0)
    >>> timer.get_waiting_s(now=4.0)
    0
    """

    def __init__(self) -> None:
        # Send times of the newest message and of the newest acknowledged one.
        self._sent_at = float('-inf')
        self._acknowledged = float('-inf')
        # Time of the last progress.
        self._restarted_at = float('-inf')
        # Send time of the newest message that the present connection carried.
        self._proven_at = float('-inf')

    @property
    def proven_at(self) -> float:
        """Time at which the connection last worked; a new one is taken to."""
        return self._proven_at

    def record_sent(self, sent_at: float, now: float) -> None:
        """Record that a message was passed to the connection."""
        if self._acknowledged >= self._sent_at:
            self._restarted_at = now
        self._sent_at = max(self._sent_at, sent_at)

    def record_acknowledged(self, sent_at: float, now: float) -> None:
        """Record the send time of a message that arrived at the peer.

        A time in the future belongs to a former process of this instance.
        """
        if self._acknowledged < sent_at <= now:
            self._acknowledged = sent_at
            self._restarted_at = now
            self._proven_at = max(self._proven_at, sent_at)

    def record_replaced(self, now: float) -> None:
        """Record a new connection; nothing was sent on it yet."""
        self._acknowledged = max(self._acknowledged, self._sent_at)
        self._proven_at = now

    def get_waiting_s(self, now: float) -> float:
        """Return how long the peer has acknowledged nothing of what was sent.

        0 if everything is acknowledged.
        """
        if self._acknowledged >= self._sent_at:
            return 0
        return now - self._restarted_at
