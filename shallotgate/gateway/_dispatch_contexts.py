"""Dispatch contexts of the routes and services of the active table."""

import random
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from functools import partial

from shallotgate.extras import RetryBudget
from shallotgate.gateway._active_table import retain_known
from shallotgate.gateway._admission import RequestAdmission
from shallotgate.gateway._admission_report import AdmissionReporter
from shallotgate.gateway._connection_share import ConnectionShare
from shallotgate.gateway._directory import Directory, Target
from shallotgate.gateway._latency import LatencyWindow
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._pauses import PauseEstimate
from shallotgate.gateway._permits import PermitSource
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import RetryGrantSource
from shallotgate.gateway._target_chooser import (
    Pace,
    TargetChooser,
    estimate_duration_ms,
)
from shallotgate.gateway._version_selector import classify
from shallotgate.gateway._warm_up import WarmUpLimiter
from shallotgate.gateway._wire import WireCodec
from shallotgate.routes import Route, RoutingTable, Service

_MS_PER_S = 1000
# Least duration of work that a pace is derived from, in milliseconds.
_MIN_WORK_MS = 0.1
# Part of a target's connection limit that all entries together use.
_CONNECTIONS_SHARE = 0.8
# Delay, in medians of the route, from which a reply has met a pause of its
# target and not just the usual variance.
_PAUSE_MEDIANS = 1.0
# Initial estimate of the reply duration, as a share of the objective. The first
# replies of an entry also include connection setup.
_INITIAL_LATENCY_SHARE = 0.25
# Concurrent requests that an entry may send to one target even if its share of
# the connection limit is smaller, as long as all entries together can. With a
# share below one connection, few of them need several at the same time.
# Connections beyond the share are closed after use.
_MAX_CONCURRENT = 3
# Idle timeout, in seconds, of connections to a target in another failure domain
# when it accepts fewer connections than there are entries. Limits the number of
# connections when many entries fail over to one target, and still lets a
# connection serve several requests in a row.
_REMOTE_IDLE_TIMEOUT_S = 1.0
# The same for the last remaining target, in any failure domain.
_LAST_TARGET_IDLE_TIMEOUT_S = 0.5


