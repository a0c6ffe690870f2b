"""Admission of caller requests by what replies report of the targets."""

import math
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.admission import (
    AccountUsage,
    AdmissionControl,
    AdmissionRequest,
    LoadReport,
    OutlookBook,
    RequestKind,
    ShardState,
    TargetState,
)
from shallotgate.gateway._admission_report import AdmissionReporter
from shallotgate.gateway._call import Call
from shallotgate.gateway._coverage import count_needed
from shallotgate.gateway._directory import Directory, Target
from shallotgate.routes import Route, RoutingTable

# An attempt without a reply for this multiple of the objective is a failure in
# what entries tell each other: a target that hangs does not look like one that
# is slow.
_SILENT_OBJECTIVES = 3.0


class TargetLister(Protocol):
    """Knows the targets of a service that may receive a request now."""

    def list_open(self, service: str, objective_ms: float) -> Sequence[Target]:
        """Return the targets."""


@dataclass(frozen=True)
class Refusal:
    """A request that is refused before it is sent."""

    retry_after_s: float | None


class RequestAdmission:
    """Describes requests and targets to ``AdmissionControl``."""

    def __init__(
        self,
        directory: Directory,
        generator: random.Random,
        reporter: AdmissionReporter,
    ) -> None:
        self._directory = directory
        self._reporter = reporter
        self._book = OutlookBook()
        self._control = AdmissionControl(self._book, generator)

    @property
    def usage(self) -> AccountUsage:
        """Source of the used shares of the limits of accounts."""
        return self._control.usage

    @usage.setter
    def usage(self, usage: AccountUsage) -> None:
        self._control.usage = usage

    @property
    def entries(self) -> int:
        """Number of entries that share the targets; 0 if it is unknown."""
        return self._control.entries

    @entries.setter
    def entries(self, count: int) -> None:
        self._control.entries = count

    def apply_table(self, table: RoutingTable) -> None:
        """Apply the routes and the priorities of accounts."""
        priorities = {
            account.priority
            for account in table.accounts
            if account.priority is not None
        }
        kinds = [_describe_kind(route) for route in table.routes]
        self._control.apply_kinds(kinds, priorities)
        self._reporter.retain(self._book.kinds.services)

    def record_reply(
        self, route: str, target: Target, duration_ms: float
    ) -> bool:
        """Record a reply, or an attempt that was given up without one.

        Returns whether the target counts as silent.
        """
        now = time.monotonic()
        listed = target.listed
        load, reported_at = target.health.last_report or (None, -math.inf)
        if load is None or reported_at < now:
            self._book.record_silence(
                listed.service, listed.target, duration_ms, now
            )
            kind = self._book.kinds.by_name.get(route)
            return (
                kind is not None
                and self._book.knows_any((listed.service,))
                and duration_ms > kind.objective_ms * _SILENT_OBJECTIVES
            )
        report = LoadReport(
            load.running, load.waiting, load.slots, load.duration_percent or 0
        )
        self._book.record_reply(
            route, listed.service, listed.target, report, duration_ms, now
        )
        return False

    def refuse(
        self, call: Call, shards: Mapping[str, TargetLister]
    ) -> Refusal | None:
        """Return a refusal, or None if the request may be sent."""
        if not self._book.knows_any(shards):
            return None
        now = time.monotonic()
        request = self._describe(call, shards, now)
        decision = self._control.decide(request, now)
        if decision is None:
            return None
        self._reporter.record(call, decision, now)
        if decision.is_admitted:
            return None
        return Refusal(self._control.choose_return(request, decision, now))

    def choose_return(
        self, call: Call, shards: Mapping[str, TargetLister]
    ) -> float | None:
        """Return the delay after which a request that did not run returns.

        None if nothing is known.
        """
        if not self._book.knows_any(shards):
            return None
        now = time.monotonic()
        request = self._describe(call, shards, now)
        return self._control.choose_return(request, None, now)

    def allows_extra(self, service: str, targets: Sequence[Target]) -> bool:
        """Return whether a second attempt may be sent to one of the targets."""
        if not self._book.knows_any((service,)):
            return True
        now = time.monotonic()
        return self._control.allows_extra(
            self._describe_shard(service, targets, now), now
        )

    def _describe(
        self, call: Call, shards: Mapping[str, TargetLister], now: float
    ) -> AdmissionRequest:
        objective_ms = call.route.objective_ms
        return AdmissionRequest(
            kind=call.route.name,
            priority=call.priority,
            shards=[
                self._describe_shard(
                    service, lister.list_open(service, objective_ms), now
                )
                for service, lister in shards.items()
            ],
            deadline=call.deadline,
            answer_by=call.answer_by,
            account='' if call.account is None else call.account.name,
        )

    def _describe_shard(
        self, service: str, targets: Sequence[Target], now: float
    ) -> ShardState:
        states = [
            TargetState(
                target.listed.target,
                target.health.get_stall_ms(now),
                target.health.estimate_condition(now)[1],
            )
            for target in targets
        ]
        ready_s = None if states else self._find_ready_s(service, now)
        return ShardState(service, states, ready_s)

    def _find_ready_s(self, service: str, now: float) -> float | None:
        """Return when a target of a service may be used, if it is known."""
        moments = [
            max(
                target.paused_until,
                target.health.down_until,
                target.cold_next_at or 0,
            )
            for target in self._directory.list_usable(service)
        ]
        first_at = min(
            (moment for moment in moments if moment > now), default=0
        )
        return first_at - now if first_at else None


def _describe_kind(route: Route) -> RequestKind:
    return RequestKind(
        name=route.name,
        priority=route.priority,
        services=route.services,
        needed=count_needed(route),
        objective_ms=route.objective_ms,
    )
