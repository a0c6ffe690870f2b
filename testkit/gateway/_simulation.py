"""A gateway entry with simulated targets."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from shallotgate.aio import IncomingRequest, ReplyLimits, Response
from shallotgate.extras import RetryBudgetPolicy, RetryGrantPool
from shallotgate.gateway import (
    ContentBlocklist,
    Directory,
    Gateway,
    GatewayOptions,
    PermitClient,
    RequestReporter,
    RetryGrantClient,
)
from shallotgate.generated.messages import (
    AskContentTrial,
    AskExtras,
    AskPermits,
    ContentSurvived,
    CrashRecorded,
    CrashReport,
    GrantExtras,
    GrantPermits,
    ListedTarget,
    ListingUpdate,
)
from shallotgate.metrics import Metrics
from shallotgate.pacing import PaceLimiter
from shallotgate.routes import Route, RoutingTable, Service, WeightedService
from shallotgate.target_limits import LimitBoard, PermitAllocator
from testkit.gateway._plain_wire import PlainWire
from testkit.gateway._targets import SimulatedPool, SimulatedTarget

ContentMessage = CrashReport | AskContentTrial | ContentSurvived

_MS_PER_S = 1000
# Replicas per service.
_REPLICAS = 3
# Failure domains, assigned to targets round-robin.
DOMAINS = 'abc'
_SEED = 7
# Retry budget of each service.
SLACK = 100
ALLOWED_RATIO = 0.2
WINDOW_S = 10
_MAX_CONNECTIONS = 50
# Round trip from an entry to the leader, in seconds.
_LEADER_LATENCY_S = 0.004


class SimulatedEntry:
    """A gateway with a single route to ``shards`` services.

    The route is a fan-out unless there is only one shard. Additional keywords
    are fields of the route.
    """

    def __init__(
        self,
        shards: int,
        slack: float = SLACK,
        warm_up_per_s: float = 0,
        max_connections: int = _MAX_CONNECTIONS,
        seed: int = _SEED,
        domain: str = 'a',
        targets: Mapping[str, Sequence[SimulatedTarget]] | None = None,
        **route: object,
    ) -> None:
        """Create the entry.

        ``targets`` are targets shared with other entries, by service.
        """
        self.pacer = PaceLimiter(
            lambda: self.gateway.entries,
            random.Random(seed),  # noqa: S311 - no secret
        )
        self.directory = Directory(pacer=self.pacer)
        allowance = RetryBudgetPolicy(ALLOWED_RATIO, slack, WINDOW_S)
        # Retry grants of the leader; None while no leader is known.
        self.pool: RetryGrantPool | None = None
        self._retry_grants = RetryGrantClient(
            self._ask_leader,
            lambda: self.gateway.entries,
        )
        # Limits of targets and permits of the leader; None while no leader is
        # known.
        self.limits: LimitBoard | None = None
        self.allocator: PermitAllocator | None = None
        self._permits = PermitClient(
            self._ask_permits,
            lambda: self.gateway.entries,
            random.Random(seed),  # noqa: S311 - no secret
        )
        # Crash reports sent to the leader.
        self.reports: list[CrashReport] = []
        # Takes all messages about contents that crash targets. Without it only
        # reports arrive.
        self.tell_leader: Callable[[ContentMessage], None] | None = None
        self.blocklist = ContentBlocklist(self._send_content_message)
        self.metrics = Metrics()
        self.gateway = Gateway(
            wire=PlainWire(),
            directory=self.directory,
            options=GatewayOptions(domain, allowance, ReplyLimits()),
            generator=random.Random(seed),  # noqa: S311 - no secret
            reporter=RequestReporter(self.metrics),
            retry_grants=self._retry_grants,
            permits=self._permits,
            blocklist=self.blocklist,
        )
        self.gateway.entries = 1
        names = tuple(f's{number}' for number in range(shards))
        self.targets = targets or {
            name: [
                SimulatedTarget(f'{name}-{copy}') for copy in range(_REPLICAS)
            ]
            for name in names
        }
        self.list_targets()
        fields: dict[str, object] = {
            'is_repeatable': True,
            'timeout_ms': 1000,
            'objective_ms': 100,
            'max_attempts': 2,
            'shards': names if shards > 1 else (),
            'choices': () if shards > 1 else (WeightedService(names[0]),),
            'top_count': 5,
            'min_coverage': 0.8,
            **route,
        }
        services = tuple(
            Service(
                name,
                max_connections=max_connections,
                warm_up_per_s=warm_up_per_s,
            )
            for name in names
        )
        only_route = Route('r', 'host', '/', **fields)  # type: ignore[arg-type]
        self.table = RoutingTable(1, (only_route,), services)
        self.gateway.activate_table(self.table)

    async def send_request(
        self,
        request_id: str,
        network_s: float = 0,
        key: bytes = b'',
    ) -> tuple[Response, float]:
        """Send a request; return the response and the latency in ms."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await self.gateway.handle(
            IncomingRequest(
                method=b'GET',
                path=b'/x',
                headers=[(b'key', key)] if key else [],
                body=request_id.encode(),
                received_at=started_at,
                network_s=network_s,
            ),
        )
        return response, (loop.time() - started_at) * _MS_PER_S

    async def send_requests(
        self,
        count: int,
        per_s: float,
    ) -> list[tuple[Response, float]]:
        """Send requests at a fixed rate; return responses and latencies."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(self.send_request(f'q{number}')))
            await asyncio.sleep(1 / per_s)  # noqa: WPS476 - paces requests
        return list(await asyncio.gather(*tasks))

    def list_all_targets(self) -> list[SimulatedTarget]:
        """Return the targets of all services."""
        return [
            target for targets in self.targets.values() for target in targets
        ]

    def count_in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return sum(
            len(known.health.in_flight)
            for service in self.targets
            for known in self.directory.list_usable(service)
        )

    def count_connections(self, target: str) -> int:
        """Return the number of open connections to a target."""
        return sum(
            known.pool.size
            for service in self.targets
            for known in self.directory.list_usable(service)
            if known.listed.target == target
        )

    def _ask_leader(self, ask: AskExtras) -> bool:
        if self.pool is None:
            return False
        loop = asyncio.get_running_loop()
        counts = [
            self.pool.grant(service, count, loop.time())
            for service, count in zip(ask.services, ask.counts, strict=True)
        ]
        granted = GrantExtras(number=ask.number, counts=counts)
        loop.call_later(
            _LEADER_LATENCY_S, self._retry_grants.handle_grant, granted
        )
        return True

    def _send_content_message(self, message: ContentMessage) -> bool:
        if isinstance(message, CrashReport):
            self.reports.append(message)
            if self.tell_leader is None:
                asyncio.get_running_loop().call_soon(
                    self.blocklist.confirm_report,
                    CrashRecorded(report=message.report),
                )
        if self.tell_leader is None:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(_LEADER_LATENCY_S, self.tell_leader, message)
        return True

    def _ask_permits(self, ask: AskPermits) -> bool:
        if self.allocator is None or self.limits is None:
            return False
        loop = asyncio.get_running_loop()
        self.limits.record_needed(ask.limited, ask.limits, loop.time())
        limits = self.limits.list_limits(loop.time())
        granted = GrantPermits(
            number=ask.number,
            leading=True,
            granted=[
                self.allocator.grant(request, limits, loop.time())
                for request in ask.requests
            ],
        )
        loop.call_later(_LEADER_LATENCY_S, self._permits.handle_grant, granted)
        return True

    def list_targets(self, revision: int = 1) -> Sequence[ListedTarget]:
        """Apply and return a list of the targets."""
        listed = [
            ListedTarget(
                target=target.name,
                service=service,
                address=target.name,
                domain=DOMAINS[number % len(DOMAINS)],
                slots=target.slots,
            )
            for service, targets in self.targets.items()
            for number, target in enumerate(targets)
        ]
        self.directory.update(
            ListingUpdate(
                source='x', revision=revision, full=True, targets=listed
            ),
        )
        self.restore_pools()
        return listed

    def restore_pools(self) -> None:
        """Connect targets that were listed anew to the simulated ones."""
        by_name = {target.name: target for target in self.list_all_targets()}
        for service in self.targets:
            for known in self.directory.list_usable(service):
                if not isinstance(known.pool, SimulatedPool):
                    known.pool = SimulatedPool(  # type: ignore[assignment]
                        by_name[known.listed.target],
                    )