@dataclass(frozen=True, eq=False)
class DispatchContext:
    """Dependencies of the dispatches of one route to one service."""

    wire: WireCodec
    directory: Directory
    chooser: TargetChooser
    budget: RetryBudget
    # Grants extra attempts when the local budget is exhausted.
    retry_grants: RetryGrantSource
    # Grants requests to targets that state a limit.
    permits: PermitSource
    # Durations of recent replies to the route.
    latency: LatencyWindow
    # Pauses that replies to the route have shown.
    pauses: PauseEstimate
    # Failure domain of this entry.
    domain: str
    # Maximum connections of this entry to one target.
    max_connections: int
    # Maximum requests of this entry in flight at one target.
    max_concurrent: int
    # Whether a target accepts fewer connections than there are entries.
    are_connections_scarce: bool
    connection_share: ConnectionShare
    warm_up: WarmUpLimiter
    # Name of the route.
    route: str
    on_event: Callable[[str], None]
    # Takes each duration for the admission of requests; returns whether it is
    # that of an attempt without a reply, which counts as a failure.
    record_for_admission: Callable[[Target, float], bool]
    # Returns whether a second attempt may be sent to a service with targets.
    allows_extra: Callable[[str, Sequence[Target]], bool]

    def choose(
        self,
        service: str,
        tried: Collection[Target],
        objective_ms: float,
        *,
        may_use_limited: bool,
    ) -> Target | None:
        """Return the best target that was not tried and has room, if any.

        ``may_use_limited`` is whether one that states a limit is considered.
        """
        now = time.monotonic()
        pace = self._make_pace(objective_ms)
        for group in self._list_groups(service, tried, pace, now):
            usable = [
                target
                for target in group
                if may_use_limited or target.limit_per_s is None
            ]
            chosen = self.chooser.choose(usable, tried, pace, now)
            if chosen is not None:
                return chosen
        return None

    def rank_limited(
        self, service: str, tried: Collection[Target], objective_ms: float
    ) -> Sequence[Target]:
        """Return the targets with a limit that were not tried, best first."""
        now = time.monotonic()
        pace = self._make_pace(objective_ms)
        ranked: list[Target] = []
        for group in self._list_groups(service, tried, pace, now):
            limited = [
                target for target in group if target.limit_per_s is not None
            ]
            ranked.extend(self.chooser.rank(limited, tried, pace, now))
        return ranked

    def record_reply(self, target: Target, duration_ms: float) -> None:
        """Record the duration of a reply, or a lower bound of it."""
        if self.record_for_admission(target, duration_ms):
            target.record_failure()
            return
        median_ms = self.latency.quantile(0.5)
        if target.health.speed.is_reported:
            factor = target.health.speed.estimate_factor(time.monotonic())
            delay_ms = duration_ms - median_ms * factor
            if delay_ms > median_ms * _PAUSE_MEDIANS:
                self.pauses.record(delay_ms)
        target.record_reply(duration_ms, median_ms)
        self.latency.add(duration_ms)

    def estimate_ms(
        self, target: Target, objective_ms: float, now: float
    ) -> float | None:
        """Return the expected duration of an attempt that starts now.

        None if the target does not report its speed.
        """
        if not target.health.speed.is_reported:
            return None
        return estimate_duration_ms(target, self._make_pace(objective_ms), now)

    def record_result(
        self, target: Target, duration_ms: float, connect_ms: float
    ) -> None:
        """Count a good reply for the version of its target.

        ``connect_ms`` is the time to set up its connection; 0 for a used one.
        A target that is warming up is not compared with others.
        """
        outcome = classify(duration_ms, self.latency.quantile(0.5), connect_ms)
        if time.monotonic() < target.cold_until:
            outcome = 'good'
        self.directory.versions.record_reply(target, self.route, outcome)

    def record_failed_reply(self, target: Target) -> None:
        """Count a reply that is a failure for the version of its target."""
        self.directory.versions.record_reply(target, self.route, 'failed')

    def has_room(self, target: Target, median_ms: float, now: float) -> bool:
        """Return whether the target may receive another request.

        Beyond this entry's share of the connections it may receive a few more,
        as long as the oldest attempt takes no longer than usual: a target that
        hangs gets none.
        """
        health = target.health
        if len(health.in_flight) < self.max_connections:
            return True
        is_waiting = health.get_stall_ms(now) > median_ms
        return len(health.in_flight) < self.max_concurrent and not is_waiting

    def list_open(self, service: str, objective_ms: float) -> list[Target]:
        """Return the targets that may receive a request now."""
        now = time.monotonic()
        pace = self._make_pace(objective_ms)
        return [
            target
            for group in self._list_groups(service, (), pace, now)
            for target in group
            if not target.health.is_down(now)
        ]

    def _make_pace(self, objective_ms: float) -> Pace:
        return Pace(self.latency.quantile(0.5), objective_ms, self.pauses)

    def _list_groups(
        self, service: str, tried: Collection[Target], pace: Pace, now: float
    ) -> list[list[Target]]:
        """Return the targets that may be used, the preferred group first.

        With a permit of a rollout, a first attempt goes to a candidate. Second
        attempts go to the version in force while it has a target.
        """
        directory = self.directory
        usable = self._list_open(directory.list_usable(service), pace, now)
        candidates = directory.list_candidates(service)
        if not (candidates and directory.versions.holds_permit(service)):
            return [usable]
        open_candidates = self._list_open(candidates, pace, now)
        if tried:
            return [usable, open_candidates]
        return [open_candidates, usable]

    def _list_open(
        self, targets: Sequence[Target], pace: Pace, now: float
    ) -> list[Target]:
        usable = [
            target
            for target in targets
            if now >= target.paused_until
            and self.has_room(target, pace.median_ms, now)
            and self.warm_up.allows(target, now)
        ]
        unhindered = [
            target
            for target in usable
            if self._keeps_pace(target, pace, now, is_last=False)
        ]
        if len(unhindered) < len(usable):
            self.on_event('paced')
        return unhindered or [
            target
            for target in usable
            if self._keeps_pace(target, pace, now, is_last=True)
        ]

    def _keeps_pace(
        self, target: Target, pace: Pace, now: float, *, is_last: bool
    ) -> bool:
        """Return whether the pace of a target allows a request.

        A limit that it states, and a rate that the table states, go before it.
        """
        if target.limit_per_s is not None or self.warm_up.is_stated(
            target, now
        ):
            return True
        work_s = max(pace.median_ms, _MIN_WORK_MS) / _MS_PER_S
        return self.directory.pacer.allows(
            target.listed, work_s, now, is_last=is_last
        )

    def get_idle_timeout_s(self, target: Target) -> float | None:
        """Return how long a connection is kept after use; None for no limit.

        One beyond the share of this entry is closed. If a target accepts fewer
        connections than there are entries, an entry keeps one without limit
        only if the target is in its own failure domain or if that domain has
        no target left. A last remaining target receives the requests of all
        entries, so its idle timeout is short.

        If targets report their speed, entries turn to any of them for moments.
        Then a fixed part of the entries keeps a connection to each target.
        """
        if target.pool.size > self.max_connections:
            return 0
        if not self.are_connections_scarce:
            return None
        now = time.monotonic()
        usable = [
            candidate
            for candidate in self.directory.list_usable(target.listed.service)
            if candidate.health.is_reachable(now)
        ]
        if target.health.speed.is_reported:
            domains = {candidate.listed.domain for candidate in usable}
            is_kept = self.connection_share.keeps(
                target,
                max(len(domains), 1),
                is_local=target.listed.domain == self.domain,
            )
            return None if is_kept else 0
        if len(usable) == 1:
            return _LAST_TARGET_IDLE_TIMEOUT_S
        if target.listed.domain == self.domain:
            return None
        is_domain_usable = any(
            candidate.listed.domain == self.domain for candidate in usable
        )
        return _REMOTE_IDLE_TIMEOUT_S if is_domain_usable else None


