"""Serves the requests of callers."""

import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import TypeVar

from shallotgate.aio import IncomingRequest, Response, ServerLimits
from shallotgate.errors import FindingsError
from shallotgate.extras import ExtraAllowance, ExtraBudget
from shallotgate.gateway._call import Call
from shallotgate.gateway._crashes import BarredContents, Content
from shallotgate.gateway._directory import Directory
from shallotgate.gateway._dispatch import Dispatch, Outcome, ServicePorts
from shallotgate.gateway._fan_out import DispatchMaker, Gather, Gathered
from shallotgate.gateway._latency import RecentLatency
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import ExtraLender
from shallotgate.gateway._target_chooser import TargetChooser
from shallotgate.gateway._trace import RequestTrace
from shallotgate.gateway._warm_up import WarmUpGate
from shallotgate.gateway._wire import CallerRequest, Wire
from shallotgate.logs import get_logger
from shallotgate.routes import (
    Route,
    RouteIndex,
    RoutingTable,
    Service,
    SplitChooser,
)

_LOGGER = get_logger('gateway')
_T = TypeVar('_T')
_MS_PER_S = 1000
# The answer leaves this much before the caller stops to wait, in seconds.
_ANSWER_MARGIN_S = 0.01
# Share of the latency objective, and times in seconds, that are left for the
# work of this entry at the end: merging, waiting for the processor, and for
# each shard its signature, which is put together and sent.
_OWN_SHARE = 0.05
_OWN_S = 0.002
_OWN_SHARD_S = 0.00006
# Share of the objective that is left for the way of request and answer if the
# round-trip time is unknown.
_WAY_SHARE = 0.1
# Callers come back within this span after a refusal, in seconds, spread so
# that they do not all come at once. Backends take new work within tens of
# milliseconds; an entry without configuration needs longer.
_RETRY_MIN_S = 0.02
_RETRY_MAX_S = 0.1
_RETRY_UNREADY_S = 0.5
# Part of the connections of a target that all entries together use.
_LINKS_PART = 0.8
# Assumed time of a reply before any is known, as a share of the objective. The
# first replies of an entry wait for connections too.
_INITIAL_SHARE = 0.25


@dataclass(frozen=True)
class _InForce:
    """A routing table and what was made for it."""

    table: RoutingTable
    index: RouteIndex
    services: dict[str, Service]
    splits: dict[str, SplitChooser]


