"""State of one owned target and the decisions made from it."""

import time

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Learnt, TargetState
from shallotgate.invariants import check
from shallotgate.targets._gate import Gate
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._observation import Observation
from shallotgate.targets._queue import AttemptQueue, Refusal
from shallotgate.targets._task import Outcome, Work

_MS_PER_S = 1000
# Attempts waiting for one slot; a longer queue only makes replies late.
_QUEUE_PER_SLOT = 8
_SHORTEST_QUEUE = 16
# The half-use rest of a cold slot is as long as its attempt, up to this.
_LONGEST_REST_S = 0.5
# A shed is answered at once, so that its duration is no measure of the rest
# that the target needs: the rest doubles with each shed in a row.
_SHED_REST_S = 0.01
# A failed connection is followed by the next one after this time.
_RECONNECT_S = 0.1


class Crew:
    """Counts the threads of a pool."""

    def __init__(self) -> None:
        # All threads, with that of the reports.
        self.threads = 0
        # Threads of connections for attempts.
        self.workers = 0
        # Workers that wait for an attempt.
        self.idle = 0
        # Whether a worker is opening its connection.
        self.is_connecting = False
        # No new connection before this monotonic time.
        self.retry_at = float(0)

    def note_connected(self, succeeded: bool) -> None:
        """Allow the next connection to be opened, later if this one failed."""
        self.is_connecting = False
        if not succeeded:
            self.retry_at = time.monotonic() + _RECONNECT_S


