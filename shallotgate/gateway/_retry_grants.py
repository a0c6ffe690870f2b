"""Client for extra attempts granted by the leader."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

from shallotgate.gateway._leader_exchange import LeaderExchange, Patience
from shallotgate.generated.messages import AskExtras, GrantExtras

# The leader needs a round trip between failure domains and a few milliseconds
# of work; an attempt granted later would miss most latency objectives. The
# back-off is about the duration of an election.
_PATIENCE = Patience(timeout_s=0.04, backoff_s=0.4)

GrantCallback = Callable[[bool], None]


class RetryGrantSource(Protocol):
    """Grants extra attempts on services."""

    def request(self, service: str, callback: GrantCallback) -> None:
        """Request one attempt; the callback is called exactly once.

        It may be called before this method returns.
        """


class RetryGrantClient:
    """Requests extra attempts from the leader, on the event loop."""

    def __init__(
        self,
        send: Callable[[AskExtras], bool],
        count_entries: Callable[[], int],
    ) -> None:
        """``send`` sends a message to the leader; False if none is known."""
        self._send = send
        self._exchange: LeaderExchange[str, bool] = LeaderExchange(
            self._send_question, count_entries, _PATIENCE
        )

    def request(self, service: str, callback: GrantCallback) -> None:
        """Request one attempt; the callback is called exactly once.

        It may be called before this method returns.
        """
        self._exchange.ask(service, lambda granted: callback(bool(granted)))

    def handle_grant(self, grant: GrantExtras) -> None:
        """Distribute the grants of a reply to the waiting callbacks."""
        waiting = self._exchange.finish(grant.number)
        services = dict.fromkeys(each.item for each in waiting)
        left = dict(zip(services, grant.counts, strict=False))
        for each in waiting:
            count = left.get(each.item, 0)
            left[each.item] = count - 1
            each.callback(count > 0)

    def _send_question(self, number: int, services: Sequence[str]) -> bool:
        counts = Counter(services)
        return self._send(
            AskExtras(
                number=number,
                services=list(counts),
                counts=list(counts.values()),
            )
        )