class DispatchContextCache:
    """Creates dispatch contexts on first use.

    Budgets of services and durations of routes outlive a change of the table.
    """

    def __init__(
        self,
        wire: WireCodec,
        directory: Directory,
        options: GatewayOptions,
        generator: random.Random,
        reporter: RequestReporter,
        retry_grants: RetryGrantSource,
        permits: PermitSource,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._options = options
        self._generator = generator
        self._reporter = reporter
        self._retry_grants = retry_grants
        self._permits = permits
        self.admission = RequestAdmission(
            directory, generator, AdmissionReporter(reporter.metrics)
        )
        self._chooser = TargetChooser(options.domain, generator)
        self._started_at = time.monotonic()
        self._budgets: dict[str, RetryBudget] = {}
        self._latencies: dict[str, LatencyWindow] = {}
        self._pauses: dict[str, PauseEstimate] = {}
        self._contexts: dict[tuple[str, str], DispatchContext] = {}
        # Number of entries that share the limits of the targets; 0 if unknown.
        self.entries = 0

    def update_entries(self, count: int) -> None:
        """Set the number of entries that share the limits."""
        if count != self.entries:
            self.entries = count
            self.admission.entries = count
            self._contexts.clear()

    def apply_table(self, table: RoutingTable) -> None:
        """Forget the services and routes that a table doesn't name.

        The budget of a service that may be named again soon is kept.
        """
        self._contexts.clear()
        self.admission.apply_table(table)
        now = time.monotonic()
        services = {service.name for service in table.services}
        routes = {route.name for route in table.routes}
        spent = {
            name
            for name, budget in self._budgets.items()
            if budget.has_recent_extras(now)
        }
        self._budgets = retain_known(self._budgets, services | spent)
        self._latencies = retain_known(self._latencies, routes)
        self._pauses = retain_known(self._pauses, routes)

    def get(self, route: Route, service: Service) -> DispatchContext:
        """Return the context of a route's requests to a service."""
        key = (route.name, service.name)
        context = self._contexts.get(key)
        if context is None:
            context = self._create(route, service)
            self._contexts[key] = context
        return context

    def get_latency(self, route: Route) -> LatencyWindow:
        """Return the durations of recent replies to a route."""
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = LatencyWindow(route.objective_ms * _INITIAL_LATENCY_SHARE)
            self._latencies[route.name] = latency
        return latency

    def _create(self, route: Route, service: Service) -> DispatchContext:
        per_entry = service.max_connections / max(self.entries, 1)
        connections = per_entry * _CONNECTIONS_SHARE if self.entries else 0
        max_concurrent = _MAX_CONCURRENT
        if connections >= 1:
            max_concurrent = min(max_concurrent, int(per_entry))
        return DispatchContext(
            wire=self._wire,
            directory=self._directory,
            chooser=self._chooser,
            budget=self._get_budget(service.name),
            retry_grants=self._retry_grants,
            permits=self._permits,
            latency=self.get_latency(route),
            pauses=self._pauses.setdefault(route.name, PauseEstimate()),
            domain=self._options.domain,
            max_connections=max(int(connections), 1),
            max_concurrent=max_concurrent,
            are_connections_scarce=connections < 1,
            connection_share=ConnectionShare(
                service.max_connections * _CONNECTIONS_SHARE,
                max(self.entries, 1),
                self._generator,
            ),
            warm_up=WarmUpLimiter(
                service.warm_up_per_s,
                self.entries,
                self._generator,
            ),
            route=route.name,
            on_event=self._reporter.count,
            record_for_admission=partial(
                self.admission.record_reply, route.name
            ),
            allows_extra=self.admission.allows_extra,
        )

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._options.retry_budget_policy, self._started_at
            )
            self._budgets[service] = budget
        return budget
