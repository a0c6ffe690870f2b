"""Requests that an entry admits before the leader knows of them."""

# Requests that may be admitted until the leader has answered. Without a leader
# an entry admits no more, as a surge could exceed the limit.
_CREDIT = 1


class Credit:
    """Credit of one entry for one account.

    >>> credit = Credit()
    >>> credit.take(), credit.take()
    (True, False)
    >>> credit.drain()
    1
    """

    def __init__(self) -> None:
        self._left = _CREDIT
        # Requests that the leader was not told of.
        self.unreported = 0

    def take(self) -> bool:
        """Admit a request if there is credit."""
        if not self._left:
            return False
        self._left -= 1
        self.unreported += 1
        return True

    def renew(self) -> None:
        """Grant new credit: the leader has answered."""
        self._left = _CREDIT

    def drain(self) -> int:
        """Return the number of requests to report, and start anew."""
        unreported = self.unreported
        self.unreported = 0
        return unreported