class Gateway:
    """Routes requests to targets and answers callers."""

    def __init__(
        self,
        wire: Wire,
        directory: Directory,
        domain: str,
        allowance: ExtraAllowance,
        generator: random.Random,
        reporter: RequestReporter,
        lender: ExtraLender,
        barred: BarredContents,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._domain = domain
        self._allowance = allowance
        self._generator = generator
        self._reporter = reporter
        self._lender = lender
        self._barred = barred
        self._chooser = TargetChooser(domain, generator)
        self._in_force: _InForce | None = None
        self._budgets: dict[str, ExtraBudget] = {}
        self._latencies: dict[str, RecentLatency] = {}
        self._entries = 1
        # Ports by route and service, made when first needed.
        self._ports: dict[tuple[str, str], ServicePorts] = {}

    @property
    def version(self) -> int:
        """Version of the table in force; -1 without one."""
        return self._in_force.table.version if self._in_force else -1

    @property
    def entries(self) -> int:
        """Entries that share the limits of the targets."""
        return self._entries

    @entries.setter
    def entries(self, count: int) -> None:
        if count != self._entries:
            self._entries = count
            self._ports.clear()

    def read_limits(self) -> ServerLimits:
        """Return the limits for callers."""
        if self._in_force is None:
            return ServerLimits()
        limits = self._in_force.table.limits
        return ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    def put_in_force(self, table: RoutingTable) -> None:
        """Use a table if it is newer than the one in force."""
        if table.version <= self.version:
            return
        services = {service.name: service for service in table.services}
        splits = {
            route.name: SplitChooser(route, self._generator.random())
            for route in table.routes
            if len(route.choices) > 1
        }
        self._in_force = _InForce(table, RouteIndex(table), services, splits)
        self._ports.clear()
        names = {route.name for route in table.routes}
        self._budgets = _keep_known(self._budgets, services)
        self._latencies = _keep_known(self._latencies, names)
        _LOGGER.info(
            'Table in force.',
            extra={
                'version': table.version,
                'routes': len(table.routes),
                'services': len(services),
            },
        )

    async def handle(self, request: IncomingRequest) -> Response:
        """Answer a caller."""
        try:
            caller = self._wire.read_request(request)
        except FindingsError as error:
            _LOGGER.info('Request refused: %s', error)
            return self._wire.refuse(400, None)
        in_force = self._in_force
        if in_force is None:
            self._reporter.count('refused_unready')
            return self._wire.refuse(503, _RETRY_UNREADY_S)
        path = request.path.decode('latin-1')
        route = in_force.index.find(caller.host, path)
        if route is None:
            self._reporter.count('no_route')
            return self._wire.refuse(404, None)
        call = self._make_call(request, caller, route)
        try:
            with self._reporter.observe(call) as observed:
                response = await self._serve(call, in_force)
                observed.conclude(response.status)
        finally:
            # Also if the caller has left.
            self._barred.follow_end(call.content, call.crashes)
        return response

    def _make_call(
        self,
        request: IncomingRequest,
        caller: CallerRequest,
        route: Route,
    ) -> Call:
        patience_ms: float = route.timeout_ms
        if caller.patience_ms is not None:
            patience_ms = min(patience_ms, caller.patience_ms)
        objective_s = route.objective_ms / _MS_PER_S
        way_s = request.way_s or objective_s * _WAY_SHARE
        own_s = (
            objective_s * _OWN_SHARE + _OWN_S + len(route.shards) * _OWN_SHARD_S
        )
        return Call(
            caller=caller,
            content=Content(
                request.method,
                caller.host,
                request.path,
                request.body,
            ),
            route=route,
            version=self.version,
            received_at=request.received_at,
            deadline=request.received_at
            + patience_ms / _MS_PER_S
            - _ANSWER_MARGIN_S,
            trace=RequestTrace(len(route.shards)),
            answer_by=request.received_at + objective_s - way_s - own_s,
        )

    async def _serve(self, call: Call, in_force: _InForce) -> Response:
        barred_s = self._barred.read_left_s(call.content)
        if barred_s:
            call.trace.add('barred', left_s=barred_s)
            self._reporter.count('refused_barred')
            return self._wire.refuse(503, barred_s)
        make_dispatch = self._prepare(call, in_force)
        if call.route.shards:
            gathered = await Gather(call, make_dispatch).run()
            return self._answer_gathered(call, gathered)
        split = in_force.splits.get(call.route.name)
        service = split.choose() if split else call.route.choices[0].service
        outcome = await make_dispatch(service, _always).run()
        return self._answer_single(call, outcome)

    def _prepare(
        self,
        call: Call,
        in_force: _InForce,
    ) -> DispatchMaker:
        now = time.monotonic()

        def make_dispatch(  # noqa: WPS430
            name: str,
            may_hedge: Callable[[], bool],
        ) -> Dispatch:
            ports = self._find_ports(call.route, in_force.services[name])
            ports.budget.earn(now, self._entries)
            return Dispatch(ports, call, name, may_hedge)

        return make_dispatch

    def _find_ports(self, route: Route, service: Service) -> ServicePorts:
        key = (route.name, service.name)
        ports = self._ports.get(key)
        if ports is None:
            links = service.max_connections * _LINKS_PART / self._entries
            ports = ServicePorts(
                wire=self._wire,
                directory=self._directory,
                chooser=self._chooser,
                budget=self._find_budget(service.name),
                lender=self._lender,
                latency=self._find_latency(route),
                domain=self._domain,
                max_links=max(int(links), 1),
                are_links_scarce=links < 1,
                warm_up=WarmUpGate(
                    service.warm_up_per_s,
                    self._entries,
                    self._generator,
                ),
                on_event=self._reporter.count,
            )
            self._ports[key] = ports
        return ports

    def _find_budget(self, service: str) -> ExtraBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraBudget(self._allowance)
            self._budgets[service] = budget
        return budget

    def _find_latency(self, route: Route) -> RecentLatency:
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = RecentLatency(route.objective_ms * _INITIAL_SHARE)
            self._latencies[route.name] = latency
        return latency

    def _answer_gathered(self, call: Call, gathered: Gathered) -> Response:
        if gathered.status == 'answered':
            if gathered.missing:
                self._reporter.count('partial')
                call.trace.add('partial', missing=gathered.missing)
                call.trace.is_notable = True
            return self._wire.make_merged(
                gathered.signatures,
                gathered.missing,
                gathered.body,
            )
        if gathered.status == 'not_run':
            return self._refuse_for_now()
        return self._wire.refuse(
            504 if gathered.status == 'late' else 502, None
        )

    def _answer_single(self, call: Call, outcome: Outcome) -> Response:
        if outcome.reply is not None:
            return self._wire.pass_on(outcome.reply)
        if outcome.status == 'not_run':
            return self._refuse_for_now()
        is_late = time.monotonic() >= call.deadline
        return self._wire.refuse(504 if is_late else 502, None)

    def _refuse_for_now(self) -> Response:
        self._reporter.count('refused')
        retry_after_s = self._generator.uniform(_RETRY_MIN_S, _RETRY_MAX_S)
        return self._wire.refuse(503, retry_after_s)


def _keep_known(former: dict[str, _T], known: Collection[str]) -> dict[str, _T]:
    """Return what belongs to routes or services that still exist."""
    return {name: one for name, one in former.items() if name in known}


def _always() -> bool:
    return True
