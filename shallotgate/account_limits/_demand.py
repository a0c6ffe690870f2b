"""Estimate of the rate of requests."""

import math

# Time constant of the decay, in seconds.
_DECAY_S = 2.0


class DemandEstimate:
    """Decayed rate of requests, in requests a second.

    >>> demand = DemandEstimate()
    >>> for number in range(100):
    ...     demand.add(number / 10)
    >>> 9 < demand.read(10) < 11
    True
    """

    def __init__(self) -> None:
        self._per_s: float = 0
        self._updated_at = float('-inf')

    def add(self, now: float) -> None:
        """Count a request."""
        self._per_s = self.read(now) + 1 / _DECAY_S
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the rate; ``now`` is in monotonic seconds."""
        return self._per_s * math.exp((self._updated_at - now) / _DECAY_S)
