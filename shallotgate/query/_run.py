"""Fan-out of one query over the shards of one snapshot."""

import time
from collections.abc import Iterable, Sequence

from shallotgate.generated.answers import Answer
from shallotgate.generated.messages import AttemptReply
from shallotgate.invariants import check
from shallotgate.query._coverage import make_covered_answer
from shallotgate.query._driver import PAUSE_S, ShardDriver
from shallotgate.query._exchange import Sent, Shard
from shallotgate.query._merge import BadMatchesError, Match, decode_matches
from shallotgate.query._pick import FreePick, Pick
from shallotgate.query._task import QueryDependencies, Task
from shallotgate.routing import Route

# Reasons of not_run that hold on every target.
_SUSPECT_REASONS = frozenset(('suspect', 'quarantined'))
# Statuses that end a shard: the target ran it, or may still run it.
_FINAL = frozenset(('failed', 'timeout'))
# Statuses without a word of the target, after which a replica is tried.
_LOST = frozenset(('lost', 'cancelled'))
# Reasons of not_run that owners give, or this instance if it reached none:
# the target has seen nothing, so that its budget for retries is not touched.
_UNTOUCHED = frozenset(('not_owner', 'no_lease', 'owner_unreachable'))
# Reason of a timeout that this instance noted as the owner did not answer; it
# comes after the longest time of an attempt, which may be long before the
# deadline of the query.
_UNANSWERED = 'no_reply'


class QueryRun:
    """Runs one query; used by one thread."""

    def __init__(self, parts: QueryDependencies, task: Task) -> None:
        self._parts = parts
        self._answered = 0
        # Longest service time in the present phase in milliseconds.
        self._phase_ms: float = 0
        self.task = task
        self.driver = ShardDriver(parts, task)
        self.exchange = self.driver.exchange
        self.shards: tuple[Shard, ...] = ()

    def bind(self) -> bool:
        """Bind the query to a version; False if no target is known.

        A class of mode coverage waits for reports of targets up to its
        deadline, one of mode latency up to its soft limit.
        """
        route = self.driver.read_route()
        while route is None:
            if time.monotonic() >= self.task.soft_limit:
                return False
            time.sleep(PAUSE_S)
            route = self.driver.read_route()
        self._bind_route(route)
        return True

    def restart(self) -> None:
        """Give up all attempts so that the query can be bound again."""
        self.exchange.cancel_all()
        self.exchange.usage.restarts += 1

    def run_shards(self, shards: Iterable[Shard], pick: Pick) -> None:
        """Get answers for shards, until they have one or time is over."""
        self.driver.pick = pick
        self.exchange.usage.lost_in_phase = False
        opened = [shard for shard in shards if shard.matches is None]
        self.driver.open = len(opened)
        first = sum(1 for shard in opened if not shard.sends)
        self._parts.hedges.note_attempts(first)
        self._parts.retries.note_attempts(first)
        now = time.monotonic()
        for shard in opened:
            shard.is_open = True
            if not self._is_over():
                self.driver.resend(shard, now)
        self._phase_ms = 0
        self._pump()
        self.exchange.usage.service_ms += self._phase_ms

    def run_all(self) -> None:
        """Get answers for all shards that have none."""
        self.run_shards(self.shards, FreePick(self._parts.chooser))

    def finish(self, open_reason: str = '') -> Answer:
        """Give up what is still running and make the answer.

        ``open_reason`` says why shards that were not tried are missing.
        """
        self.exchange.cancel_all()
        is_late = self.task.remaining_s() <= 0
        time_reason = 'deadline' if is_late else 'soft_limit'
        return make_covered_answer(
            self.task,
            self.exchange.usage,
            self.driver.index_version,
            self.shards,
            open_reason or time_reason,
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
            self.shards = (Shard(-1, route.members),)

    def _pump(self) -> None:
        while (
            self.driver.open
            and not self.driver.restart_due
            and not self._is_over()
        ):
            now = time.monotonic()
            if not self.exchange.has_reply():
                # A reply that waits for a busy thread needs no hedge.
                self.driver.run_timers(now)
            received = self.exchange.receive(self._next_wake() - now)
            if received is not None:
                self._accept(*received)

    def _is_over(self) -> bool:
        now = time.monotonic()
        if now >= self.task.deadline:
            return True
        # An answer without any shard would be of no use, so the first one is
        # waited for beyond the soft limit.
        return now >= self.task.soft_limit and self._answered > 0

    def _next_wake(self) -> float:
        end = self.task.deadline
        if self._answered:
            end = min(end, self.task.soft_limit)
        return min(end, self.driver.next_timer())

    def _accept(self, sent: Sent, reply: AttemptReply) -> None:
        if reply.status != 'ok':
            self._accept_failure(sent, reply)
            return
        matches = self._read_matches(sent, reply)
        if matches is None:
            self._accept_mismatch(sent)
            return
        shard = sent.shard
        self._phase_ms = max(self._phase_ms, reply.service_ms)
        shard.matches = matches
        shard.truncated = reply.truncated
        shard.covered = reply.covered
        self._answered += 1
        self.driver.close(shard)
        for loser in tuple(shard.active):
            self.exchange.cancel(loser)

    def _read_matches(
        self,
        sent: Sent,
        reply: AttemptReply,
    ) -> Sequence[Match] | None:
        """Return the matches of a reply, None if it is not to be merged."""
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
        except BadMatchesError:
            return None

    def _accept_mismatch(self, sent: Sent) -> None:
        # Like a lost connection: it ran, but there is no usable reply.
        shard = sent.shard
        self.exchange.usage.discarded += 1
        shard.reason = 'mismatch'
        shard.losses += 1
        shard.barred.add(sent.candidate.target)
        if not shard.active:
            self.driver.follow_up(shard, is_final=False)

    def _accept_failure(self, sent: Sent, reply: AttemptReply) -> None:
        shard = sent.shard
        shard.reason = reply.reason or reply.status
        is_unanswered = reply.reason == _UNANSWERED
        is_final = reply.status in _FINAL and not is_unanswered
        if reply.status == 'not_run':
            is_final = self._is_refused_for_good(reply)
            shard.is_untouched = reply.reason in _UNTOUCHED
            shard.passed.add(sent.candidate.target)
        else:
            shard.barred.add(sent.candidate.target)
        if reply.status == 'failed' and self.driver.pick.screening:
            # The first target is the same for each resend, so a fault of
            # that one target would fail the content for good.
            is_final = False
        if reply.status in _LOST or is_unanswered:
            shard.losses += 1
        if not shard.active:
            self.driver.follow_up(shard, is_final=is_final)

    def _is_refused_for_good(self, reply: AttemptReply) -> bool:
        """Return whether no other target is to be tried either."""
        pick = self.driver.pick
        if pick.trial:
            # The owner may not have heard of the trial yet.
            return False
        if pick.screening and reply.state is not None and reply.state.lost:
            # The same content may have been what it was lost to.
            return True
        return reply.reason in _SUSPECT_REASONS
