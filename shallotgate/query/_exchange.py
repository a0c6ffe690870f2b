"""Attempts of one query and their replies."""

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

# Statuses that say that no target ran the attempt.
NOT_RUN = frozenset(('not_run', 'wrong_version'))


@dataclass(slots=True, eq=False)
class Shard:
    """One partition of the snapshot, or the whole of a group without any."""

    # -1 for a group without partitions.
    partition: int
    candidates: tuple[Candidate, ...]
    active: list['Sent'] = field(default_factory=list)
    # Targets not to ask again for this query.
    barred: set[str] = field(default_factory=set)
    # Targets not to ask again before the next pause.
    passed: set[str] = field(default_factory=set)
    # Whether it may still get an answer.
    is_open: bool = True
    # Set once it is answered.
    matches: Sequence[Match] | None = None
    truncated: bool = False
    covered: bool = True
    # Why it is not answered.
    reason: str = ''
    # Attempts sent for it.
    sends: int = 0
    # Whether the last one was refused before it reached a target.
    is_untouched: bool = False
    # Attempts that ended with a lost connection.
    losses: int = 0
    # Monotonic times.
    hedge_at: float = float('inf')
    retry_at: float = float('inf')


@dataclass(slots=True, eq=False)
class Sent:
    """An attempt that was sent."""

    attempt: Attempt
    candidate: Candidate
    shard: Shard
    # Monotonic time.
    sent_at: float


class Exchange:
    """Sends the attempts of one query and matches their replies."""

    def __init__(self, parts: QueryDependencies, task: Task) -> None:
        self._parts = parts
        self._task = task
        self._sink: SimpleQueue[AttemptReply] = SimpleQueue()
        self._numbers = itertools.count(1)
        self._active: dict[str, Sent] = {}
        self.usage = Usage()
        # Domains of the targets that may have run an attempt of this query.
        self.exposed: dict[str, str] = {}

    def send(
        self,
        shard: Shard,
        candidate: Candidate,
        index_version: int,
        *,
        screening: bool = False,
        trial: str = '',
        proven: bool = False,
    ) -> Sent | None:
        """Send an attempt; None if there is no time left for it."""
        now = time.monotonic()
        time_left_ms = (self._task.deadline - now) * MS_PER_S
        if time_left_ms <= 0:
            return None
        attempt = self._make_attempt(
            shard,
            candidate,
            index_version,
            min(time_left_ms, self._parts.max_attempt_ms),
            screening=screening,
            trial=trial,
            proven=proven,
        )
        sent = Sent(attempt, candidate, shard, now)
        self._active[attempt.attempt_id] = sent
        shard.active.append(sent)
        shard.sends += 1
        shard.is_untouched = False
        shard.reason = ''
        self.usage.sent += 1
        self.usage.may_have_run += 1
        self.exposed[candidate.target] = candidate.domain
        self._parts.port.submit(candidate.owner, attempt, self._sink)
        return sent

    def has_reply(self) -> bool:
        """Return whether a reply waits to be received."""
        return not self._sink.empty()

    def receive(self, timeout_s: float) -> tuple[Sent, AttemptReply] | None:
        """Wait for a reply to an attempt that still counts."""
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

    def cancel(self, sent: Sent) -> None:
        """Give up an attempt; its reply no longer counts."""
        self._active.pop(sent.attempt.attempt_id, None)
        if sent in sent.shard.active:
            sent.shard.active.remove(sent)
        self._parts.port.cancel(sent.candidate.owner, sent.attempt)

    def cancel_all(self) -> None:
        """Give up all attempts."""
        for sent in tuple(self._active.values()):
            self.cancel(sent)

    def _account(self, sent: Sent, reply: AttemptReply) -> None:
        if reply.status in NOT_RUN:
            self.usage.may_have_run -= 1
            self.exposed.pop(sent.candidate.target, None)
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
            attempt_id=f'{task.request_id}-{next(self._numbers)}',
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
