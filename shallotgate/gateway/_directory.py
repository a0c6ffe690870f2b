"""Targets that requests may be sent to."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from shallotgate.gateway._connection_pool import LinkPool
from shallotgate.gateway._health import TargetHealth
from shallotgate.gateway._reply_stats import ReplySums
from shallotgate.generated.messages import (
    ListedTarget,
    ListingUpdate,
    TargetConditions,
)
from shallotgate.logs import get_logger

_LOGGER = get_logger('directory')
_MS_PER_S = 1000
# Usual times below this are taken as this, in milliseconds.
_MIN_PEERS_MS = 0.1


@dataclass(eq=False)
class Target:
    """A listed target and what this entry holds for it."""

    listed: ListedTarget
    pool: LinkPool
    # Collects what the replies show, for the leader.
    sums: ReplySums
    # Monotonic time until which the target is cold.
    cold_until: float = 0
    # Monotonic time from which this entry may send to it while it is cold;
    # None before that was decided.
    cold_next_at: float | None = None
    health: TargetHealth = field(default_factory=TargetHealth)

    def note_reply(self, duration_ms: float, peers_ms: float) -> None:
        """Take up the time of a reply and that of its peers' replies."""
        slowness = duration_ms / max(peers_ms, _MIN_PEERS_MS)
        self.health.note_reply(slowness)
        self.sums.add_reply(self.listed.target, slowness)

    def note_failure(self) -> None:
        """Take up that a request failed or was turned away."""
        self.health.note_failure()
        self.sums.add_failure(self.listed.target)

    def note_connect_failure(self) -> None:
        """Take up that no connection could be opened."""
        self.health.note_connect_failure()
        self.sums.add_failure(self.listed.target)


class Directory:
    """Targets by service, as the leader last told."""

    def __init__(self, on_trouble: Callable[[], None] | None = None) -> None:
        """``on_trouble`` is called when the leader should hear of replies."""
        self.source = ''
        self.revision = -1
        self.domains_out: frozenset[str] = frozenset()
        self.domains_revision = -1
        self.sums = ReplySums(on_trouble)
        # Revision of the conditions that the leader told; -1 without any.
        self.conditions_revision = -1
        # Targets that the leader said are not well.
        self._unwell: list[Target] = []
        self._targets: dict[str, Target] = {}
        # Targets that may get new work, by service.
        self._usable: dict[str, list[Target]] = {}

    def list_usable(self, service: str) -> Sequence[Target]:
        """Return the targets of a service that may get new work."""
        return self._usable.get(service, ())

    def take_domains_out(self, revision: int, out: Iterable[str]) -> None:
        """Take failure domains out of service, and all others back in."""
        if revision <= self.domains_revision:
            return
        self.domains_revision = revision
        self.domains_out = frozenset(out)
        self._sort_out()
        _LOGGER.info(
            'Domains out of service changed.',
            extra={'revision': revision, 'out': sorted(self.domains_out)},
        )

    def list_unwell(self) -> Sequence[Target]:
        """Return the targets that the leader said are not well."""
        return tuple(self._unwell)

    def take_conditions(self, conditions: TargetConditions | None) -> None:
        """Take up which targets are not well; None if that is unchanged."""
        if conditions is None:
            for target in self._unwell:
                target.health.confirm_shared()
            return
        self.conditions_revision = conditions.revision
        for target in self._unwell:
            target.health.forget_shared()
        self._unwell = []
        for name, factor, failures in zip(
            conditions.targets,
            conditions.factors,
            conditions.failures,
            strict=True,
        ):
            target_or_none = self._targets.get(name)
            if target_or_none is not None:
                target_or_none.health.note_shared(factor, failures)
                self._unwell.append(target_or_none)

    def update(self, update: ListingUpdate) -> None:
        """Take up a new list or its changes."""
        if update.full:
            kept = {listed.target for listed in update.targets}
            gone = [name for name in self._targets if name not in kept]
        else:
            gone = list(update.gone)
        for name in gone:
            self._remove(name)
        for listed in update.targets:
            self._put(listed)
        self.source = update.source
        self.revision = update.revision
        self._sort_out()

    def forget_misdirected(self, target: Target) -> None:
        """Stop to use a target whose address belongs to another one now."""
        name = target.listed.target
        if self._targets.get(name) is not target:
            return
        self._remove(name)
        self._sort_out()

    def _sort_out(self) -> None:
        """Find the targets that may get new work."""
        self._usable = {}
        for target in self._targets.values():
            listed = target.listed
            if not listed.leaving and listed.domain not in self.domains_out:
                self._usable.setdefault(listed.service, []).append(target)

    def _put(self, listed: ListedTarget) -> None:
        known = self._targets.get(listed.target)
        cold_until = time.monotonic() + listed.warm_up_ms / _MS_PER_S
        if known is None or known.listed.address != listed.address:
            if known is not None:
                known.pool.close()
            pool = LinkPool(listed.address)
            self._targets[listed.target] = Target(
                listed,
                pool,
                self.sums,
                cold_until,
            )
            _LOGGER.info('Target listed.', extra=_describe(listed))
            return
        if known.listed.leaving != listed.leaving:
            _LOGGER.info('Target changed.', extra=_describe(listed))
        known.listed = listed
        known.cold_until = cold_until

    def _remove(self, name: str) -> None:
        target = self._targets.pop(name, None)
        if target is not None:
            target.pool.close()
            _LOGGER.info('Target gone.', extra=_describe(target.listed))


def _describe(listed: ListedTarget) -> dict[str, object]:
    return {
        'target': listed.target,
        'service': listed.service,
        'leaving': listed.leaving,
    }
