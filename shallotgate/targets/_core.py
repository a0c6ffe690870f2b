"""State of one owned target and its scheduling decisions."""

import time

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Learnt, TargetState
from shallotgate.invariants import check
from shallotgate.targets._gate import DispatchGate
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._observation import Observation
from shallotgate.targets._queue import AttemptQueue, Refusal
from shallotgate.targets._task import AttemptTask, Outcome

_MS_PER_S = 1000
# Limit of queued attempts per slot; a longer queue only delays replies.
_QUEUE_LIMIT_PER_SLOT = 8
_MIN_QUEUE_LIMIT = 16
# Upper bound of the cooldown of a slot at half duty cycle, which otherwise
# equals the duration of the attempt.
_MAX_COOLDOWN_S = 0.5
# A shed reply is immediate, so its duration does not indicate how long the
# target needs to recover. The cooldown doubles with each consecutive shed.
_SHED_COOLDOWN_S = 0.01
# Delay before the next connection attempt after a failed one.
_RECONNECT_DELAY_S = 0.1


class ThreadCounts:
    """Thread counts of a pool."""

    def __init__(self) -> None:
        # All threads, including the one that polls reports.
        self.total = 0
        # Threads that run attempts, one per connection.
        self.workers = 0
        # Workers that wait for an attempt.
        self.idle = 0
        # Whether a worker is opening its connection.
        self.is_connecting = False
        # No connection is opened before this monotonic time.
        self.retry_at = float(0)

    def finish_connecting(self, succeeded: bool) -> None:
        """Record the result of opening a connection.

        After a failure the next connection is delayed.
        """
        self.is_connecting = False
        if not succeeded:
            self.retry_at = time.monotonic() + _RECONNECT_DELAY_S