class TargetCore:
    """State of one target; the caller holds the lock of its pool."""

    def __init__(
        self,
        target: Target,
        slots: int,
        limiter: Limiter,
        gate: Gate,
    ) -> None:
        self.target = target
        self.epoch = 0
        self.limiter = limiter
        self.seen = Observation()
        self.queue = AttemptQueue()
        self.running: set[Work] = set()
        self.crew = Crew()
        # Whether the target can't be reached.
        self.is_lost = False
        # Whether the platform says that it leaves.
        self.is_leaving = False
        # Whether the pool is being closed.
        self.is_closing = False
        self._slots = slots
        self._gate = gate
        # No dispatch before this monotonic time.
        self._rest_until = float(0)
        # Attempts shed in a row.
        self._sheds = 0

    def refuse_entry(self, work: Work) -> str:
        """Return why an attempt may not be queued, or an empty string."""
        reason = self.refuse(work)
        if reason:
            return reason
        longest = max(self._slots * _QUEUE_PER_SLOT, _SHORTEST_QUEUE)
        if len(self.queue) >= longest:
            return 'queue_full'
        wait_s = self._estimate_wait_ms() / _MS_PER_S
        return 'late' if work.arrived_at + wait_s >= work.deadline else ''

    def refuse(self, work: Work) -> str:
        """Return why an attempt may not be sent, or an empty string."""
        if self.is_closing:
            return 'not_owner'
        now = time.monotonic()
        if now >= work.deadline:
            return 'late'
        if self.is_lost:
            return 'unreachable'
        if self.is_leaving or self.seen.is_draining(now):
            return 'draining'
        return self._gate.refuse(self.target, work.attempt)

    def serves(self, start_id: str) -> bool:
        """Return whether connections to a start of the target are used."""
        return start_id == self.seen.start_id and not self.is_closing

    def get_rest_s(self) -> float:
        """Return the seconds until the half-used slot may be used again."""
        return self._rest_until - time.monotonic()

    def has_room(self) -> bool:
        """Return whether one more attempt may run."""
        is_trial_running = any(work.attempt.trial for work in self.running)
        return len(self.running) < self.limiter.room and not is_trial_running

    def needs_connection(self) -> bool:
        """Return whether a further connection should be opened now."""
        # One connection is left to the reports.
        most = min(self.limiter.limit, max(self.target.connections - 1, 1))
        held_back = (
            self.crew.is_connecting
            or self.is_lost
            or self.is_closing
            or time.monotonic() < self.crew.retry_at
        )
        return not held_back and self.crew.workers < most

    def pop(self, refused: list[Refusal]) -> Work | None:
        """Return the next attempt, marked as in flight, or None."""
        if self.get_rest_s() > 0 or not self.has_room():
            return None
        work = self.queue.pop(len(self.running), self.refuse, refused)
        if work is None:
            return None
        self.running.add(work)
        work.load = len(self.running)
        for other in self.running:
            other.peak = max(other.peak, work.load)
        work.reductions = self.limiter.reductions
        work.is_later = self.limiter.slow.is_open
        work.start_id = self.seen.start_id
        work.dispatched_at = time.monotonic()
        check(
            work.load <= min(self.limiter.limit, self._slots),
            'slots-within-limit',
            target=self.target.name,
            load=work.load,
        )
        check(
            work.load == 1 or not work.attempt.trial,
            'trial-runs-alone',
            target=self.target.name,
        )
        return work

    def free(self, work: Work) -> None:
        """Free the slot of an attempt."""
        work.connection = None
        self.running.discard(work)
        self.queue.end_screening(work)

    def learn(self, work: Work, outcome: Outcome) -> None:
        """Adapt limit and observations to an outcome."""
        now = time.monotonic()
        if outcome.status == 'wrong_version':
            attempt = work.attempt
            self.seen.deny(attempt.index_version, attempt.partition, now)
        self._feed_limiter(work, outcome)
        is_shed = outcome.reason == 'shed'
        self._sheds = self._sheds + 1 if is_shed else 0
        if self.limiter.is_half:
            rest_s = outcome.service_ms / _MS_PER_S
            if is_shed:
                rest_s = _SHED_REST_S * 2**self._sheds
            self._rest_until = now + min(rest_s, _LONGEST_REST_S)

    def make_state(self) -> TargetState:
        """Return what entries are told of the target."""
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
            draining=self.is_leaving or self.seen.is_draining(now),
            lost=self.is_lost,
            versions=self.seen.list_versions(now),
        )

    def make_learnt(self) -> Learnt | None:
        """Return what a next owner may start from; None if nothing."""
        limiter = self.limiter
        if not self.seen.start_id or not limiter.normal_ms:
            return None
        return Learnt(
            limit=0 if limiter.is_half else limiter.limit,
            normal_ms=limiter.normal_ms,
            target_start_id=self.seen.start_id,
        )

    def _feed_limiter(self, work: Work, outcome: Outcome) -> None:
        limiter = self.limiter
        is_ok = outcome.status == 'ok'
        if work.reductions != limiter.reductions:
            # It ran at a limit that has been reduced since. Counted again,
            # the attempts in flight would reduce it further.
            if is_ok:
                limiter.note_latency(outcome.service_ms)
            return
        if is_ok:
            limiter.note_success(
                outcome.service_ms,
                work.load,
                work.peak,
                is_later=work.is_later,
            )
            return
        self._feed_failure(work, outcome)

    def _feed_failure(self, work: Work, outcome: Outcome) -> None:
        limiter = self.limiter
        if outcome.status == 'timeout':
            given_s = work.deadline - work.dispatched_at
            limiter.note_timeout(
                given_s * _MS_PER_S,
                work.peak,
                is_later=work.is_later,
            )
            return
        if outcome.reason == 'shed':
            limiter.note_shed()
            return
        if outcome.status in {'failed', 'lost'}:
            limiter.note_failure()
        if outcome.status in {'failed', 'lost', 'cancelled'}:
            # The cancelled loser of a hedge shows slowness, and so does a
            # slow failure: a target that collapses may do nothing but fail.
            limiter.note_slow(
                outcome.service_ms,
                work.peak,
                is_later=work.is_later,
            )

    def _estimate_wait_ms(self) -> float:
        limiter = self.limiter
        rounds = len(self.queue) / limiter.limit
        rests = 2 if limiter.is_half else 1
        rest_ms = max(self.get_rest_s(), 0) * _MS_PER_S
        return rest_ms + rounds * limiter.latency_ms * rests
