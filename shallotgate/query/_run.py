"""Fans one query out over the shards of one index version."""

import time
from collections.abc import Iterable, Sequence

from shallotgate.generated.answers import Answer
from shallotgate.generated.messages import AttemptReply
from shallotgate.invariants import check
from shallotgate.query._coverage import make_covered_answer
from shallotgate.query._dispatcher import SentAttempt, Shard
from shallotgate.query._driver import RETRY_INTERVAL_S, ShardDriver
from shallotgate.query._merge import InvalidMatchesError, Match, decode_matches
from shallotgate.query._selectors import AnyReplicaSelector, TargetSelector
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.routing import Route

# Reasons of not_run replies that apply to every target.
_SUSPECT_REASONS = frozenset(('suspect', 'quarantined'))
# Statuses that close a shard, since the target ran the attempt or may still
# be running it.
_FINAL_STATUSES = frozenset(('failed', 'timeout'))
# Statuses without a reply from the target; another replica is tried.
_LOST_STATUSES = frozenset(('lost', 'cancelled'))
# Reasons of not_run replies that come from the owner, or from this instance
# if the owner is unreachable. The target did not receive the attempt, so the
# next one is not charged to the retry budget.
_REJECTED_BEFORE_TARGET = frozenset(
    ('not_owner', 'no_lease', 'owner_unreachable')
)
# Reason of a timeout that this instance generates if the owner does not reply
# within the maximum duration of an attempt, which may expire long before the
# deadline of the query.
_NO_REPLY_REASON = 'no_reply'