class TargetCore:
    """State of one target; the caller must hold the lock of its pool."""

    def __init__(
        self,
        target: Target,
        slots: int,
        limiter: Limiter,
        gate: DispatchGate,
    ) -> None:
        self.target = target
        self.epoch = 0
        self.limiter = limiter
        self.observation = Observation()
        self.queue = AttemptQueue()
        self.running: set[AttemptTask] = set()
        self.thread_counts = ThreadCounts()
        # Whether the target is unreachable.
        self.is_unreachable = False
        # Whether the platform lists the target as leaving.
        self.is_leaving = False
        # Whether the pool is closing.
        self.is_closing = False
        self._slots = slots
        self._gate = gate
        # No attempt is dispatched before this monotonic time.
        self._cooldown_until = float(0)
        # Number of consecutive shed replies.
        self._consecutive_sheds = 0

    def find_queue_refusal(self, task: AttemptTask) -> str:
        """Return why an attempt may not be queued, or an empty string."""
        reason = self.find_refusal(task)
        if reason:
            return reason
        max_queued = max(self._slots * _QUEUE_LIMIT_PER_SLOT, _MIN_QUEUE_LIMIT)
        if len(self.queue) >= max_queued:
            return 'queue_full'
        wait_s = self._estimate_wait_ms() / _MS_PER_S
        return 'late' if task.arrived_at + wait_s >= task.deadline else ''

    def find_refusal(self, task: AttemptTask) -> str:
        """Return why an attempt may not be sent, or an empty string."""
        if self.is_closing:
            return 'not_owner'
        now = time.monotonic()
        if now >= task.deadline:
            return 'late'
        if self.is_unreachable:
            return 'unreachable'
        if self.is_leaving or self.observation.is_draining(now):
            return 'draining'
        return self._gate.find_refusal(self.target, task.attempt)

    def serves(self, start_id: str) -> bool:
        """Return whether connections to this start of the target are usable."""
        return start_id == self.observation.start_id and not self.is_closing

    def get_cooldown_s(self) -> float:
        """Return the remaining cooldown of a slot at half duty cycle."""
        return self._cooldown_until - time.monotonic()

    def has_capacity(self) -> bool:
        """Return whether another attempt may be dispatched."""
        is_trial_running = any(task.attempt.trial for task in self.running)
        return (
            len(self.running) < self.limiter.capacity and not is_trial_running
        )

    def needs_connection(self) -> bool:
        """Return whether another connection should be opened."""
        # One connection is reserved for reports.
        max_connections = min(
            self.limiter.limit, max(self.target.connections - 1, 1)
        )
        is_blocked = (
            self.thread_counts.is_connecting
            or self.is_unreachable
            or self.is_closing
            or time.monotonic() < self.thread_counts.retry_at
        )
        return not is_blocked and self.thread_counts.workers < max_connections

    def pop(self, refused: list[Refusal]) -> AttemptTask | None:
        """Return the next attempt, marked as in flight, or None."""
        if self.get_cooldown_s() > 0 or not self.has_capacity():
            return None
        task = self.queue.pop(len(self.running), self.find_refusal, refused)
        if task is None:
            return None
        self.running.add(task)
        task.load = len(self.running)
        for other in self.running:
            other.peak_load = max(other.peak_load, task.load)
        task.reductions = self.limiter.reductions
        task.during_slow_streak = self.limiter.overload.is_active
        task.start_id = self.observation.start_id
        task.dispatched_at = time.monotonic()
        check(
            task.load <= min(self.limiter.limit, self._slots),
            'slots-within-limit',
            target=self.target.name,
            load=task.load,
        )
        check(
            task.load == 1 or not task.attempt.trial,
            'trial-runs-alone',
            target=self.target.name,
        )
        return task

    def release_slot(self, task: AttemptTask) -> None:
        """Release the slot of an attempt."""
        task.connection = None
        self.running.discard(task)
        self.queue.finish_screening(task)

    def apply_outcome(self, task: AttemptTask, outcome: Outcome) -> None:
        """Update limit, observations and cooldown from an outcome."""
        now = time.monotonic()
        if outcome.status == 'wrong_version':
            attempt = task.attempt
            self.observation.record_refused_version(
                attempt.index_version, attempt.partition, now
            )
        self._update_limiter(task, outcome)
        is_shed = outcome.reason == 'shed'
        self._consecutive_sheds = self._consecutive_sheds + 1 if is_shed else 0
        if self.limiter.is_half_duty:
            cooldown_s = outcome.service_ms / _MS_PER_S
            if is_shed:
                cooldown_s = _SHED_COOLDOWN_S * 2**self._consecutive_sheds
            self._cooldown_until = now + min(cooldown_s, _MAX_COOLDOWN_S)

    def make_state(self) -> TargetState:
        """Return the state that is published to entries."""
        limiter = self.limiter
        now = time.monotonic()
        return TargetState(
            target=self.target.name,
            epoch=self.epoch,
            limit=limiter.limit,
            in_flight=len(self.running),
            queued=len(self.queue),
            queue_ms=self._estimate_wait_ms(),
            latency_ms=limiter.latency_ms,
            cold=limiter.is_cold,
            draining=self.is_leaving or self.observation.is_draining(now),
            lost=self.is_unreachable,
            versions=self.observation.list_versions(now),
        )

    def make_learnt(self) -> Learnt | None:
        """Return the state to hand over to the next owner, or None."""
        limiter = self.limiter
        if not self.observation.start_id or not limiter.normal_ms:
            return None
        return Learnt(
            limit=0 if limiter.is_half_duty else limiter.limit,
            normal_ms=limiter.normal_ms,
            target_start_id=self.observation.start_id,
        )

    def _update_limiter(self, task: AttemptTask, outcome: Outcome) -> None:
        limiter = self.limiter
        is_ok = outcome.status == 'ok'
        if task.reductions != limiter.reductions:
            # The attempt was dispatched under a limit that has been reduced
            # since. Counting it again would let the attempts in flight reduce
            # the limit repeatedly.
            if is_ok:
                limiter.record_latency(outcome.service_ms)
            return
        if is_ok:
            limiter.record_success(
                outcome.service_ms,
                task.load,
                task.peak_load,
                during_slow_streak=task.during_slow_streak,
            )
            return
        self._update_limiter_on_failure(task, outcome)

    def _update_limiter_on_failure(
        self, task: AttemptTask, outcome: Outcome
    ) -> None:
        limiter = self.limiter
        if outcome.status == 'timeout':
            allowed_s = task.deadline - task.dispatched_at
            limiter.record_timeout(
                allowed_s * _MS_PER_S,
                task.peak_load,
                during_slow_streak=task.during_slow_streak,
            )
            return
        if outcome.reason == 'shed':
            limiter.record_shed()
            return
        if outcome.status in {'failed', 'lost'}:
            limiter.record_failure()
        if outcome.status in {'failed', 'lost', 'cancelled'}:
            # A cancelled hedge and a slow failure are evidence of slowness,
            # too: a collapsed target may return nothing but failures.
            limiter.record_slow(
                outcome.service_ms,
                task.peak_load,
                during_slow_streak=task.during_slow_streak,
            )

    def _estimate_wait_ms(self) -> float:
        limiter = self.limiter
        rounds = len(self.queue) / limiter.limit
        duty_factor = 2 if limiter.is_half_duty else 1
        cooldown_ms = max(self.get_cooldown_s(), 0) * _MS_PER_S
        return cooldown_ms + rounds * limiter.latency_ms * duty_factor
