"""Composition root of a control member."""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from shallotgate.aio import (
    AsyncHttpServer,
    Handler,
    ServerLimits,
    register_caller_metrics,
)
from shallotgate.consensus import ConsensusOptions, ReplicatedLog
from shallotgate.extras import RetryGrantPool
from shallotgate.generated.node import NodeSettings
from shallotgate.generated.settings import Member
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics
from shallotgate.node._caller_limits import make_control_totals
from shallotgate.node._metrics import make_metrics_server
from shallotgate.node._settings import (
    get_listen_address,
    get_retry_budget_policy,
    list_seeds,
)
from shallotgate.registry import (
    CrashService,
    FollowerService,
    ListingPoller,
    OperatorService,
    PermitService,
    QuotaService,
    RegistryClient,
    RegistryState,
    ReplicatedContents,
    RetryGrantService,
    RolloutService,
    TargetListing,
)
from shallotgate.routes import TableCodec
from shallotgate.target_limits import LimitBoard
from shallotgate.timers import TimerService, get_process_start_time
from shallotgate.transport import Mailbox

_LOGGER = get_logger('node')
_START_ID_BYTES = 8
# Bits of the random first revision of the limits, which keeps revisions of
# different leaders distinct.
_REVISION_BITS = 48
_MS_PER_S = 1000
# Polls of the list within the time in which a leaving target must stop
# receiving work: one poll and one delivery to the entries may fail.
_POLLS_PER_DRAIN = 3
# Share of the platform's call limit to use.
_MAX_CALL_SHARE = 0.5
# Body limit of operator requests: some thousands of routes.
_MAX_OPERATOR_BODY_BYTES = 8 * 1024 * 1024

# After a full outage entries cannot serve until a leader is known, so an
# election starts as soon as the lease of a previous leader (three heartbeats)
# has certainly expired.
_CONSENSUS_OPTIONS = ConsensusOptions(
    automatic_membership=True,
    heartbeat_interval_s=0.1,
    lease_s=0.3,
    election_timeout_min_s=0.4,
    election_timeout_max_s=0.8,
    tick_interval_s=0.02,
    # The previous process of this instance ended before this one started.
    no_leader_contact_since=get_process_start_time(),
)


class ControlNode:
    """Control group member; the leader also updates the entries."""

    def __init__(
        self,
        settings: NodeSettings,
        codec: TableCodec,
        make_listing: Callable[[], TargetListing],
        make_handler: Callable[[OperatorService], Handler],
    ) -> None:
        self._metrics = Metrics()
        self._timers = TimerService()
        start_id = secrets.token_hex(_START_ID_BYTES)
        self._mailbox = Mailbox(
            instance=settings.peer_address,
            start_id=start_id,
            listen_address=get_listen_address(settings),
        )
        state = RegistryState()
        self._log = ReplicatedLog(
            mailbox=self._mailbox,
            timers=self._timers,
            machine=state,
            folder=Path(settings.data_folder),
            instance=settings.peer_address,
            members=[
                Member(instance=seed, address=seed)
                for seed in list_seeds(settings)
            ],
            bootstrap=settings.bootstrap,
            options=replace(
                _CONSENSUS_OPTIONS,
                tolerated_losses=settings.tolerated_losses or 0,
            ),
        )
        self._listing = ListingPoller(
            make_listing,
            source=start_id,
            period_s=max(
                settings.drain_ms / _MS_PER_S / _POLLS_PER_DRAIN,
                1 / (settings.listing_calls_per_s * _MAX_CALL_SHARE),
            ),
            get_leading_term=self._log.get_leading_term,
        )
        self._limits = LimitBoard(secrets.randbits(_REVISION_BITS))
        self._client = RegistryClient(self._mailbox, self._log, state)
        self._rollouts = RolloutService(
            self._mailbox, self._log, state, self._listing
        )
        self._followers = FollowerService(
            mailbox=self._mailbox,
            log=self._log,
            state=state,
            listing=self._listing,
            list_members=self._list_members,
            limits=self._limits,
            make_contents=lambda known: self._crashes.make_update(known),
            make_versions=self._rollouts.make_update,
        )
        self._contents = ReplicatedContents(self._log, state)
        self._crashes = CrashService(
            self._mailbox,
            self._log,
            self._followers.list_entries,
            self._contents,
        )
        self._retry_grants = RetryGrantService(
            self._mailbox,
            self._log,
            RetryGrantPool(get_retry_budget_policy(settings)),
        )
        self._permits = PermitService(self._mailbox, self._log, self._limits)
        self._quotas = QuotaService(
            self._mailbox,
            self._log,
            state,
            codec,
            lambda: self._followers.entry_counter.get_silent_share(
                time.monotonic()
            ),
        )
        self._server = AsyncHttpServer(
            settings.operator_address,
            make_handler(OperatorService(self._client, codec)),
            _make_operator_limits,
            make_control_totals(settings),
        )
        register_caller_metrics(self._metrics, self._server, 'operators')
        self._metrics_server = make_metrics_server(
            settings.metrics_address,
            self._metrics,
        )
        self._metrics.register_gauge('entries', self._count_entries)
        self._metrics.register_gauge(
            'entries_behind', self._followers.count_behind
        )
        self._metrics.register_gauge(
            'limited_targets',
            lambda: len(self._limits.list_limits(time.monotonic())),
        )
        self._metrics.register_gauge(
            'quota_accounts_active', self._quotas.count_active
        )
        self._metrics.register_gauge(
            'quota_accounts_exceeding', self._quotas.count_exceeding
        )
        self._metrics.register_gauge(
            'contents_refused', self._crashes.count_refused
        )
        self._metrics.register_gauge(
            'rollouts_running', self._rollouts.count_running
        )
        for ended in ('completed', 'rolled_back'):
            self._metrics.register_gauge(
                f'rollouts_{ended}',
                partial(self._rollouts.count_ended, ended),
            )
        self._metrics.register_gauge(
            'disk_suspended', lambda: int(self._log.is_suspended())
        )
        self._metrics.register_gauge(
            'membership_changes_waiting',
            lambda: len(self._log.status().waits),
        )
        self._metrics.register_gauge(
            'membership_longest_wait_seconds', self._read_longest_wait_s
        )

    async def start(self) -> None:
        """Load the durable state and join the group."""
        self._timers.start()
        self._mailbox.start()
        await asyncio.to_thread(self._log.start)
        self._listing.start()
        self._rollouts.start()
        self._contents.start()
        self._followers.start()
        await self._server.start()
        if self._metrics_server is not None:
            await self._metrics_server.start()

    async def stop(self) -> None:
        """Transfer leadership and close the files."""
        if self._log.is_leading():
            await asyncio.to_thread(self._log.transfer_leadership)
        self._listing.stop()
        self._rollouts.stop()
        self._contents.stop()
        self._client.stop()
        await self._server.stop()
        await asyncio.to_thread(self._log.stop)

    def _count_entries(self) -> int:
        return len(self._followers.list_entries())

    def _read_longest_wait_s(self) -> float:
        waits = self._log.status().waits
        return max((wait.waiting_s for wait in waits), default=0)

    def _list_members(self) -> list[str]:
        return [member.instance for member in self._log.status().members]


def _make_operator_limits() -> ServerLimits:
    return ServerLimits(max_body_bytes=_MAX_OPERATOR_BODY_BYTES)
