"""Times at which refused requests may come again."""

# Times are given out up to this far ahead, in seconds, or one place ahead if
# that is longer. Callers wait no longer than a third of their time for an
# answer, so later times would stay unused, and they would only delay those who
# ask after a surge.
_HORIZON_S = 1.0


class RetryLine:
    """Spreads the requests that were refused over the next places.

    Times are monotonic, in seconds.

    >>> line = RetryLine()
    >>> line.open(first_at=10.2, spacing_s=0.1)
    >>> [round(line.take(now=10), 1) for _ in range(3)]
    [0.2, 0.3, 0.4]
    """

    def __init__(self) -> None:
        self._first_at = float('-inf')
        self._next_at = float('-inf')
        self._spacing_s: float = 0

    def open(self, first_at: float, spacing_s: float) -> None:
        """Note when the next place becomes free, and the one after it.

        Times that were given out already are not given out again.
        """
        self._first_at = first_at
        self._spacing_s = spacing_s
        self._next_at = max(self._next_at, first_at)

    def take(self, now: float) -> float:
        """Return the seconds until the next free place."""
        horizon = max(now + _HORIZON_S, self._first_at + self._spacing_s)
        if self._next_at > horizon:
            self._next_at = self._first_at
        taken_at = max(self._next_at, now)
        self._next_at = taken_at + self._spacing_s
        return taken_at - now
