"""Estimate of how long a target that pauses has left."""

# Weight of the newest pause in the moving average.
_NEWEST_WEIGHT = 0.1


class PauseEstimate:
    """Remaining time of pauses, from the delays of the replies of one route.

    Requests arrive at any moment of a pause, so that the mean delay of those
    that meet one is half of its length. A longer delay is no usual pause; it is
    expected to take as long again as it has taken.

    >>> pauses = PauseEstimate()
    >>> pauses.estimate_remaining_ms(delay_ms=20)
    20
    >>> pauses.record(delay_ms=50)
    >>> pauses.estimate_remaining_ms(delay_ms=20)
    40.0
    >>> pauses.estimate_remaining_ms(delay_ms=120)
    120
    """

    def __init__(self) -> None:
        # None before the first pause.
        self._mean_delay_ms: float | None = None

    def record(self, delay_ms: float) -> None:
        """Record by how much a reply took longer than usual."""
        if self._mean_delay_ms is None:
            self._mean_delay_ms = delay_ms
        change_ms = delay_ms - self._mean_delay_ms
        self._mean_delay_ms += change_ms * _NEWEST_WEIGHT

    def estimate_remaining_ms(self, delay_ms: float) -> float:
        """Return the remaining time, given the delay until now."""
        mean_ms = self._mean_delay_ms or 0
        return mean_ms - delay_ms / 2 if delay_ms < mean_ms * 2 else delay_ms
