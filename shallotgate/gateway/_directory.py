"""Targets known to this entry, as listed by the leader."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from shallotgate.gateway._connection_pool import ConnectionPool
from shallotgate.gateway._health import TargetHealth
from shallotgate.gateway._pacer import NoPacing, TargetPacer
from shallotgate.gateway._reply_stats import ReplyStats
from shallotgate.gateway._version_selector import VersionSelector
from shallotgate.gateway._wire import ReplyMetadata, TargetLoad
from shallotgate.generated.messages import (
    ListedTarget,
    ListingUpdate,
    TargetConditions,
    TargetLimits,
    VersionsUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.target_limits import NO_LIMIT

_LOGGER = get_logger('directory')
_MS_PER_S = 1000
_PERCENT = 100
# Longest pause that a target may ask for, in seconds.
_MAX_PAUSE_S = 3600.0
# Lower bound for the median in slowness ratios, in milliseconds.
_MIN_MEDIAN_MS = 0.1
# Greatest factor that a reported speed explains to the leader. A target is as
# slow as this for moments, which end before other entries could avoid it.
_MAX_EXPLAINED_FACTOR = 2.5


@dataclass(eq=False)
class Target:
    """A listed target and the local state kept for it."""

    listed: ListedTarget
    pool: ConnectionPool
    # Statistics that are reported to the leader.
    reply_stats: ReplyStats
    # Monotonic time until which the target is warming up.
    cold_until: float = 0
    # Monotonic time from which this entry may send to it during its warm-up;
    # None before a time was assigned.
    cold_next_at: float | None = None
    health: TargetHealth = field(default_factory=TargetHealth)
    # Requests a second that it takes from all entries together; None if it
    # states no limit.
    limit_per_s: float | None = None
    # Whether it has stated in a reply that it leaves.
    is_leaving: bool = False
    # Monotonic time until which it wants no request of this entry.
    paused_until: float = 0

    def record_reply(self, duration_ms: float, median_ms: float) -> None:
        """Record the duration of a reply relative to the median."""
        slowness = duration_ms / max(median_ms, _MIN_MEDIAN_MS)
        explained: float = 1
        if self.health.speed.is_reported:
            explained = self.health.speed.estimate_factor(time.monotonic())
        self.health.record_reply(slowness / explained)
        self.reply_stats.add_reply(
            self.listed.target,
            slowness / min(explained, _MAX_EXPLAINED_FACTOR),
        )

    def record_failure(self) -> None:
        """Record a failed or rejected request."""
        self.health.record_failure()
        self.reply_stats.add_failure(self.listed.target)

    def record_connect_failure(self) -> None:
        """Record a failure to connect."""
        self.health.record_connect_failure()
        self.reply_stats.add_lost(self.listed.target)

    def record_lost(self) -> None:
        """Record an attempt that got no reply."""
        self.health.record_failure()
        self.reply_stats.add_lost(self.listed.target)

    def record_load(self, load: TargetLoad) -> None:
        """Record the load stated in a reply."""
        self.health.record_load(load)
        if load.duration_percent is not None:
            self.reply_stats.add_load(
                self.listed.target,
                load.duration_percent / _PERCENT,
                load.waiting / max(load.slots, 1),
            )

    def record_limit(self, metadata: ReplyMetadata) -> None:
        """Record the limit stated in a reply, or that none is stated."""
        # A reply without a signature may come from something else in between.
        is_stated = metadata.signature or metadata.limit_per_s is not None
        if not is_stated or metadata.limit_per_s == self.limit_per_s:
            return
        self.limit_per_s = metadata.limit_per_s
        self.reply_stats.add_limit(self.listed.target, self.limit_per_s)
        _LOGGER.info(
            'Target states another limit.',
            extra={
                'target': self.listed.target,
                'limit_per_s': self.limit_per_s,
            },
        )


class Directory:
    """Targets by service, updated by the leader."""

    def __init__(
        self,
        on_report_due: Callable[[], None] | None = None,
        pacer: TargetPacer | None = None,
    ) -> None:
        """``on_report_due`` is called when statistics should be sent now."""
        self.pacer = pacer or NoPacing()
        self.source = ''
        self.revision = -1
        self.domains_out: frozenset[str] = frozenset()
        self.domains_revision = -1
        self.reply_stats = ReplyStats(on_report_due)
        # Revision of the target conditions last received; -1 before the first.
        self.conditions_revision = -1
        # Slowness factors and failure rates of targets that the leader reported
        # as slow or failing, and those of these targets that are listed.
        self._conditions: dict[str, tuple[float, float]] = {}
        self._degraded: list[Target] = []
        self._targets: dict[str, Target] = {}
        # Revision of the limits last received; -1 before the first.
        self.limits_revision = -1
        # Limits received of targets that are not listed yet.
        self._unlisted_limits: dict[str, float] = {}
        # Targets eligible for new requests, by service.
        self._usable: dict[str, list[Target]] = {}
        # Services of which a target has reported its speed.
        self._reporting: set[str] = set()
        # Targets of versions that are being tried, by service.
        self._candidates: dict[str, list[Target]] = {}
        self.versions = VersionSelector()

    def list_usable(self, service: str) -> Sequence[Target]:
        """Return the targets of a service that may receive new requests."""
        return self._usable.get(service, ())

    def list_candidates(self, service: str) -> Sequence[Target]:
        """Return the targets of a service that need a permit of a rollout."""
        return self._candidates.get(service, ())

    def apply_versions(self, update: VersionsUpdate) -> None:
        """Replace the rules for versions."""
        self.versions.apply(update)
        self._rebuild_usable()

    def apply_domains_out(self, revision: int, out: Iterable[str]) -> None:
        """Replace the set of failure domains that are out of service.

        A revision that is not newer than the current one is ignored.
        """
        if revision <= self.domains_revision:
            return
        self.domains_revision = revision
        self.domains_out = frozenset(out)
        self._rebuild_usable()
        _LOGGER.info(
            'Domains out of service changed.',
            extra={'revision': revision, 'out': sorted(self.domains_out)},
        )

    def list_degraded(self) -> Sequence[Target]:
        """Return the targets reported as slow or failing."""
        return tuple(self._degraded)

    def apply_conditions(self, conditions: TargetConditions | None) -> None:
        """Apply conditions of targets; None renews the current ones."""
        if conditions is None:
            for target in self._degraded:
                target.health.renew_shared()
            return
        if conditions.base_revision < 0:
            self._conditions.clear()
        elif conditions.base_revision != self.conditions_revision:
            # A reply to an earlier question; the next one tells what it lacks.
            return
        self.conditions_revision = conditions.revision
        for name in conditions.recovered:
            self._conditions.pop(name, None)
        self._conditions.update(
            zip(
                conditions.targets,
                zip(conditions.factors, conditions.failures, strict=True),
                strict=True,
            )
        )
        self._share_conditions()

    def apply_limits(self, limits: TargetLimits) -> None:
        """Apply limits of targets that other entries observed.

        A target that is not named keeps its limit until a reply states another.
        """
        self.limits_revision = limits.revision
        self._unlisted_limits.clear()
        for name, limit in zip(limits.targets, limits.limits, strict=True):
            target = self._targets.get(name)
            if target is not None:
                target.limit_per_s = None if limit == NO_LIMIT else limit
            elif limit != NO_LIMIT:
                self._unlisted_limits[name] = limit

    def update(self, update: ListingUpdate) -> None:
        """Apply a full listing or an incremental update."""
        if update.full:
            listed_names = {listed.target for listed in update.targets}
            gone = [name for name in self._targets if name not in listed_names]
        else:
            gone = list(update.gone)
        for name in gone:
            self._remove(name)
        for listed in update.targets:
            self._upsert(listed)
        self.source = update.source
        self.revision = update.revision
        self._rebuild_usable()
        self._share_conditions()

    def record_statements(
        self, target: Target, metadata: ReplyMetadata
    ) -> None:
        """Record what a target states of itself in a reply."""
        if metadata.load is not None:
            target.record_load(metadata.load)
            if metadata.load.duration_percent is not None:
                self._reporting.add(target.listed.service)
        target.record_limit(metadata)
        if metadata.pause_s is not None:
            pause_s = min(metadata.pause_s, _MAX_PAUSE_S)
            target.paused_until = max(
                target.paused_until, time.monotonic() + pause_s
            )
        if metadata.is_leaving and not target.is_leaving:
            target.is_leaving = True
            _LOGGER.info(
                'Target states that it leaves.', extra=_describe(target.listed)
            )
            self._rebuild_usable()

    def remove_misdirected(self, target: Target) -> None:
        """Remove a target whose address now belongs to another one."""
        name = target.listed.target
        if self._targets.get(name) is not target:
            return
        self._remove(name)
        self._rebuild_usable()

    def _share_conditions(self) -> None:
        """Pass the conditions on to the listed targets."""
        for target in self._degraded:
            target.health.expire_shared()
        self._degraded = []
        for name, condition in self._conditions.items():
            degraded = self._targets.get(name)
            if degraded is not None:
                degraded.health.set_shared(*condition)
                self._degraded.append(degraded)

    def _rebuild_usable(self) -> None:
        """Recompute the targets that may receive new requests."""
        self._usable = {}
        self._candidates = {}
        for target in self._targets.values():
            listed = target.listed
            is_leaving = listed.leaving or target.is_leaving
            if is_leaving or listed.domain in self.domains_out:
                continue
            if self.versions.is_open(listed):
                self._usable.setdefault(listed.service, []).append(target)
            elif self.versions.is_candidate(listed):
                self._candidates.setdefault(listed.service, []).append(target)

    def _upsert(self, listed: ListedTarget) -> None:
        known = self._targets.get(listed.target)
        cold_until = time.monotonic() + listed.warm_up_ms / _MS_PER_S
        if known is None or known.listed.address != listed.address:
            if known is not None:
                known.pool.close()
            if listed.service in self._reporting:
                self.pacer.start(listed, time.monotonic())
            pool = ConnectionPool(listed.address)
            self._targets[listed.target] = Target(
                listed,
                pool,
                self.reply_stats,
                cold_until,
                limit_per_s=self._unlisted_limits.pop(listed.target, None),
            )
            _LOGGER.info('Target listed.', extra=_describe(listed))
            return
        if known.listed.leaving != listed.leaving:
            _LOGGER.info('Target changed.', extra=_describe(listed))
        if known.listed.leaving and not listed.leaving:
            # It has started again under its id.
            known.is_leaving = False
            if listed.service in self._reporting:
                self.pacer.start(listed, time.monotonic())
        known.listed = listed
        known.cold_until = cold_until

    def _remove(self, name: str) -> None:
        target = self._targets.pop(name, None)
        if target is not None:
            target.pool.close()
            self.pacer.remove(name)
            _LOGGER.info('Target gone.', extra=_describe(target.listed))


def _describe(listed: ListedTarget) -> dict[str, object]:
    return {
        'target': listed.target,
        'service': listed.service,
        'leaving': listed.leaving,
    }
