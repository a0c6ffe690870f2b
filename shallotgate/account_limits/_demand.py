"""Estimate of the rate of requests."""

import math

# Usual time constant of the decay, in seconds.
_DECAY_S = 2.0
# Time constant that shows that requests have ceased, in seconds, and the
# multiple of that rate which bounds the other one.
_CEASE_S = 0.5
_CEASE_FACTOR = 2.0


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

    def read_since(self, started_at: float, now: float) -> float:
        """Return the rate if counting has begun only lately."""
        covered = 1 - math.exp((started_at - now) / self._decay_s)
        return self.read(now) / covered if covered > 0 else 0


class EntryDemand:
    """Rate of requests at one entry.

    It falls soon when callers move to another entry, but not by chance.

    >>> demand = EntryDemand()
    >>> for number in range(100):
    ...     demand.add(number / 10)
    >>> 9 < demand.read(10) < 11
    True
    >>> demand.read(11) < 4
    True
    """

    def __init__(self) -> None:
        self._usual = DemandEstimate()
        self._recent = DemandEstimate(_CEASE_S)

    def add(self, now: float) -> None:
        """Count a request."""
        self._usual.add(now)
        self._recent.add(now)

    def read(self, now: float) -> float:
        """Return the rate; ``now`` is in monotonic seconds."""
        recent = self._recent.read(now) * _CEASE_FACTOR
        return min(self._usual.read(now), recent)
