"""Requests that candidates got, or may still get, over all entries."""

from dataclasses import dataclass


@dataclass
class _Account:
    """Numbers of one start of an entry."""

    # Numbers in its first message to this leader.
    first_requests: int
    first_exposed: int
    requests: int
    exposed: int
    # Permits that it may hold. They stay reserved until its next message, even
    # if they have expired: an entry that is not heard from may have spent them.
    reserved: int = 0


class ExposureLedger:
    """Counts requests and exposure from what entries state.

    Entries state sums since they learnt of the order, so a lost message loses
    nothing, and a new leader learns the past from them. What is recorded of
    entries that are gone is known from the last mark of the former leader.
    """

    def __init__(self, marked_requests: int, marked_exposed: int) -> None:
        self._marked_requests = marked_requests
        self._marked_exposed = marked_exposed
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def __contains__(self, source: object) -> bool:
        return source in self._accounts

    def record(
        self, source: str, requests: int, exposed: int, held: int
    ) -> int:
        """Record the sums of an entry; return the requests since the last."""
        account = self._accounts.get(source)
        if account is None:
            account = _Account(requests, exposed, requests, exposed)
            self._accounts[source] = account
        added = max(requests - account.requests, 0)
        account.requests = max(requests, account.requests)
        account.exposed = max(exposed, account.exposed)
        account.reserved = held
        return added

    def reserve(self, source: str, count: int) -> None:
        """Reserve what an entry may send until its next message."""
        account = self._accounts[source]
        account.reserved = max(account.reserved, count)

    @property
    def requests(self) -> int:
        """Requests sent to the service, as far as they are known."""
        accounts = self._accounts.values()
        stated = sum(each.requests for each in accounts)
        added = sum(each.requests - each.first_requests for each in accounts)
        return max(self._marked_requests + added, stated)

    @property
    def spent(self) -> int:
        """Requests that candidates got, as far as they are known."""
        accounts = self._accounts.values()
        stated = sum(each.exposed for each in accounts)
        added = sum(each.exposed - each.first_exposed for each in accounts)
        return max(self._marked_exposed + added, stated)

    @property
    def exposed(self) -> int:
        """Requests that candidates got or may still get."""
        reserved = sum(each.reserved for each in self._accounts.values())
        return self.spent + reserved
