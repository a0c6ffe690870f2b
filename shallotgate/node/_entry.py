"""Composition root of an entry."""

import asyncio
import random
import secrets
import time

from shallotgate.aio import (
    AsyncHttpServer,
    IncomingRequest,
    ReplyBuffer,
    ReplyLimits,
    Response,
    register_caller_metrics,
)
from shallotgate.errors import ShallotgateError
from shallotgate.gateway import (
    ContentBlocklist,
    Directory,
    ExposureClient,
    Gateway,
    GatewayOptions,
    PermitClient,
    QuotaClient,
    QuotaReporter,
    RequestReporter,
    RetryGrantClient,
    TierFollower,
    WireCodec,
)
from shallotgate.generated.messages import (
    BarContent,
    ContentTrial,
    CrashRecorded,
    FollowTier,
    GrantExposure,
    GrantExtras,
    GrantPermits,
    GrantShares,
    TierUpdate,
)
from shallotgate.generated.node import NodeSettings
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics, load_histograms
from shallotgate.node._caller_limits import (
    AUXILIARY_TOTALS,
    make_entry_totals,
)
from shallotgate.node._metrics import make_metrics_server
from shallotgate.node._settings import (
    get_listen_address,
    get_retry_budget_policy,
    list_seeds,
)
from shallotgate.pacing import PaceLimiter
from shallotgate.routes import RoutingTable, TableCodec
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('node')
_START_ID_BYTES = 8
# Share of the stop time during which callers are still accepted, because the
# balancer takes a while to notice that the entry is leaving.
_DRAIN_SHARE = 0.55
# Share of the stop time after which unfinished requests get an answer of the
# entry's own, so that the process exits by itself.
_END_SHARE = 0.92
# Share of the stop time for sending the last answers.
_SEND_SHARE = 0.04
# Minimum interval between reports of slow and failing targets, about the
# publication interval of the leader.
_REPORT_INTERVAL_S = 0.15
# Retry delay of requests that are refused because callers hold too much. Those
# that are ordinary are served within some ten milliseconds.
_RETRY_SHED_S = 0.1
# Timeout for the event loop to apply an update.
_APPLY_TIMEOUT_S = 5.0


