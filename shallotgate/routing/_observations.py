"""What this entry knows of each target."""

import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from shallotgate.generated.messages import AttemptReply, TargetState

# Weight of a new measurement in the smoothed latency.
_SMOOTHING = 0.2
# A target that was avoided for this long is judged by its owner's report
# again; otherwise one slow moment would keep it avoided.
_OWN_LATENCY_VALID_S = 5.0
_UNKNOWN_MS = 0.1
_MS_PER_S = 1000
# After a failure a target is less preferred for this long.
_FAILURE_VALID_S = 2.0
# Owners report every second, also when nothing changed; two missed reports
# make a state stale.
STATE_FRESH_S = 3.0
# An owner that refuses or is silent is avoided for this long at a time.
_AVOID_S = 1.0
# Statuses after which the target, and not the way to it, is in doubt.
_FAILURES = frozenset(('failed', 'lost', 'timeout'))
# Reasons with which the port marks an owner, not a target, as lost.
OWNER_LOST_REASONS = frozenset(('owner_silent', 'owner_restarted'))


def is_target_lost(reply: AttemptReply) -> bool:
    """Return whether the reply says that the target itself was lost.

    >>> is_target_lost(AttemptReply(attempt_id='a', status='lost'))
    True
    """
    return reply.status == 'lost' and reply.reason not in OWNER_LOST_REASONS


@dataclass(slots=True)
class TargetObservation:
    """Own measurements and the owner's last report of one target."""

    target: str
    # Attempts of this entry that are not yet answered.
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
    state_at: float = float('-inf')
    # Monotonic time at which it was first reported as lost.
    lost_at: float = float('-inf')
    # Attempts of this entry sent since that report.
    sent_since: int = 0

    def read_load(self, now: float) -> float:
        """Return attempts running or waiting as far as known."""
        if self.state is None:
            return self.in_flight
        reported = self._expect_reported(self.state, now)
        return max(self.in_flight, reported + self.sent_since)

    def read_reported_ms(self) -> float:
        """Return the latency that the owner reported, 0 if unknown."""
        return self.state.latency_ms if self.state else 0

    def has_room(self, now: float) -> bool:
        """Return whether another attempt would run at once."""
        if self.state is None:
            return self.in_flight == 0
        return self.read_load(now) < max(self.state.limit, 1)

    def is_cold(self) -> bool:
        """Return whether the owner keeps the target on its cold budget."""
        return self.state is not None and self.state.cold

    def is_barred(self) -> bool:
        """Return whether the target takes no new work."""
        state = self.state
        return state is not None and (state.draining or state.lost)

    def is_stale(self, now: float) -> bool:
        """Return whether the owner's reports stopped."""
        return now - self.state_at > STATE_FRESH_S

    def estimate_ms(self, now: float) -> float:
        """Return the expected time of an attempt in milliseconds."""
        state = self.state
        base = self.latency_ms
        load = self.read_load(now)
        limit = 1
        if state is not None:
            limit = state.limit or 1
            if not base or now - self.measured_at > _OWN_LATENCY_VALID_S:
                base = self.read_reported_ms()
        # Above 0 so that load also counts where no latency is known.
        expected = (base or _UNKNOWN_MS) * (1 + load / limit)
        if self.failures and now - self.failed_at < _FAILURE_VALID_S:
            expected *= 1 + self.failures
        return expected

    def _expect_reported(self, state: TargetState, now: float) -> float:
        """Return how much of the reported load is left by now.

        Entries send little to a cold target, so what was reported is soon
        done. Taken as it was reported it kept cold targets idle, which made
        them stay cold. The load of a warm target is renewed by all entries.
        """
        reported = state.in_flight + state.queued
        if not state.cold or not state.latency_ms:
            return reported
        age_ms = (now - self.state_at) * _MS_PER_S
        return max(reported - age_ms * state.limit / state.latency_ms, 0)


class TargetObservations:
    """TargetObservations of all targets; safe to use from any thread."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[str, TargetObservation] = {}
        # Monotonic time until which an owner is avoided, by instance.
        self._avoided: dict[str, float] = {}
        # Rises when a target or owner starts or ceases to take work.
        self.revision = 0

    def __iter__(self) -> Iterator[TargetObservation]:
        return iter(tuple(self._records.values()))

    def observe(self, target: str) -> TargetObservation:
        """Return the record of a target."""
        record = self._records.get(target)
        if record is None:
            with self._lock:
                record = self._records.setdefault(
                    target,
                    TargetObservation(target),
                )
        return record

    def avoid_owner(self, owner: str) -> None:
        """Prefer other owners for a while."""
        now = self._clock()
        with self._lock:
            if not self._is_avoided(owner, now):
                self.revision += 1
            self._avoided[owner] = now + _AVOID_S

    def trust_owner(self, owner: str) -> None:
        """Avoid an owner no longer."""
        if owner not in self._avoided:
            return
        with self._lock:
            self._avoided.pop(owner, None)
            self.revision += 1

    def is_avoided(self, owner: str) -> bool:
        """Return whether other owners are preferred to this one."""
        return self._is_avoided(owner, self._clock())

    def note_sent(self, target: str) -> None:
        """Count an attempt that was sent."""
        record = self.observe(target)
        with self._lock:
            record.in_flight += 1
            record.sent_since += 1

    def note_reply(
        self,
        target: str,
        status: str,
        elapsed_ms: float | None,
    ) -> None:
        """Count an answered attempt; a time only if the target ran it."""
        record = self.observe(target)
        now = self._clock()
        with self._lock:
            record.in_flight = max(record.in_flight - 1, 0)
            if status == 'ok':
                record.failures = 0
            elif status in _FAILURES:
                record.failures += 1
                record.failed_at = now
            if elapsed_ms is None:
                return
            if record.latency_ms:
                change = elapsed_ms - record.latency_ms
                record.latency_ms += _SMOOTHING * change
            else:
                record.latency_ms = elapsed_ms
            record.measured_at = now

    def apply_state(self, state: TargetState, age_s: float = 0) -> bool:
        """Take over an owner's report; False if it is of a former owner."""
        record = self.observe(state.target)
        made_at = self._clock() - age_s
        with self._lock:
            before = record.state
            # One owner's messages arrive in order; only a former owner's
            # are late.
            if before is not None and state.epoch < before.epoch:
                return False
            was_lost = before is not None and before.lost
            if state.lost and not was_lost:
                record.lost_at = made_at
            record.state = state
            record.state_at = made_at
            record.sent_since = 0
            if before is None or _read_bars(before) != _read_bars(state):
                self.revision += 1
        return True

    def confirm_state(
        self,
        target: str,
        epoch: int,
        age_s: float = 0,
    ) -> TargetState | None:
        """Note that an owner's state of a target has not changed.

        Returns the state, or None if none is known. That of another owner is
        left as it is.
        """
        record = self._records.get(target)
        if record is None or record.state is None:
            return None
        made_at = self._clock() - age_s
        with self._lock:
            if record.state.epoch == epoch:
                record.state_at = max(record.state_at, made_at)
                record.sent_since = 0
            return record.state

    def _is_avoided(self, owner: str, now: float) -> bool:
        return self._avoided.get(owner, now) > now

    def forget(self, known: frozenset[str]) -> None:
        """Drop records of targets that the catalogue no longer names."""
        with self._lock:
            gone = self._records.keys() - known
            for target in gone:
                self._records.pop(target)


def _read_bars(state: TargetState) -> tuple[bool, bool]:
    return state.draining, state.lost