class QueryRun:
    """Runs one query on the calling thread; not thread-safe."""

    def __init__(self, deps: QueryDependencies, task: Task) -> None:
        self._deps = deps
        self._answered = 0
        # Longest service time in the current phase, in milliseconds.
        self._phase_service_ms: float = 0
        self.task = task
        self.driver = ShardDriver(deps, task)
        self.dispatcher = self.driver.dispatcher
        self.shards: tuple[Shard, ...] = ()

    def bind(self) -> bool:
        """Bind the query to an index version; False if no target is known.

        Waits for target reports until the deadline in coverage mode, or
        until the soft limit in latency mode.
        """
        route = self.driver.get_route()
        while route is None:
            if time.monotonic() >= self.task.soft_deadline:
                return False
            time.sleep(RETRY_INTERVAL_S)
            route = self.driver.get_route()
        self._bind_route(route)
        return True

    def restart(self) -> None:
        """Cancel all attempts so that the query can be bound again."""
        self.dispatcher.cancel_all()
        self.dispatcher.usage.restarts += 1

    def run_shards(
        self, shards: Iterable[Shard], selector: TargetSelector
    ) -> None:
        """Send attempts for shards until all are answered or time expires."""
        self.driver.selector = selector
        self.dispatcher.usage.lost_in_phase = False
        opened = [shard for shard in shards if shard.matches is None]
        self.driver.open_shards = len(opened)
        first = sum(1 for shard in opened if not shard.attempts_sent)
        self._deps.hedge_budget.record_attempts(first)
        self._deps.retry_budget.record_attempts(first)
        now = time.monotonic()
        for shard in opened:
            shard.is_open = True
            if not self._is_expired():
                self.driver.send_next(shard, now)
        self._phase_service_ms = 0
        self._process_replies()
        self.dispatcher.usage.service_ms += self._phase_service_ms

    def run_all(self) -> None:
        """Send attempts for all shards that are not answered yet."""
        self.run_shards(self.shards, AnyReplicaSelector(self._deps.chooser))

    def finish(self, unanswered_reason: str = '') -> Answer:
        """Cancel active attempts and build the answer.

        ``unanswered_reason`` is reported for shards without an attempt.
        """
        self.dispatcher.cancel_all()
        is_late = self.task.remaining_s() <= 0
        time_reason = 'deadline' if is_late else 'soft_limit'
        return make_covered_answer(
            self.task,
            self.dispatcher.usage,
            self.driver.index_version,
            self.shards,
            unanswered_reason or time_reason,
        )

    def _bind_route(self, route: Route) -> None:
        self.driver.reset(route.index_version)
        self._answered = 0
        if route.index_version:
            self.shards = tuple(
                Shard(partition, candidates)
                for partition, candidates in enumerate(route.shards)
            )
        else:
            self.shards = (Shard(-1, route.candidates),)

    def _process_replies(self) -> None:
        while (
            self.driver.open_shards
            and not self.driver.needs_restart
            and not self._is_expired()
        ):
            now = time.monotonic()
            if not self.dispatcher.has_reply():
                # Queued replies are processed first: the delay is on this
                # thread, and hedges would not shorten it.
                self.driver.run_timers(now)
            received = self.dispatcher.receive(self._next_wakeup_at() - now)
            if received is not None:
                self._handle_reply(*received)

    def _is_expired(self) -> bool:
        now = time.monotonic()
        if now >= self.task.deadline:
            return True
        # An answer without any shard is useless, so the query waits for the
        # first shard beyond the soft limit.
        return now >= self.task.soft_deadline and self._answered > 0

    def _next_wakeup_at(self) -> float:
        end = self.task.deadline
        if self._answered:
            end = min(end, self.task.soft_deadline)
        return min(end, self.driver.next_timer_at())

    def _handle_reply(self, sent: SentAttempt, reply: AttemptReply) -> None:
        if reply.status != 'ok':
            self._handle_failure(sent, reply)
            return
        matches = self._decode_expected_matches(sent, reply)
        if matches is None:
            self._handle_mismatch(sent)
            return
        shard = sent.shard
        self._phase_service_ms = max(self._phase_service_ms, reply.service_ms)
        shard.matches = matches
        shard.truncated = reply.truncated
        shard.covered = reply.covered
        self._answered += 1
        self.driver.close(shard)
        for superseded in tuple(shard.active):
            self.dispatcher.cancel(superseded)

    def _decode_expected_matches(
        self,
        sent: SentAttempt,
        reply: AttemptReply,
    ) -> Sequence[Match] | None:
        """Return the matches of a reply, None if it can't be merged."""
        is_expected = (
            reply.index_version == self.driver.index_version
            and reply.partition == sent.shard.partition
        )
        if not is_expected:
            return None
        check(
            sent.attempt.index_version == reply.index_version,
            'merged-replies-of-one-snapshot',
            request_id=self.task.request_id,
        )
        try:
            return decode_matches(reply.matches)
        except InvalidMatchesError:
            return None

    def _handle_mismatch(self, sent: SentAttempt) -> None:
        # Handled like a lost connection: the attempt ran, but there is no
        # usable reply.
        shard = sent.shard
        self.dispatcher.usage.discarded += 1
        shard.reason = 'mismatch'
        shard.lost_attempts += 1
        shard.excluded_targets.add(sent.candidate.target)
        if not shard.active:
            self.driver.handle_failure(shard, is_final=False)

    def _handle_failure(self, sent: SentAttempt, reply: AttemptReply) -> None:
        shard = sent.shard
        shard.reason = reply.reason or reply.status
        is_without_reply = reply.reason == _NO_REPLY_REASON
        is_final = reply.status in _FINAL_STATUSES and not is_without_reply
        if reply.status == 'not_run':
            is_final = self._is_permanent_refusal(reply)
            shard.is_retry_free = reply.reason in _REJECTED_BEFORE_TARGET
            shard.skipped_targets.add(sent.candidate.target)
        else:
            shard.excluded_targets.add(sent.candidate.target)
        if reply.status == 'failed' and self.driver.selector.screening:
            # Every resend is screened on the same target first, so a fault of
            # that target would otherwise fail the content permanently.
            is_final = False
        if reply.status in _LOST_STATUSES or is_without_reply:
            shard.lost_attempts += 1
        if not shard.active:
            self.driver.handle_failure(shard, is_final=is_final)

    def _is_permanent_refusal(self, reply: AttemptReply) -> bool:
        """Return whether the refusal applies to all other targets as well."""
        selector = self.driver.selector
        if selector.trial:
            # The trial may not have been replicated to the owner yet.
            return False
        if selector.screening and reply.state is not None and reply.state.lost:
            # The same content may have caused the loss of the target.
            return True
        return reply.reason in _SUSPECT_REASONS
