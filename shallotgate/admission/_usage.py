"""How much of their limits the client accounts have used."""

from typing import Protocol

# Weight of the newest request in the mean usage.
_NEWEST_WEIGHT = 0.1


class AccountUsage(Protocol):
    """Knows how much of its limit each account has used lately."""

    def get_used_share(self, account: str, now: float) -> float:
        """Return the used share; 1 is the limit, 0 if it is unknown."""


class NoUsage:
    """Usage of a tier without limits of accounts."""

    def get_used_share(self, account: str, now: float) -> float:
        """Return 0 for every account."""
        return 0


class MeanUsage:
    """Mean usage of the accounts whose requests arrive."""

    def __init__(self) -> None:
        self._mean: float | None = None

    def compare(self, share: float) -> float:
        """Add a request; return the difference from the mean before it."""
        mean = share if self._mean is None else self._mean
        self._mean = mean + (share - mean) * _NEWEST_WEIGHT
        return share - mean
