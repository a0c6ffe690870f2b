"""State of each target as observed by this entry."""

import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from shallotgate.generated.messages import AttemptReply, TargetState

# Weight of a new measurement in the smoothed latency.
_SMOOTHING_FACTOR = 0.2
# Without a new measurement for this long, the latency reported by the owner is
# used instead. Otherwise a target that was slow once would stay avoided.
_MEASUREMENT_TTL_S = 5.0
_UNKNOWN_LATENCY_MS = 0.1
_MS_PER_S = 1000
# Failures raise the latency estimate of a target for this long.
_FAILURE_PENALTY_S = 2.0
# Owners report every second, even without changes; a state is stale after two
# missed reports.
STATE_TTL_S = 3.0
# Owners that refuse attempts or are unresponsive are avoided for this long.
_OWNER_AVOIDANCE_S = 1.0
# Statuses that indicate a failure of the target rather than of the network.
_FAILURE_STATUSES = frozenset(('failed', 'lost', 'timeout'))
# Reasons of ``lost`` replies that concern the owner, not the target.
OWNER_LOST_REASONS = frozenset(('owner_silent', 'owner_restarted'))


def is_target_lost(reply: AttemptReply) -> bool:
    """Return whether a reply reports the loss of the target itself.

    >>> is_target_lost(AttemptReply(attempt_id='a', status='lost'))
    True
    """
    return reply.status == 'lost' and reply.reason not in OWNER_LOST_REASONS


@dataclass(slots=True)
class TargetObservation:
    """Local measurements and the owner's last report of one target."""

    target: str
    # Attempts of this entry that await a reply.
    in_flight: int = 0
    # Smoothed time from sending to reply in milliseconds; 0 if unknown.
    latency_ms: float = 0
    # Monotonic time of the last measurement.
    measured_at: float = float('-inf')
    # Failures since the last success.
    failures: int = 0
    # Monotonic time of the last failure.
    failed_at: float = float('-inf')
    # Last report of the owner.
    state: TargetState | None = None
    # Monotonic time at which the report was made.
    reported_at: float = float('-inf')
    # Monotonic time at which the target was first reported as lost.
    lost_at: float = float('-inf')
    # Attempts of this entry sent since the last report.
    sent_since_report: int = 0

    def estimate_load(self, now: float) -> float:
        """Return the estimated number of running and queued attempts."""
        if self.state is None:
            return self.in_flight
        reported = self._estimate_reported_load(self.state, now)
        return max(self.in_flight, reported + self.sent_since_report)

    def reported_latency_ms(self) -> float:
        """Return the latency that the owner reported, 0 if unknown."""
        return self.state.latency_ms if self.state else 0

    def has_room(self, now: float) -> bool:
        """Return whether the target has capacity for another attempt."""
        if self.state is None:
            return self.in_flight == 0
        return self.estimate_load(now) < max(self.state.limit, 1)

    def is_cold(self) -> bool:
        """Return whether the owner limits the target as cold."""
        return self.state is not None and self.state.cold

    def is_unavailable(self) -> bool:
        """Return whether the target is draining or lost."""
        state = self.state
        return state is not None and (state.draining or state.lost)

    def is_stale(self, now: float) -> bool:
        """Return whether the last report of the owner is outdated."""
        return now - self.reported_at > STATE_TTL_S

    def estimate_ms(self, now: float) -> float:
        """Return the estimated latency of an attempt in milliseconds."""
        state = self.state
        base = self.latency_ms
        load = self.estimate_load(now)
        limit = 1
        if state is not None:
            limit = state.limit or 1
            if not base or now - self.measured_at > _MEASUREMENT_TTL_S:
                base = self.reported_latency_ms()
        # Not 0, so that load counts even if the latency is unknown.
        expected = (base or _UNKNOWN_LATENCY_MS) * (1 + load / limit)
        if self.failures and now - self.failed_at < _FAILURE_PENALTY_S:
            expected *= 1 + self.failures
        return expected

    def _estimate_reported_load(self, state: TargetState, now: float) -> float:
        """Return the estimated remainder of the reported load.

        Entries send few attempts to a cold target, so its reported load drains
        quickly. Using the reported value unchanged left cold targets idle, so
        that they never warmed up. The load of a warm target is constantly
        replenished by all entries and is used as reported.
        """
        reported = state.in_flight + state.queued
        if not state.cold or not state.latency_ms:
            return reported
        age_ms = (now - self.reported_at) * _MS_PER_S
        return max(reported - age_ms * state.limit / state.latency_ms, 0)


