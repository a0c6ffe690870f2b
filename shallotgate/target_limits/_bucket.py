"""Token bucket of one target."""


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity; starts empty.

    Times are monotonic, in seconds.

    >>> bucket = TokenBucket(per_s=10, capacity=5, now=0)
    >>> bucket.advance_to(0.25)
    >>> bucket.level
    2.5
    """

    def __init__(self, per_s: float, capacity: float, now: float) -> None:
        self.level: float = 0
        self._per_s = per_s
        self.capacity = capacity
        self._updated_at = now

    def set_rate(self, per_s: float, capacity: float) -> None:
        """Change rate and capacity from the last update on."""
        self._per_s = per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def advance_to(self, now: float) -> None:
        """Add the tokens that have accrued since the last update."""
        accrued = (now - self._updated_at) * self._per_s
        self.level = min(self.level + accrued, self.capacity)
        self._updated_at = now
