"""Entry point for caller requests."""

import random
import time
from collections.abc import Callable

from shallotgate.aio import IncomingRequest, Response, ServerLimits
from shallotgate.errors import FindingsError
from shallotgate.extras import RetryBudget
from shallotgate.gateway._active_table import ActiveTable, retain_known
from shallotgate.gateway._call import Call
from shallotgate.gateway._crashes import ContentBlocklist, RequestContent
from shallotgate.gateway._directory import Directory
from shallotgate.gateway._dispatch import Dispatch, DispatchContext, Outcome
from shallotgate.gateway._fan_out import DispatchFactory, FanOut, FanOutResult
from shallotgate.gateway._latency import LatencyWindow
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import RetryGrantSource
from shallotgate.gateway._target_chooser import TargetChooser
from shallotgate.gateway._trace import RequestTrace
from shallotgate.gateway._warm_up import WarmUpLimiter
from shallotgate.gateway._wire import CallerRequest, WireCodec
from shallotgate.logs import get_logger
from shallotgate.routes import (
    Route,
    RoutingTable,
    Service,
)

_LOGGER = get_logger('gateway')
_MS_PER_S = 1000
# An answer is sent this long before the caller's timeout, in seconds.
_ANSWER_MARGIN_S = 0.01
# Part of the latency objective, and times in seconds, reserved for the
# processing of this entry at the end: merging, scheduling delays and, for each
# shard, assembling and sending its signature.
_PROCESSING_SHARE = 0.05
_PROCESSING_S = 0.002
_PROCESSING_PER_SHARD_S = 0.00006
# Part of the objective reserved for the network if the round-trip time is
# unknown.
_NETWORK_SHARE = 0.1
# Range of the retry delay sent with a refusal, in seconds, randomised to avoid
# synchronised retries. Backends accept new work within tens of milliseconds; an
# entry without configuration needs longer.
_RETRY_MIN_S = 0.02
_RETRY_MAX_S = 0.1
_RETRY_UNCONFIGURED_S = 0.5
# Part of a target's connection limit that all entries together use.
_CONNECTIONS_SHARE = 0.8
# Initial estimate of the reply duration, as a share of the objective. The first
# replies of an entry also include connection setup.
_INITIAL_LATENCY_SHARE = 0.25


