"""Sends, repeats and hedges the attempts of a query's shards."""

import heapq
import itertools
import time

from shallotgate.query._exchange import Exchange, Shard
from shallotgate.query._extra import STALL_S, ExtraAttempts
from shallotgate.query._pick import FreePick, Pick
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.routing import Candidate, Route

# Between two looks for a usable target or for budget to retry.
PAUSE_S = 0.025
# A hedge, or one more where the owners of both don't reply.
_MAX_ACTIVE = 3
# A partition whose second attempt is lost too is given up.
_MAX_LOSSES = 2


class ShardDriver:
    """Decides what is sent for each shard of one query; used by one thread."""

    def __init__(self, parts: QueryDependencies, task: Task) -> None:
        self._parts = parts
        self._task = task
        self._timers: list[tuple[float, int, Shard]] = []
        self._numbers = itertools.count()
        self.exchange = Exchange(parts, task)
        self._extra = ExtraAttempts(parts, task, self.exchange.usage)
        self.pick: Pick = FreePick(parts.chooser)
        self.index_version = 0
        # Shards that may still get an answer.
        self.open = 0
        # Set when the bound version is retired.
        self.restart_due = False

    def reset(self, index_version: int) -> None:
        """Turn to the shards of a version."""
        self.index_version = index_version
        self._timers.clear()
        self.restart_due = False

    def read_route(self) -> Route | None:
        """Return the present route of the query's group."""
        return self._parts.chooser.read_route(self._task.request.group)

    def next_timer(self) -> float:
        """Return the monotonic time of the next timer, else infinity."""
        return self._timers[0][0] if self._timers else float('inf')

    def run_timers(self, now: float) -> None:
        """Send the retries and hedges that are due."""
        while self._timers and self._timers[0][0] <= now:
            shard = heapq.heappop(self._timers)[2]
            if shard.is_open:
                self._run_timer(shard, now)

    def _run_timer(self, shard: Shard, now: float) -> None:
        running = len(shard.active)
        if running == 0 and shard.retry_at <= now:
            self.resend(shard, now)
        elif running and shard.hedge_at <= now:
            self._hedge(shard, now)

    def resend(self, shard: Shard, now: float) -> None:
        """Send the next attempt of a shard, or pause, or give up."""
        route = self.read_route()
        self._refresh(shard, route)
        candidate = self.pick.pick(
            shard.candidates,
            shard.barred | shard.passed,
            warm_only=False,
        )
        if candidate is None and self.pick.is_spent(shard.barred):
            self.close(shard)
        elif candidate is None:
            self._handle_no_target(shard, route, now)
        elif self._extra.may_send(shard):
            self.exchange.usage.retries += bool(shard.sends)
            self._send(shard, candidate, now)
        else:
            self._pause(shard, now)

    def follow_up(self, shard: Shard, *, is_final: bool) -> None:
        """Go on with a shard whose last attempt has failed."""
        if is_final or shard.losses >= _MAX_LOSSES:
            self.close(shard)
        elif self.pick.screening and self.exchange.usage.lost_in_phase:
            # Only a trial may run it again.
            self.close(shard)
        else:
            self.resend(shard, time.monotonic())

    def close(self, shard: Shard) -> None:
        """Expect no answer of a shard any more."""
        shard.is_open = False
        self.open -= 1

    def _schedule(self, when: float, shard: Shard) -> None:
        heapq.heappush(self._timers, (when, next(self._numbers), shard))

    def _refresh(self, shard: Shard, route: Route | None) -> None:
        if route is None or route.index_version != self.index_version:
            return
        if shard.partition < 0:
            shard.candidates = route.members
        elif shard.partition < len(route.shards):
            shard.candidates = route.shards[shard.partition]

    def _handle_no_target(
        self,
        shard: Shard,
        route: Route | None,
        now: float,
    ) -> None:
        shard.reason = shard.reason or 'no_target'
        version = route.index_version if route else 0
        if version in {0, self.index_version}:
            self._pause(shard, now)
        elif self.exchange.usage.restarts:
            shard.reason = 'version_retired'
            self.close(shard)
        else:
            self.restart_due = True

    def _pause(self, shard: Shard, now: float) -> None:
        shard.passed.clear()
        shard.retry_at = now + PAUSE_S
        self._schedule(shard.retry_at, shard)

    def _send(self, shard: Shard, candidate: Candidate, now: float) -> None:
        # Content may crash only some partitions: the second target that it
        # reaches in a partition is held against it if both are lost.
        is_first = not shard.losses and not shard.active
        sent = self.exchange.send(
            shard,
            candidate,
            self.index_version,
            screening=self.pick.screening,
            trial=self.pick.trial,
            proven=is_first and not self.pick.screening,
        )
        if sent is None or len(shard.active) >= _MAX_ACTIVE:
            return
        slow_s = STALL_S
        if len(shard.active) == 1:
            slow_s = min(self._extra.read_slow_s(candidate), STALL_S)
        self._watch(shard, now + slow_s)

    def _watch(self, shard: Shard, when: float) -> None:
        shard.hedge_at = when
        self._schedule(when, shard)

    def _hedge(self, shard: Shard, now: float) -> None:
        """Send an attempt next to a slow one or to stalled ones."""
        active = shard.active
        is_stalled = all(self._extra.is_stalled(one, now) for one in active)
        is_slow = len(active) == 1 and self._extra.is_slow(active[0], now)
        candidate = None
        if is_stalled or is_slow:
            self._refresh(shard, self.read_route())
            asked = {one.candidate.target for one in active}
            candidate = self.pick.pick(
                shard.candidates,
                shard.barred | shard.passed | asked,
                warm_only=not is_stalled,
            )
        if candidate is None or not self._extra.try_spend(is_stalled):
            # The slower it is, the less often the budget is asked.
            age_s = now - active[-1].sent_at
            self._watch(shard, now + min(max(age_s, PAUSE_S), STALL_S))
        else:
            self._send(shard, candidate, now)