class EntryNode:
    """Serves callers and follows the control leader."""

    def __init__(
        self,
        settings: NodeSettings,
        wire: WireCodec,
        codec: TableCodec,
    ) -> None:
        self._settings = settings
        self._is_leaving = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._metrics = Metrics()
        generator = random.Random()  # noqa: S311 - no secret
        self._pacer = PaceLimiter(lambda: self._gateway.entries, generator)
        self._directory = Directory(self._report_degradation, self._pacer)
        self._reported_at = float('-inf')
        self._retry_grants = RetryGrantClient(
            lambda ask: self._follower.send_to_leader(ask),
            lambda: self._gateway.entries,
        )
        self._permits = PermitClient(
            lambda ask: self._follower.send_to_leader(ask),
            lambda: self._gateway.entries,
            generator,
        )
        self._blocklist = ContentBlocklist(
            lambda message: self._follower.send_to_leader(message)
        )
        self._exposure = ExposureClient(
            lambda ask: self._follower.send_to_leader(ask),
            self._directory.versions.tracker,
        )
        reporter = RequestReporter(self._metrics)
        self._directory.versions.count_reply = reporter.count_version_reply
        self._gateway = Gateway(
            wire=wire,
            directory=self._directory,
            options=_make_gateway_options(settings),
            generator=generator,
            reporter=reporter,
            retry_grants=self._retry_grants,
            permits=self._permits,
            blocklist=self._blocklist,
        )
        self._quotas = QuotaClient(
            lambda ask: self._follower.send_to_leader(ask),
            lambda: self._gateway.entries,
            generator,
            QuotaReporter(self._metrics),
        )
        self._gateway.quotas.admission = self._quotas
        self._gateway.admission.usage = self._quotas
        self._mailbox = Mailbox(
            instance=settings.peer_address,
            start_id=secrets.token_hex(_START_ID_BYTES),
            listen_address=get_listen_address(settings),
        )
        self._mailbox.subscribe(GrantExtras, self._on_grant)
        self._mailbox.subscribe(GrantPermits, self._on_permits)
        self._mailbox.subscribe(GrantShares, self._on_shares)
        self._mailbox.subscribe(GrantExposure, self._on_exposure)
        self._mailbox.subscribe(BarContent, self._on_bar_content)
        self._mailbox.subscribe(ContentTrial, self._on_content_trial)
        self._mailbox.subscribe(CrashRecorded, self._on_crash_recorded)
        self._follower = TierFollower(
            mailbox=self._mailbox,
            codec=codec,
            seeds=list_seeds(settings),
            read_position=self._read_position,
            apply=self._apply_in_loop,
        )
        self._server = AsyncHttpServer(
            settings.caller_address,
            self._gateway.handle,
            self._gateway.get_limits,
            make_entry_totals(settings),
            lambda: wire.refuse(503, _RETRY_SHED_S),
        )
        register_caller_metrics(self._metrics, self._server, 'callers')
        self._ready_server = AsyncHttpServer(
            settings.ready_address,
            self._handle_readiness,
            totals=AUXILIARY_TOTALS,
        )
        self._metrics_server = make_metrics_server(
            settings.metrics_address,
            self._metrics,
        )

    async def start(self) -> None:
        """Start all components; the entry is ready once it has routes."""
        self._loop = asyncio.get_running_loop()
        self._mailbox.start()
        self._follower.start()
        await self._server.start()
        await self._ready_server.start()
        if self._metrics_server is not None:
            await self._metrics_server.start()
        # While the leader is looked for, rather than with the first answer.
        self._loop.run_in_executor(None, load_histograms)

    async def stop(self) -> None:
        """Signal unreadiness, drain open requests, then stop."""
        started_at = time.monotonic()
        stop_s = self._settings.stop_s
        ends_at = started_at + stop_s * _END_SHARE
        self._is_leaving = True
        self._gateway.begin_drain(ends_at)
        self._server.disable_keep_alive()
        await asyncio.sleep(stop_s * _DRAIN_SHARE)
        await self._server.drain(ends_at + stop_s * _SEND_SHARE)
        self._follower.stop()

    def get_unready_reason(self) -> str:
        """Return why the entry is not ready; empty if it is."""
        if self._is_leaving:
            return 'leaving'
        if self._gateway.version < 0:
            return 'no table'
        if self._directory.revision < 0:
            return 'no targets'
        return ''

    async def _handle_readiness(self, request: IncomingRequest) -> Response:
        reason = self.get_unready_reason()
        return Response(503 if reason else 200, reason.encode())

    def _read_position(self) -> FollowTier:
        return FollowTier(
            domain=self._settings.domain,
            table_version=self._gateway.version,
            domains_revision=self._directory.domains_revision,
            listing_source=self._directory.source,
            listing_revision=self._directory.revision,
            leaving=self._is_leaving,
            observed=self._directory.reply_stats.drain(),
            conditions_revision=self._directory.conditions_revision,
            merges_conditions=True,
            entries=self._gateway.entries,
            limits_revision=self._directory.limits_revision,
            merges_tables=True,
            paces_revision=self._pacer.revision,
            versions_revision=self._directory.versions.revision,
            contents_revision=self._blocklist.revision,
        )

    def _report_degradation(self) -> None:
        """Report degraded targets ahead of the next follow request."""
        now = time.monotonic()
        if now - self._reported_at < _REPORT_INTERVAL_S:
            return
        self._reported_at = now
        observed = self._directory.reply_stats.drain()
        if observed is not None:
            self._follower.send_to_leader(observed)

    def _on_grant(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._retry_grants.handle_grant,
                delivery.message,
            )

    def _on_permits(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._permits.handle_grant,
                delivery.message,
            )

    def _on_shares(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._quotas.handle_grant,
                delivery.message,
            )

    def _on_exposure(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._exposure.handle_grant,
                delivery.message,
            )

    def _on_bar_content(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._blocklist.add,
                delivery.message,
            )

    def _on_content_trial(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._blocklist.handle_answer,
                delivery.message,
            )

    def _on_crash_recorded(self, delivery: Delivery) -> None:
        if self._loop is not None:
            self._loop.call_soon_threadsafe(
                self._blocklist.confirm_report,
                delivery.message,
            )

    def _apply_in_loop(
        self,
        update: TierUpdate,
        table: RoutingTable | None,
    ) -> None:
        """Apply an update on the event loop and wait for it."""
        if self._loop is None:
            raise ShallotgateError('the entry has not started')
        applied = asyncio.run_coroutine_threadsafe(
            self._apply(update, table),
            self._loop,
        )
        applied.result(_APPLY_TIMEOUT_S)

    async def _apply(
        self,
        update: TierUpdate,
        table: RoutingTable | None,
    ) -> None:
        # Before the table, without which an entry that starts serves nothing.
        self._blocklist.apply(update.contents)
        # The operator's state comes first: list and conditions depend on what
        # others state, and an error in them must not keep it from taking
        # effect.
        if table is not None:
            self._gateway.activate_table(table)
            self._quotas.set_limits(table.accounts)
        if table is not None or update.table is None:
            self._gateway.authenticator.confirm_table(
                self._follower.last_reply_at
            )
        if update.domains is not None:
            self._directory.apply_domains_out(
                update.domains.revision,
                update.domains.out,
            )
        if update.entries:
            self._gateway.entries = update.entries
        if update.versions is not None:
            # Before the list, so that no new target is used against a rule.
            self._directory.apply_versions(update.versions)
            self._exposure.follow()
        if update.listing is not None:
            self._directory.update(update.listing)
        self._directory.apply_conditions(update.conditions)
        if update.limits is not None:
            self._directory.apply_limits(update.limits)
        self._pacer.apply(update.paces, time.monotonic())


def _make_gateway_options(settings: NodeSettings) -> GatewayOptions:
    return GatewayOptions(
        domain=settings.domain,
        retry_budget_policy=get_retry_budget_policy(settings),
        reply_limits=ReplyLimits(
            max_body_bytes=settings.max_reply_bytes,
            max_head_bytes=settings.max_reply_head_bytes,
            buffer=ReplyBuffer(settings.max_buffered_reply_bytes),
        ),
    )
