"""What an entry counts during orders, and the permits that it holds."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotgate.generated.messages import (
    AskExposure,
    GrantExposure,
    ObservedRollout,
    ServiceVersions,
)
from shallotgate.rollouts._granter import PERMIT_S
from shallotgate.rollouts._sums import ReplySums, SumKey

# Routes and targets counted separately in one order; more are left out.
_MAX_KEYS = 512


@dataclass
class _Order:
    """One running order at an entry."""

    number: int
    target_version: str
    held: int = 0
    # Monotonic time until which the permits are valid.
    valid_until: float = float('-inf')
    # Permits spent since the open question was asked.
    spent_since: int = 0
    requests: int = 0
    exposed: int = 0
    sums: dict[SumKey, ReplySums] = field(default_factory=dict)

    def count_held(self, now: float) -> int:
        """Return the number of valid permits."""
        return self.held if now < self.valid_until else 0


class ExposureTracker:
    """Spends permits and counts replies; ``now`` is in monotonic seconds.

    A permit is valid for a short time from the question that it answers, so an
    entry that was frozen or is out of touch has none.
    """

    def __init__(self, source: str) -> None:
        """``source`` identifies this start of the entry."""
        self._source = source
        self._orders: dict[str, _Order] = {}
        self._number = 0
        self._asked_at = float('-inf')

    def apply_rules(self, rules: Mapping[str, ServiceVersions]) -> None:
        """Follow the running orders."""
        orders: dict[str, _Order] = {}
        for service, rule in rules.items():
            if not rule.order:
                continue
            known = self._orders.get(service)
            if known is None or known.number != rule.order:
                known = _Order(rule.order, rule.other)
            orders[service] = known
        self._orders = orders

    @property
    def is_active(self) -> bool:
        """Whether any order is running."""
        return bool(self._orders)

    def holds_permit(self, service: str, now: float) -> bool:
        """Return whether the next request may go to a candidate."""
        order = self._orders.get(service)
        return order is not None and order.count_held(now) > 0

    def spend(self, service: str, now: float) -> bool:
        """Use a permit up; return whether there was one."""
        order = self._orders.get(service)
        if order is None or not order.count_held(now):
            return False
        order.held -= 1
        order.spent_since += 1
        order.exposed += 1
        return True

    def record_request(self, service: str) -> None:
        """Count a request that is sent to any target of a service."""
        order = self._orders.get(service)
        if order is not None:
            order.requests += 1

    def record_reply(
        self, service: str, version: str, key: SumKey, sums: ReplySums
    ) -> None:
        """Count a reply of a target of some version.

        ``key`` are the route and the target.
        """
        order = self._orders.get(service)
        if order is None:
            return
        if version != order.target_version:
            key = (key[0], '')
        if key in order.sums or len(order.sums) < _MAX_KEYS:
            order.sums[key] = order.sums.get(key, ReplySums()) + sums

    def make_ask(self, now: float) -> AskExposure | None:
        """Return the next question; None if no order is running."""
        if not self._orders:
            return None
        self._number += 1
        self._asked_at = now
        for order in self._orders.values():
            order.spent_since = 0
        return AskExposure(
            number=self._number,
            source=self._source,
            rollouts=[_describe(each, now) for each in self._orders.values()],
        )

    def handle_grant(self, grant: GrantExposure) -> None:
        """Take the permits of the newest question."""
        if grant.number != self._number:
            return
        counts = dict(zip(grant.orders, grant.counts, strict=True))
        for order in self._orders.values():
            count = counts.get(order.number, 0)
            # Of the permits stated with the question, some are used up.
            order.held = max(count - order.spent_since, 0)
            order.valid_until = self._asked_at + PERMIT_S


def _describe(order: _Order, now: float) -> ObservedRollout:
    sums = order.sums.values()
    return ObservedRollout(
        order=order.number,
        held=order.count_held(now),
        requests=order.requests,
        exposed=order.exposed,
        routes=[route for route, _ in order.sums],
        targets=[target for _, target in order.sums],
        replies=[each.replies for each in sums],
        failures=[each.failures for each in sums],
        slow=[each.slow for each in sums],
    )
