"""Entry point for caller requests."""

import random
import time
from collections.abc import Callable

from shallotgate.aio import IncomingRequest, Response, ServerLimits
from shallotgate.errors import FindingsError
from shallotgate.gateway._active_table import ActiveTable
from shallotgate.gateway._authenticator import CallerAuthenticator
from shallotgate.gateway._blocklist import ContentBlocklist
from shallotgate.gateway._call import Call, make_call, make_single_attempt
from shallotgate.gateway._directory import Directory
from shallotgate.gateway._dispatch import Dispatch, Outcome
from shallotgate.gateway._dispatch_contexts import DispatchContextCache
from shallotgate.gateway._drain import Drain
from shallotgate.gateway._fan_out import DispatchFactory, FanOut, FanOutResult
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._permits import PermitSource
from shallotgate.gateway._quota_gate import QuotaGate
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import RetryGrantSource
from shallotgate.gateway._wire import WireCodec
from shallotgate.logs import get_logger
from shallotgate.routes import RoutingTable

_LOGGER = get_logger('gateway')
# Range of the retry delay sent with a refusal, in seconds, randomised to avoid
# synchronised retries. Backends accept new work within tens of milliseconds; an
# entry without configuration needs longer.
_RETRY_MIN_S = 0.02
_RETRY_MAX_S = 0.1
_RETRY_UNCONFIGURED_S = 0.5


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
        permits: PermitSource,
        blocklist: ContentBlocklist,
    ) -> None:
        self._wire = wire
        self._options = options
        self._generator = generator
        self._reporter = reporter
        self._blocklist = blocklist
        self.authenticator = CallerAuthenticator(wire, reporter, generator)
        self._active: ActiveTable | None = None
        self._permits = permits
        self._contexts = DispatchContextCache(
            wire,
            directory,
            options,
            generator,
            reporter,
            retry_grants,
            permits,
        )
        self.admission = self._contexts.admission
        self._drain = Drain()
        self.quotas = QuotaGate()

    @property
    def version(self) -> int:
        """Version of the active routing table; -1 without one."""
        return self._active.table.version if self._active else -1

    @property
    def entries(self) -> int:
        """Number of entries that share the limits of the targets.

        0 if it is unknown; then this entry uses the least share.
        """
        return self._contexts.entries

    @entries.setter
    def entries(self, count: int) -> None:
        self._contexts.update_entries(count)

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

    def begin_drain(self, ends_at: float) -> None:
        """Refuse what can't end before a monotonic time, and end the rest then.

        Requests that are ended get an answer that tells nothing of a run.
        """
        self._drain.begin(ends_at)

    def activate_table(self, table: RoutingTable) -> None:
        """Activate a table if it is newer than the active one."""
        if table.version <= self.version:
            return
        # First, so that no error in the rest keeps a revoked key valid.
        self.authenticator.apply_table(table)
        self._active = ActiveTable.create(table, self._generator)
        self._contexts.apply_table(table)
        _LOGGER.info(
            'Routing table activated.',
            extra={
                'version': table.version,
                'routes': len(table.routes),
                'services': len(table.services),
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
        call, refusal = self.authenticator.authenticate(
            make_call(request, caller, route, self.version, self._options)
        )
        try:
            with self._reporter.observe(call) as observation:
                response = refusal or await self._serve_until_drained(
                    call, active
                )
                observation.conclude(response.status)
        finally:
            # Runs also when the caller has disconnected.
            self._blocklist.report_crashes(call.content, call.crashes)
        return response

    async def _serve_until_drained(
        self, call: Call, active: ActiveTable
    ) -> Response:
        latency = self._contexts.get_latency(call.route)
        if not self._drain.can_finish(latency, call.deadline):
            call.trace.add('refused_draining')
            self._reporter.count('refused_draining')
            return self._refuse()
        try:
            async with self._drain.limit(), self.quotas.hold(call) as place:
                if place.refused_s is not None:
                    self._reporter.count('refused_over_limit')
                    return self._wire.refuse(429, place.refused_s)
                return await self._serve(self._drain.shorten(call), active)
        except TimeoutError:
            call.trace.add('ended_by_drain')
            self._reporter.count('ended_by_drain')
            return self._wire.refuse(504, None)

    async def _serve(self, call: Call, active: ActiveTable) -> Response:
        admission = await self._blocklist.admit(call.content)
        if admission.refused_s:
            call.trace.add('barred', left_s=admission.refused_s)
            self._reporter.count('refused_barred')
            return self._wire.refuse(503, admission.refused_s)
        if not admission.is_trial:
            return await self._send(call, active)
        call.trace.add('trial')
        self._reporter.count('trials')
        try:
            return await self._send(make_single_attempt(call), active)
        finally:
            self._blocklist.conclude_trial(call.content, call.crashes)

    async def _send(self, call: Call, active: ActiveTable) -> Response:
        route = call.route
        names = route.shards or (active.choose_service(route),)
        shards = {
            name: self._contexts.get(route, active.services[name])
            for name in names
        }
        refusal = self.admission.refuse(call, shards)
        if refusal is not None:
            return self._refuse(refusal.retry_after_s)
        make_dispatch = self._make_dispatch_factory(call, active)
        if route.shards:
            fan_out_result = await FanOut(
                call, make_dispatch, self._permits
            ).run()
            if fan_out_result.status == 'not_run':
                return self._refuse(self.admission.choose_return(call, shards))
            return self._answer_gathered(call, fan_out_result)
        outcome = await make_dispatch(names[0], _always).run()
        if outcome.status == 'not_run':
            return self._refuse(self.admission.choose_return(call, shards))
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
            context = self._contexts.get(call.route, active.services[name])
            context.budget.record_request(now, self.entries)
            dispatch = Dispatch(context, call, name, may_hedge)
            call.dispatches.append(dispatch)
            return dispatch

        return make_dispatch

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
        return self._wire.refuse(
            504 if fan_out_result.status == 'late' else 502, None
        )

    def _answer_single(self, call: Call, outcome: Outcome) -> Response:
        if outcome.reply is not None:
            return self._wire.forward_reply(outcome.reply)
        is_late = time.monotonic() >= call.deadline
        return self._wire.refuse(504 if is_late else 502, None)

    def _refuse(self, retry_after_s: float | None = None) -> Response:
        self._reporter.count('refused')
        if retry_after_s is None:
            retry_after_s = self._generator.uniform(_RETRY_MIN_S, _RETRY_MAX_S)
        return self._wire.refuse(503, retry_after_s)


def _always() -> bool:
    return True
