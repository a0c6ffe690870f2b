"""Estimate of the rate of requests."""

import math

# Usual time constant of the decay, in seconds.
_DECAY_S = 2.0


class DemandEstimate:
    """Decayed rate of requests, in requests a second.

    >>> demand = DemandEstimate()
    >>> for number in range(100):
    ...     demand.add(number / 10)
    >>> 9 < demand.read(10) < 11
    True
    """

    def __init__(self, decay_s: float = _DECAY_S) -> None:
        self._decay_s = decay_s
        self._per_s: float = 0
        self._updated_at = float('-inf')

    def add(self, now: float, count: int = 1) -> None:
        """Count requests."""
        self._per_s = self.read(now) + count / self._decay_s
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the rate; ``now`` is in monotonic seconds."""
        return self._per_s * math.exp((self._updated_at - now) / self._decay_s)