class Gateway:
    """Routes requests to targets and answers callers."""

    def __init__(
        self,
        wire: WireCodec,
        directory: Directory,
        options: GatewayOptions,
        generator: random.Random,
        reporter: RequestReporter,
        retry_grants: RetryGrantSource,
        blocklist: ContentBlocklist,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._options = options
        self._generator = generator
        self._reporter = reporter
        self._retry_grants = retry_grants
        self._blocklist = blocklist
        self._chooser = TargetChooser(options.domain, generator)
        self._active: ActiveTable | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._latencies: dict[str, LatencyWindow] = {}
        self._entries = 1
        # Dispatch contexts by route and service, created on first use.
        self._contexts: dict[tuple[str, str], DispatchContext] = {}

    @property
    def version(self) -> int:
        """Version of the active routing table; -1 without one."""
        return self._active.table.version if self._active else -1

    @property
    def entries(self) -> int:
        """Number of entries that share the limits of the targets."""
        return self._entries

    @entries.setter
    def entries(self, count: int) -> None:
        if count != self._entries:
            self._entries = count
            self._contexts.clear()

    def get_limits(self) -> ServerLimits:
        """Return the size and time limits for caller requests."""
        if self._active is None:
            return ServerLimits()
        limits = self._active.table.limits
        return ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    def activate_table(self, table: RoutingTable) -> None:
        """Activate a table if it is newer than the active one."""
        if table.version <= self.version:
            return
        self._active = ActiveTable.create(table, self._generator)
        services = self._active.services
        self._contexts.clear()
        names = {route.name for route in table.routes}
        self._budgets = retain_known(self._budgets, services)
        self._latencies = retain_known(self._latencies, names)
        _LOGGER.info(
            'Routing table activated.',
            extra={
                'version': table.version,
                'routes': len(table.routes),
                'services': len(services),
            },
        )

    async def handle(self, request: IncomingRequest) -> Response:
        """Serve a caller request."""
        try:
            caller = self._wire.decode_request(request)
        except FindingsError as error:
            _LOGGER.info('Request refused: %s', error)
            return self._wire.refuse(400, None)
        active = self._active
        if active is None:
            self._reporter.count('refused_unready')
            return self._wire.refuse(503, _RETRY_UNCONFIGURED_S)
        path = request.path.decode('latin-1')
        route = active.index.find(caller.host, path)
        if route is None:
            self._reporter.count('no_route')
            return self._wire.refuse(404, None)
        call = self._make_call(request, caller, route)
        try:
            with self._reporter.observe(call) as observation:
                response = await self._serve(call, active)
                observation.conclude(response.status)
        finally:
            # Runs also when the caller has disconnected.
            self._blocklist.report_crashes(call.content, call.crashes)
        return response

    def _make_call(
        self,
        request: IncomingRequest,
        caller: CallerRequest,
        route: Route,
    ) -> Call:
        timeout_ms: float = route.timeout_ms
        if caller.timeout_ms is not None:
            timeout_ms = min(timeout_ms, caller.timeout_ms)
        objective_s = route.objective_ms / _MS_PER_S
        network_s = request.network_s or objective_s * _NETWORK_SHARE
        processing_s = (
            objective_s * _PROCESSING_SHARE
            + _PROCESSING_S
            + len(route.shards) * _PROCESSING_PER_SHARD_S
        )
        return Call(
            caller=caller,
            content=RequestContent(
                request.method,
                caller.host,
                request.path,
                request.body,
            ),
            route=route,
            version=self.version,
            received_at=request.received_at,
            deadline=request.received_at
            + timeout_ms / _MS_PER_S
            - _ANSWER_MARGIN_S,
            reply_limits=self._options.make_reply_limits(route),
            trace=RequestTrace(len(route.shards)),
            answer_by=request.received_at
            + objective_s
            - network_s
            - processing_s,
        )

    async def _serve(self, call: Call, active: ActiveTable) -> Response:
        blocked_s = self._blocklist.get_remaining_s(call.content)
        if blocked_s:
            call.trace.add('barred', left_s=blocked_s)
            self._reporter.count('refused_barred')
            return self._wire.refuse(503, blocked_s)
        make_dispatch = self._make_dispatch_factory(call, active)
        if call.route.shards:
            fan_out_result = await FanOut(call, make_dispatch).run()
            return self._answer_gathered(call, fan_out_result)
        split = active.splits.get(call.route.name)
        service = split.choose() if split else call.route.choices[0].service
        outcome = await make_dispatch(service, _always).run()
        return self._answer_single(call, outcome)

    def _make_dispatch_factory(
        self,
        call: Call,
        active: ActiveTable,
    ) -> DispatchFactory:
        now = time.monotonic()

        def make_dispatch(  # noqa: WPS430
            name: str,
            may_hedge: Callable[[], bool],
        ) -> Dispatch:
            context = self._get_context(call.route, active.services[name])
            context.budget.record_request(now, self._entries)
            return Dispatch(context, call, name, may_hedge)

        return make_dispatch

    def _get_context(self, route: Route, service: Service) -> DispatchContext:
        key = (route.name, service.name)
        context = self._contexts.get(key)
        if context is None:
            connections = (
                service.max_connections * _CONNECTIONS_SHARE / self._entries
            )
            context = DispatchContext(
                wire=self._wire,
                directory=self._directory,
                chooser=self._chooser,
                budget=self._get_budget(service.name),
                retry_grants=self._retry_grants,
                latency=self._get_latency(route),
                domain=self._options.domain,
                max_connections=max(int(connections), 1),
                are_connections_scarce=connections < 1,
                warm_up=WarmUpLimiter(
                    service.warm_up_per_s,
                    self._entries,
                    self._generator,
                ),
                on_event=self._reporter.count,
            )
            self._contexts[key] = context
        return context

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._options.retry_budget_policy)
            self._budgets[service] = budget
        return budget

    def _get_latency(self, route: Route) -> LatencyWindow:
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = LatencyWindow(route.objective_ms * _INITIAL_LATENCY_SHARE)
            self._latencies[route.name] = latency
        return latency

    def _answer_gathered(
        self, call: Call, fan_out_result: FanOutResult
    ) -> Response:
        if fan_out_result.status == 'answered':
            if fan_out_result.missing:
                self._reporter.count('partial')
                call.trace.add('partial', missing=fan_out_result.missing)
                call.trace.is_notable = True
            return self._wire.make_merged_response(
                fan_out_result.signatures,
                fan_out_result.missing,
                fan_out_result.body,
            )
        if fan_out_result.status == 'not_run':
            return self._refuse_temporarily()
        return self._wire.refuse(
            504 if fan_out_result.status == 'late' else 502, None
        )

    def _answer_single(self, call: Call, outcome: Outcome) -> Response:
        if outcome.reply is not None:
            return self._wire.forward_reply(outcome.reply)
        if outcome.status == 'not_run':
            return self._refuse_temporarily()
        is_late = time.monotonic() >= call.deadline
        return self._wire.refuse(504 if is_late else 502, None)

    def _refuse_temporarily(self) -> Response:
        self._reporter.count('refused')
        retry_after_s = self._generator.uniform(_RETRY_MIN_S, _RETRY_MAX_S)
        return self._wire.refuse(503, retry_after_s)


def _always() -> bool:
    return True
