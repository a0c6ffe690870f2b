"""Composition of the entry role."""

import threading
from collections.abc import Sequence

from shallotgate.aio import register_caller_metrics
from shallotgate.daemon._base import Base
from shallotgate.daemon._totals import make_caller_totals
from shallotgate.edge import CallerApplication
from shallotgate.generated.messages import TargetState
from shallotgate.http import HttpServer
from shallotgate.logs import get_logger
from shallotgate.query import QueryDependencies, QueryService
from shallotgate.routing import (
    IndexMap,
    LatencyTracker,
    MailboxAttemptPort,
    ReplicaChooser,
    ReportSubscriber,
    TargetObservations,
)
from shallotgate.targets import (
    HttpTargetConnector,
    OwnedTargets,
    OwnerServer,
    PlatformListPoller,
)

_LOGGER = get_logger('daemon')
_DRAIN_TIMEOUT_S = 60
# One in this many threads of the caller server is reserved for non-queries.
_THREADS_PER_SPARE = 8


class EntryRole:
    """Serves callers and owns targets."""

    def __init__(self, base: Base, *, entries: int) -> None:
        """Wire the components.

        ``entries`` is the number of entry instances, used only by the baseline
        ``policy.limits: split``.
        """
        self._base = base
        self._leaving = threading.Event()
        self.index_map = IndexMap()
        self._observations = TargetObservations()
        self.owned = OwnedTargets(
            view=base.view,
            lease=base.session.lease,
            connector=HttpTargetConnector(),
            commands=base.client,
            timers=base.timers,
            metrics=base.metrics,
            policy=base.policy,
            instance=base.settings.instance,
            start_id=base.start_id,
            on_release=base.session.add_release,
            entries=entries,
            max_attempt_ms=base.settings.max_attempt_ms,
        )
        self._owner_server = OwnerServer(base.mailbox, self.owned, base.timers)
        self._reports = ReportSubscriber(
            base.mailbox,
            base.view,
            self._observations,
        )
        self._platform_poller = self._make_platform_poller()
        self._make_query_path()

    def subscribe(self) -> None:
        """Subscribe to messages; call before the mailbox starts."""
        self._owner_server.start()
        self._port.start(self._base.timers)
        self._reports.start(self._base.timers)

    def start(self) -> None:
        """Own targets and serve callers."""
        self.owned.start()
        if self._platform_poller is not None:
            self._platform_poller.start()
        self._server.start()
        _LOGGER.info('Serving callers.', extra={'address': self.address})

    @property
    def address(self) -> str:
        """Return the bound address for callers."""
        return self._server.address

    def has_all_reports(self) -> bool:
        """Return whether the owners of all targets have reported."""
        return self._base.policy.limits != 'owner' or (
            self._reports.has_all_reports()
        )

    def list_states(self) -> Sequence[TargetState]:
        """Return the known states of the targets."""
        return [
            observation.state
            for observation in self._observations
            if observation.state is not None
        ]

    def list_snapshots(self) -> dict[str, list[int]]:
        """Return the known index versions of each group."""
        services = self._base.view.current().catalogue.services
        groups = sorted({service.group for service in services.values()})
        return {
            group: list(self.index_map.list_versions(group)) for group in groups
        }

    def leave(self) -> None:
        """Report unready to balancers, but keep serving callers.

        Balancers check the caller address only.
        """
        self._leaving.set()

    def finish(self) -> None:
        """Finish accepted queries and stop serving callers."""
        self._queries.stop_accepting()
        if not self._queries.wait_idle(_DRAIN_TIMEOUT_S):
            _LOGGER.warning('Queries still running after the drain timeout.')
        self._server.stop()

    def stop(self) -> None:
        """Stop owning targets after their attempts have finished."""
        if self._platform_poller is not None:
            self._platform_poller.stop()
        self.owned.stop()
        self._owner_server.stop()

    def _make_platform_poller(self) -> PlatformListPoller | None:
        settings = self._base.settings
        if not settings.platform_url:
            return None
        return PlatformListPoller(
            settings.platform_url,
            settings.platform_poll_s,
            lambda _, leaving: self.owned.mark_leaving(leaving),
        )

    def _make_query_path(self) -> None:
        base = self._base
        latency = LatencyTracker()
        self._port = MailboxAttemptPort(
            mailbox=base.mailbox,
            local=self.owned,
            view=base.view,
            observations=self._observations,
            index_map=self.index_map,
            latency=latency,
            metrics=base.metrics,
            limits=base.policy.limits,
        )
        chooser = ReplicaChooser(
            observations=self._observations,
            index_map=self.index_map,
            view=base.view,
            instance=base.settings.instance,
            domain=base.settings.domain,
            limits=base.policy.limits,
            rng=base.generator,
        )
        self._queries = QueryService(
            QueryDependencies(
                view=base.view,
                lease=base.session.lease,
                port=self._port,
                commands=base.client,
                chooser=chooser,
                latency=latency,
                metrics=base.metrics,
                policy=base.policy,
                domain=base.settings.domain,
                start_id=base.start_id,
                max_attempt_ms=base.settings.max_attempt_ms,
                max_queries=_compute_max_queries(base.settings.caller_threads),
            ),
        )
        self._server = HttpServer(
            base.settings.caller_address,
            CallerApplication(
                self._queries, base.view, self.get_unready_reason
            ),
            threads=base.settings.caller_threads,
            max_body_bytes=base.settings.max_body_bytes,
            totals=make_caller_totals(base.settings),
        )
        register_caller_metrics(base.metrics, self._server.server, 'callers')

    def get_unready_reason(self) -> str:
        """Return why the entry is not ready; empty if it is."""
        if self._leaving.is_set():
            return 'leaving'
        if self._base.session.lease.remaining_s() <= 0:
            return 'no lease'
        if not self.has_all_reports():
            return 'waiting for the reports of target owners'
        return ''


def _compute_max_queries(caller_threads: int) -> int:
    """Return how many threads of the caller server queries may occupy.

    The remaining threads reject queries and serve readiness checks. If queries
    could occupy all threads, further ones would queue in front of the server
    for up to 3 s, beyond their deadlines.
    """
    return max(caller_threads - max(caller_threads // _THREADS_PER_SPARE, 1), 1)