class TargetObservations:
    """Thread-safe collection of the observations of all targets."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[str, TargetObservation] = {}
        # Monotonic time until which an owner is avoided, by instance.
        self._avoided: dict[str, float] = {}
        # Incremented when the availability of a target or owner changes.
        self.revision = 0

    def __iter__(self) -> Iterator[TargetObservation]:
        return iter(tuple(self._records.values()))

    def record_for(self, target: str) -> TargetObservation:
        """Return the observation of a target; creates it if absent."""
        record = self._records.get(target)
        if record is None:
            with self._lock:
                record = self._records.setdefault(
                    target,
                    TargetObservation(target),
                )
        return record

    def avoid_owner(self, owner: str) -> None:
        """Prefer other owners for a limited time."""
        now = self._clock()
        with self._lock:
            if not self._is_avoided(owner, now):
                self.revision += 1
            self._avoided[owner] = now + _OWNER_AVOIDANCE_S

    def stop_avoiding_owner(self, owner: str) -> None:
        """Remove an owner from the avoided ones."""
        if owner not in self._avoided:
            return
        with self._lock:
            self._avoided.pop(owner, None)
            self.revision += 1

    def is_avoided(self, owner: str) -> bool:
        """Return whether other owners are preferred to this owner."""
        return self._is_avoided(owner, self._clock())

    def record_sent(self, target: str) -> None:
        """Record that an attempt was sent."""
        record = self.record_for(target)
        with self._lock:
            record.in_flight += 1
            record.sent_since_report += 1

    def record_reply(
        self,
        target: str,
        status: str,
        elapsed_ms: float | None,
    ) -> None:
        """Record a reply; ``elapsed_ms`` is None if it has no latency."""
        record = self.record_for(target)
        now = self._clock()
        with self._lock:
            record.in_flight = max(record.in_flight - 1, 0)
            if status == 'ok':
                record.failures = 0
            elif status in _FAILURE_STATUSES:
                record.failures += 1
                record.failed_at = now
            if elapsed_ms is None:
                return
            if record.latency_ms:
                change = elapsed_ms - record.latency_ms
                record.latency_ms += _SMOOTHING_FACTOR * change
            else:
                record.latency_ms = elapsed_ms
            record.measured_at = now

    def apply_state(self, state: TargetState, age_s: float = 0) -> bool:
        """Apply an owner's report; False if it is from a previous owner."""
        record = self.record_for(state.target)
        reported_at = self._clock() - age_s
        with self._lock:
            before = record.state
            # Messages of one owner arrive in order, so only reports of a
            # previous owner can be outdated.
            if before is not None and state.epoch < before.epoch:
                return False
            was_lost = before is not None and before.lost
            if state.lost and not was_lost:
                record.lost_at = reported_at
            record.state = state
            record.reported_at = reported_at
            record.sent_since_report = 0
            if before is None or _get_availability(before) != _get_availability(
                state
            ):
                self.revision += 1
        return True

    def confirm_state(
        self,
        target: str,
        epoch: int,
        age_s: float = 0,
    ) -> TargetState | None:
        """Refresh the state of a target that its owner reports as unchanged.

        Returns the state, or None if none is known. A state with another
        epoch, reported by another owner, is returned unchanged.
        """
        record = self._records.get(target)
        if record is None or record.state is None:
            return None
        reported_at = self._clock() - age_s
        with self._lock:
            if record.state.epoch == epoch:
                record.reported_at = max(record.reported_at, reported_at)
                record.sent_since_report = 0
            return record.state

    def _is_avoided(self, owner: str, now: float) -> bool:
        return self._avoided.get(owner, now) > now

    def retain_targets(self, listed: frozenset[str]) -> None:
        """Remove targets that are no longer in the catalogue."""
        with self._lock:
            removed = self._records.keys() - listed
            for target in removed:
                self._records.pop(target)


def _get_availability(state: TargetState) -> tuple[bool, bool]:
    return state.draining, state.lost
