"""Sends the attempts of one query and collects their replies."""

import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from queue import Empty, SimpleQueue

from shallotgate.generated.messages import Attempt, AttemptReply
from shallotgate.invariants import check
from shallotgate.query._merge import Match
from shallotgate.query._task import MS_PER_S, QueryDependencies, Task, Usage
from shallotgate.routing import Candidate, is_target_lost

# Reply statuses which guarantee that no target ran the attempt.
NOT_RUN = frozenset(('not_run', 'wrong_version'))


@dataclass(slots=True, eq=False)
class Shard:
    """State of one partition, or of a whole group that is not partitioned."""

    # -1 if the group is not partitioned.
    partition: int
    candidates: tuple[Candidate, ...]
    active: list['SentAttempt'] = field(default_factory=list)
    # Targets excluded for the rest of the query.
    excluded_targets: set[str] = field(default_factory=set)
    # Targets skipped until the next retry interval.
    skipped_targets: set[str] = field(default_factory=set)
    # Whether the shard may still be answered.
    is_open: bool = True
    # None until the shard is answered.
    matches: Sequence[Match] | None = None
    truncated: bool = False
    covered: bool = True
    # Why the shard is not answered.
    reason: str = ''
    attempts_sent: int = 0
    # Whether the last attempt was rejected before it reached a target, so
    # that the next one is not charged to the retry budget.
    is_retry_free: bool = False
    # Attempts that ended without a usable reply from the target.
    lost_attempts: int = 0
    # Monotonic times.
    hedge_at: float = float('inf')
    retry_at: float = float('inf')


@dataclass(slots=True, eq=False)
class SentAttempt:
    """An attempt that was sent and its context."""

    attempt: Attempt
    candidate: Candidate
    shard: Shard
    # Monotonic time.
    sent_at: float


class AttemptDispatcher:
    """Sends the attempts of one query and correlates their replies."""

    def __init__(self, deps: QueryDependencies, task: Task) -> None:
        self._deps = deps
        self._task = task
        self._sink: SimpleQueue[AttemptReply] = SimpleQueue()
        self._sequence = itertools.count(1)
        self._active: dict[str, SentAttempt] = {}
        self.usage = Usage()
        # Failure domain of each target that may have run an attempt, by
        # target.
        self.exposed_domains: dict[str, str] = {}

    def send(
        self,
        shard: Shard,
        candidate: Candidate,
        index_version: int,
        *,
        screening: bool = False,
        trial: str = '',
        proven: bool = False,
    ) -> SentAttempt | None:
        """Send an attempt; returns None if the deadline has passed."""
        now = time.monotonic()
        time_left_ms = (self._task.deadline - now) * MS_PER_S
        if time_left_ms <= 0:
            return None
        attempt = self._make_attempt(
            shard,
            candidate,
            index_version,
            min(time_left_ms, self._deps.max_attempt_ms),
            screening=screening,
            trial=trial,
            proven=proven,
        )
        sent = SentAttempt(attempt, candidate, shard, now)
        self._active[attempt.attempt_id] = sent
        shard.active.append(sent)
        shard.attempts_sent += 1
        shard.is_retry_free = False
        shard.reason = ''
        self.usage.sent += 1
        self.usage.may_have_run += 1
        self.exposed_domains[candidate.target] = candidate.domain
        self._deps.port.submit(candidate.owner, attempt, self._sink)
        return sent

    def has_reply(self) -> bool:
        """Return whether a reply is queued."""
        return not self._sink.empty()

    def receive(
        self, timeout_s: float
    ) -> tuple[SentAttempt, AttemptReply] | None:
        """Wait for a reply; None on timeout or for a superseded attempt."""
        try:
            reply = self._sink.get(timeout=max(timeout_s, 0))
        except Empty:
            return None
        sent = self._active.pop(reply.attempt_id, None)
        if sent is None:
            self.usage.discarded += 1
            return None
        sent.shard.active.remove(sent)
        self._account(sent, reply)
        return sent, reply

    def cancel(self, sent: SentAttempt) -> None:
        """Cancel an attempt; its reply will be discarded."""
        self._active.pop(sent.attempt.attempt_id, None)
        if sent in sent.shard.active:
            sent.shard.active.remove(sent)
        self._deps.port.cancel(sent.candidate.owner, sent.attempt)

    def cancel_all(self) -> None:
        """Cancel all active attempts."""
        for sent in tuple(self._active.values()):
            self.cancel(sent)

    def _account(self, sent: SentAttempt, reply: AttemptReply) -> None:
        if reply.status in NOT_RUN:
            self.usage.may_have_run -= 1
            self.exposed_domains.pop(sent.candidate.target, None)
        elif reply.status == 'failed':
            self.usage.failed += 1
        elif is_target_lost(reply):
            self.usage.lost_targets.append(sent.candidate.target)
            self.usage.lost_in_phase = True

    def _make_attempt(
        self,
        shard: Shard,
        candidate: Candidate,
        index_version: int,
        time_left_ms: float,
        *,
        screening: bool,
        trial: str,
        proven: bool,
    ) -> Attempt:
        task = self._task
        check(
            time_left_ms > 0,
            'no-attempt-past-its-deadline',
            request_id=task.request_id,
        )
        return Attempt(
            attempt_id=f'{task.request_id}-{next(self._sequence)}',
            request_id=task.request_id,
            target=candidate.target,
            epoch=candidate.epoch,
            group=task.request.group,
            service=candidate.service,
            partition=shard.partition,
            index_version=index_version,
            class_name=task.request.class_name,
            digest=task.digest,
            body=task.body,
            limit=task.request.limit,
            time_left_ms=time_left_ms,
            once_only=task.policy.once_only,
            screening=screening,
            trial=trial,
            proven=proven,
        )
