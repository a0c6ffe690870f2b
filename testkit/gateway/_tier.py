"""Entries that share targets and exchange target conditions."""

import asyncio
import random
import time

from shallotgate.aio import Response
from shallotgate.extras import RetryBudgetPolicy, RetryGrantPool
from shallotgate.generated.messages import TargetPaces
from shallotgate.pacing import PaceBoard
from shallotgate.registry import ConditionTracker
from shallotgate.target_limits import LimitBoard, PermitAllocator
from testkit.gateway._simulation import (
    ALLOWED_RATIO,
    DOMAINS,
    SLACK,
    WINDOW_S,
    SimulatedEntry,
)
from testkit.gateway._targets import SimulatedTarget

# Interval between messages of an entry to the leader, in seconds: the leader
# holds a long poll about as long if nothing has changed.
_LONG_POLL_S = 0.8
# Interval at which the leader checks for changes, in seconds.
_CHECK_INTERVAL_S = 0.05
# Keeps the revisions of the limits of two leaders distinct.
_REVISIONS_PER_LEADER = 1_000_000


class SimulatedTier:
    """Entries with requests distributed at random.

    Keywords are those of ``SimulatedEntry``. The retry grants of the leader
    are active from the start.
    """

    def __init__(
        self,
        entries: int,
        *,
        slack: float = SLACK,
        has_leader: bool = True,
        domains: str = DOMAINS,
        **fields: object,
    ) -> None:
        """Create the entries.

        ``has_leader`` is whether a leader grants extra attempts; ``domains``
        are the failure domains of the entries.
        """
        fields = {'slack': slack, **fields}
        pool = RetryGrantPool(RetryBudgetPolicy(ALLOWED_RATIO, slack, WINDOW_S))
        pool.activate(float('-inf'), float('-inf'))
        first = SimulatedEntry(
            domain=domains[0],
            **fields,  # type: ignore[arg-type]
        )
        fields['targets'] = first.targets
        others = [
            SimulatedEntry(
                seed=number,
                domain=domains[number % len(domains)],
                **fields,  # type: ignore[arg-type]
            )
            for number in range(1, entries)
        ]
        self.entries = [first, *others]
        self.targets = first.targets
        for entry in self.entries:
            entry.gateway.entries = entries
            entry.pool = pool if has_leader else None
        self._conditions = ConditionTracker(0)
        self._paces = PaceBoard(0)
        self._listing_revision = 0
        self.list_targets()
        self._leader_count = 0
        if has_leader:
            self.begin_leadership(float('-inf'))

    def begin_leadership(self, now: float) -> None:
        """Let a new leader grant permits; it knows of no limits."""
        self._leader_count += 1
        limits = LimitBoard(self._leader_count * _REVISIONS_PER_LEADER)
        allocator = PermitAllocator()
        allocator.activate(now)
        for entry in self.entries:
            entry.limits = limits
            entry.allocator = allocator

    def end_leadership(self) -> None:
        """Leave the entries without a leader that grants permits."""
        for entry in self.entries:
            entry.limits = None
            entry.allocator = None

    async def send_requests(
        self,
        count: int,
        per_s: float,
    ) -> list[tuple[Response, float]]:
        """Send requests at a total rate; return responses and latencies."""
        generator = random.Random(count)  # noqa: S311 - no secret
        tasks = []
        for number in range(count):
            entry = generator.choice(self.entries)
            tasks.append(
                asyncio.ensure_future(entry.send_request(f'q{number}'))
            )
            await asyncio.sleep(1 / per_s)  # noqa: WPS476 - paces requests
        return list(await asyncio.gather(*tasks))

    def list_targets(self) -> None:
        """List the targets anew for the leader and the entries."""
        self._listing_revision += 1
        for entry in self.entries:
            listed = entry.list_targets(self._listing_revision)
        now = time.monotonic()
        self._paces.apply_listing(listed, now)
        for entry in self.entries:
            entry.pacer.apply(self._make_paces(entry), now)

    async def exchange_reports(self) -> None:
        """Exchange conditions between entries and leader until cancelled."""
        polls = [self._poll_leader(entry) for entry in self.entries]
        await asyncio.gather(*polls)

    def list_all_targets(self) -> list[SimulatedTarget]:
        """Return the targets of all services."""
        return [
            target for targets in self.targets.values() for target in targets
        ]

    async def _poll_leader(self, entry: SimulatedEntry) -> None:
        loop = asyncio.get_running_loop()
        while True:  # noqa: WPS457 - until it is cancelled
            self._send_report(entry)
            until = loop.time() + _LONG_POLL_S
            is_urgent = False
            while not is_urgent and loop.time() < until:
                await asyncio.sleep(_CHECK_INTERVAL_S)  # noqa: WPS476 - polls
                if entry.directory.reply_stats.is_report_due:
                    self._send_report(entry)
                self._conditions.publish(loop.time())
                is_urgent = self._conditions.is_urgent(
                    entry.directory.conditions_revision
                )
            entry.directory.apply_conditions(
                self._conditions.make_update(
                    entry.directory.conditions_revision, merges=True
                )
            )
            _apply_limits(entry)
            entry.pacer.apply(self._make_paces(entry), loop.time())

    def _make_paces(self, entry: SimulatedEntry) -> TargetPaces | None:
        return self._paces.make_update(entry.pacer.revision)

    def _send_report(self, entry: SimulatedEntry) -> None:
        observed = entry.directory.reply_stats.drain()
        if observed is None:
            return
        now = asyncio.get_running_loop().time()
        self._paces.record_replies(observed, now)
        self._conditions.record_replies(
            observed, now, self._paces.list_active()
        )
        if entry.limits is not None:
            entry.limits.record_replies(observed, now)


def _apply_limits(entry: SimulatedEntry) -> None:
    if entry.limits is None:
        return
    limits = entry.limits.make_update(entry.directory.limits_revision)
    if limits is not None:
        entry.directory.apply_limits(limits)
