"""Decides which client account a request belongs to."""

from dataclasses import dataclass
from typing import Literal

from shallotgate.routes import ClientAccount, RoutingTable

# An entry that has had no confirmation of its table from a leader for longer,
# in seconds, can't tell an unknown key from a new one.
_CONFIRMATION_S = 2.0


@dataclass(frozen=True)
class Authentication:
    """Result of the authentication of a request.

    ``known`` requests have an account. ``anonymous`` requests are served
    without one. ``unknown`` and ``undecided`` requests are refused; an
    ``undecided`` key may be in a newer table than the entry's own.
    """

    status: Literal['known', 'anonymous', 'unknown', 'undecided']
    # Whether the caller sent a key.
    has_key: bool = False
    account: ClientAccount | None = None

    @property
    def is_refused(self) -> bool:
        """Whether the request must not be served."""
        return self.status in {'unknown', 'undecided'}


class KeyIndex:
    """Accounts of one routing table by key."""

    def __init__(self, table: RoutingTable) -> None:
        """Index the keys of all accounts.

        ``check_table`` refuses tables in which accounts share a key. A member
        of a build without accounts accepts them; the first account has the
        key then, at all entries.
        """
        # Whether requests are authenticated.
        self.is_enabled = bool(table.accounts)
        self._accounts: dict[bytes, ClientAccount] = {}
        for account in table.accounts:
            for key in account.keys:
                self._accounts.setdefault(key.encode(), account)

    def authenticate(
        self,
        key: bytes,
        *,
        is_public: bool,
        unconfirmed_s: float,
    ) -> Authentication:
        """Return the account of a request.

        ``key`` is empty if the caller sent none; ``is_public`` is that of the
        route; ``unconfirmed_s`` is the time since a leader confirmed the
        table.
        """
        account = self._accounts.get(key) if key else None
        if account is not None:
            return Authentication('known', has_key=True, account=account)
        has_key = bool(key)
        if is_public or not self.is_enabled:
            return Authentication('anonymous', has_key)
        if unconfirmed_s > _CONFIRMATION_S:
            return Authentication('undecided', has_key)
        return Authentication('unknown', has_key)
