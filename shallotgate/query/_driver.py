"""Sends, retries and hedges the attempts for the shards of a query."""

import heapq
import itertools
import time

from shallotgate.query._dispatcher import AttemptDispatcher, Shard
from shallotgate.query._extra_attempts import STALL_TIMEOUT_S, ExtraAttempts
from shallotgate.query._selectors import AnyReplicaSelector, TargetSelector
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.routing import Candidate, Route

# Interval between checks for an available target or retry budget.
RETRY_INTERVAL_S = 0.025
# The first attempt, a hedge, and one more if the owners of both are
# unresponsive.
_MAX_ACTIVE_ATTEMPTS = 3
# A shard is closed without an answer after this many lost attempts.
_MAX_LOST_ATTEMPTS = 2


class ShardDriver:
    """Schedules attempts, retries and hedges for the shards of one query.

    Not thread-safe: used only by the thread that runs the query.
    """

    def __init__(self, deps: QueryDependencies, task: Task) -> None:
        self._deps = deps
        self._task = task
        self._timers: list[tuple[float, int, Shard]] = []
        self._sequence = itertools.count()
        self.dispatcher = AttemptDispatcher(deps, task)
        self._extra = ExtraAttempts(deps, task, self.dispatcher.usage)
        self.selector: TargetSelector = AnyReplicaSelector(deps.chooser)
        self.index_version = 0
        # Number of shards that may still be answered.
        self.open_shards = 0
        # Set when the index version of the query has been retired.
        self.needs_restart = False

    def reset(self, index_version: int) -> None:
        """Clear all timers and switch to an index version."""
        self.index_version = index_version
        self._timers.clear()
        self.needs_restart = False

    def get_route(self) -> Route | None:
        """Return the current route of the query's group."""
        return self._deps.chooser.get_route(self._task.request.group)

    def next_timer_at(self) -> float:
        """Return the monotonic time of the next timer, or infinity."""
        return self._timers[0][0] if self._timers else float('inf')

    def run_timers(self, now: float) -> None:
        """Send all retries and hedges that are due."""
        while self._timers and self._timers[0][0] <= now:
            shard = heapq.heappop(self._timers)[2]
            if shard.is_open:
                self._run_timer(shard, now)

    def _run_timer(self, shard: Shard, now: float) -> None:
        running = len(shard.active)
        if running == 0 and shard.retry_at <= now:
            self.send_next(shard, now)
        elif running and shard.hedge_at <= now:
            self._hedge(shard, now)

    def send_next(self, shard: Shard, now: float) -> None:
        """Send the next attempt for a shard, defer it, or close the shard."""
        route = self.get_route()
        self._refresh_candidates(shard, route)
        candidate = self.selector.select(
            shard.candidates,
            shard.excluded_targets | shard.skipped_targets,
            warm_only=False,
        )
        if candidate is None and self.selector.is_exhausted(
            shard.excluded_targets
        ):
            self.close(shard)
        elif candidate is None:
            self._handle_no_target(shard, route, now)
        elif self._extra.may_send(shard):
            self.dispatcher.usage.retries += bool(shard.attempts_sent)
            self._send(shard, candidate, now)
        else:
            self._schedule_retry(shard, now)

    def handle_failure(self, shard: Shard, *, is_final: bool) -> None:
        """Retry a shard without active attempts, or close it."""
        if is_final or shard.lost_attempts >= _MAX_LOST_ATTEMPTS:
            self.close(shard)
        elif self.selector.screening and self.dispatcher.usage.lost_in_phase:
            # Unproven content that lost a target may only be rerun by a
            # trial.
            self.close(shard)
        else:
            self.send_next(shard, time.monotonic())

    def close(self, shard: Shard) -> None:
        """Stop waiting for an answer from a shard."""
        shard.is_open = False
        self.open_shards -= 1

    def _schedule(self, when: float, shard: Shard) -> None:
        heapq.heappush(self._timers, (when, next(self._sequence), shard))

    def _refresh_candidates(self, shard: Shard, route: Route | None) -> None:
        if route is None or route.index_version != self.index_version:
            return
        if shard.partition < 0:
            shard.candidates = route.candidates
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
            self._schedule_retry(shard, now)
        elif self.dispatcher.usage.restarts:
            shard.reason = 'version_retired'
            self.close(shard)
        else:
            self.needs_restart = True

    def _schedule_retry(self, shard: Shard, now: float) -> None:
        shard.skipped_targets.clear()
        shard.retry_at = now + RETRY_INTERVAL_S
        self._schedule(shard.retry_at, shard)

    def _send(self, shard: Shard, candidate: Candidate, now: float) -> None:
        # Content may crash only some partitions, so only the first attempt of
        # a partition is marked as proven. If a second target of the partition
        # is lost as well, that loss counts against the content.
        is_first = not shard.lost_attempts and not shard.active
        sent = self.dispatcher.send(
            shard,
            candidate,
            self.index_version,
            screening=self.selector.screening,
            trial=self.selector.trial,
            proven=is_first and not self.selector.screening,
        )
        if sent is None or len(shard.active) >= _MAX_ACTIVE_ATTEMPTS:
            return
        slow_s = STALL_TIMEOUT_S
        if len(shard.active) == 1:
            slow_s = min(self._extra.hedge_delay_s(candidate), STALL_TIMEOUT_S)
        self._schedule_hedge(shard, now + slow_s)

    def _schedule_hedge(self, shard: Shard, when: float) -> None:
        shard.hedge_at = when
        self._schedule(when, shard)

    def _hedge(self, shard: Shard, now: float) -> None:
        """Send a hedge for a slow attempt or for stalled ones."""
        active = shard.active
        is_stalled = all(self._extra.is_stalled(sent, now) for sent in active)
        is_slow = len(active) == 1 and self._extra.is_slow(active[0], now)
        candidate = None
        if is_stalled or is_slow:
            self._refresh_candidates(shard, self.get_route())
            asked = {sent.candidate.target for sent in active}
            candidate = self.selector.select(
                shard.candidates,
                shard.excluded_targets | shard.skipped_targets | asked,
                warm_only=not is_stalled,
            )
        if candidate is None or not self._extra.try_spend(is_stalled):
            # Back off in proportion to the age of the attempt.
            age_s = now - active[-1].sent_at
            self._schedule_hedge(
                shard, now + min(max(age_s, RETRY_INTERVAL_S), STALL_TIMEOUT_S)
            )
        else:
            self._send(shard, candidate, now)
