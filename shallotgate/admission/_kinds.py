"""Kinds of requests and the priorities of the services that they use."""

from bisect import bisect_left
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from shallotgate.admission._odds import Rank


@dataclass(frozen=True)
class RequestKind:
    """Requests of one route."""

    name: str
    # Priority of the route; 0 is the most urgent.
    priority: int
    # Shards of a fan-out, or the alternatives of a single service.
    services: tuple[str, ...]
    # Shards that an answer needs; 1 for a single service.
    needed: int
    objective_ms: float


class KindIndex:
    """Finds the kinds and priorities of a service."""

    def __init__(
        self,
        kinds: Sequence[RequestKind] = (),
        account_priorities: Collection[int] = (),
    ) -> None:
        """Create the index; accounts may use all kinds."""
        self.by_name = {kind.name: kind for kind in kinds}
        self._by_service: dict[str, list[RequestKind]] = {}
        for kind in kinds:
            self._add(kind)
        self._priorities = {
            service: sorted(
                {user.priority for user in users} | set(account_priorities)
            )
            for service, users in self._by_service.items()
        }

    @property
    def services(self) -> frozenset[str]:
        """Services of all kinds."""
        return frozenset(self._by_service)

    def list_kinds(self, service: str) -> Sequence[RequestKind]:
        """Return the kinds of requests that a service receives."""
        return self._by_service.get(service, ())

    def find_rank(self, service: str, priority: int) -> Rank:
        """Return the position of a priority at a service."""
        priorities = self._priorities.get(service, [priority])
        position = bisect_left(priorities, priority)
        return Rank(min(position, len(priorities) - 1), len(priorities))

    def find_needed(self, kind: RequestKind, priority: int) -> int:
        """Return how many shards decide on the pressure on a request.

        At least as many as for more urgent kinds with the same shards: those
        must not be refused more often.
        """
        return max(
            kind.needed,
            *(
                other.needed
                for other in self.list_kinds(kind.services[0])
                if other.priority <= priority
                and other.services == kind.services
            ),
            0,
        )

    def _add(self, kind: RequestKind) -> None:
        for service in kind.services:
            self._by_service.setdefault(service, []).append(kind)
