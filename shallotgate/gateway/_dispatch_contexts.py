"""Dispatch contexts of the routes and services of the active table."""

import random
import time

from shallotgate.extras import RetryBudget
from shallotgate.gateway._active_table import retain_known
from shallotgate.gateway._directory import Directory
from shallotgate.gateway._dispatch import DispatchContext
from shallotgate.gateway._latency import LatencyWindow
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import RetryGrantSource
from shallotgate.gateway._target_chooser import TargetChooser
from shallotgate.gateway._warm_up import WarmUpLimiter
from shallotgate.gateway._wire import WireCodec
from shallotgate.routes import Route, RoutingTable, Service

# Part of a target's connection limit that all entries together use.
_CONNECTIONS_SHARE = 0.8
# Initial estimate of the reply duration, as a share of the objective. The first
# replies of an entry also include connection setup.
_INITIAL_LATENCY_SHARE = 0.25


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
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._options = options
        self._generator = generator
        self._reporter = reporter
        self._retry_grants = retry_grants
        self._chooser = TargetChooser(options.domain, generator)
        self._started_at = time.monotonic()
        self._budgets: dict[str, RetryBudget] = {}
        self._latencies: dict[str, LatencyWindow] = {}
        self._contexts: dict[tuple[str, str], DispatchContext] = {}
        # Number of entries that share the limits of the targets; 0 if unknown.
        self.entries = 0

    def update_entries(self, count: int) -> None:
        """Set the number of entries that share the limits."""
        if count != self.entries:
            self.entries = count
            self._contexts.clear()

    def apply_table(self, table: RoutingTable) -> None:
        """Forget the services and routes that a table doesn't name.

        The budget of a service that may be named again soon is kept.
        """
        self._contexts.clear()
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
        connections: float = 0
        if self.entries:
            connections = (
                service.max_connections * _CONNECTIONS_SHARE / self.entries
            )
        return DispatchContext(
            wire=self._wire,
            directory=self._directory,
            chooser=self._chooser,
            budget=self._get_budget(service.name),
            retry_grants=self._retry_grants,
            latency=self.get_latency(route),
            domain=self._options.domain,
            max_connections=max(int(connections), 1),
            are_connections_scarce=connections < 1,
            warm_up=WarmUpLimiter(
                service.warm_up_per_s,
                self.entries,
                self._generator,
            ),
            on_event=self._reporter.count,
        )

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._options.retry_budget_policy, self._started_at
            )
            self._budgets[service] = budget
        return budget
