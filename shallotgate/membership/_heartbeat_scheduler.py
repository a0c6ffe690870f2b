"""Scheduling of heartbeats."""

import random
import threading
import time
from dataclasses import dataclass

from shallotgate.membership._link import ControlLink

_PERIOD_S = 0.5
# Jitter as a share of the period, so that instances that started together
# don't stay synchronized.
_JITTER = 0.1
# A member that does not reply within this time is skipped.
_REPLY_TIMEOUT_S = 0.5
# Heartbeat interval while no leader is known.
_SEARCH_INTERVAL_S = 0.2
# Delay that combines consecutive releases in one heartbeat.
_COALESCE_S = 0.02


@dataclass(frozen=True)
class SentHeartbeat:
    """A heartbeat and when it was sent."""

    sequence: int
    peer: str
    # Monotonic time in seconds, taken before the message is built.
    sent_at: float


class HeartbeatScheduler:
    """Schedules heartbeats and skips unresponsive members."""

    def __init__(self, link: ControlLink, generator: random.Random) -> None:
        self._link = link
        self._random = generator
        self._changed = threading.Condition()
        # Sent heartbeats whose reply is not overdue, by sequence.
        self._awaiting_reply: dict[int, SentHeartbeat] = {}
        self._next_at = float('-inf')
        self._stopped = False

    def wait(self) -> bool:
        """Wait until a heartbeat is due; return False when stopped."""
        with self._changed:
            while not self._stopped:
                now = time.monotonic()
                has_unresponsive = self._skip_unresponsive(now)
                if has_unresponsive or now >= self._next_at:
                    self._next_at = now + self._add_jitter(_PERIOD_S)
                    return True
                self._changed.wait(self._find_next_event() - now)
        return False

    def stop(self) -> None:
        """End the wait."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def expedite(self) -> None:
        """Schedule the next heartbeat after the coalescing delay."""
        self._schedule_within(_COALESCE_S)

    def record_sent(self, heartbeat: SentHeartbeat) -> None:
        """Track a heartbeat until its reply."""
        with self._changed:
            self._awaiting_reply[heartbeat.sequence] = heartbeat
            self._changed.notify()

    def record_reply(self, heartbeat: SentHeartbeat) -> None:
        """Stop tracking a heartbeat."""
        with self._changed:
            self._awaiting_reply.pop(heartbeat.sequence, None)

    def record_refusal(self, heartbeat: SentHeartbeat, leader: str) -> None:
        """Retry at the named leader at once, or search for one."""
        self.record_reply(heartbeat)
        self._link.mark_refused(heartbeat.peer, leader)
        is_hint = leader not in {'', heartbeat.peer}
        self._schedule_within(
            0 if is_hint else self._add_jitter(_SEARCH_INTERVAL_S)
        )

    def _schedule_within(self, delay_s: float) -> None:
        with self._changed:
            self._next_at = min(self._next_at, time.monotonic() + delay_s)
            self._changed.notify()

    def _find_next_event(self) -> float:
        overdue = [
            heartbeat.sent_at + _REPLY_TIMEOUT_S
            for heartbeat in self._awaiting_reply.values()
        ]
        return min([self._next_at, *overdue])

    def _skip_unresponsive(self, now: float) -> bool:
        unresponsive = [
            heartbeat
            for heartbeat in self._awaiting_reply.values()
            if now >= heartbeat.sent_at + _REPLY_TIMEOUT_S
        ]
        for heartbeat in unresponsive:
            self._awaiting_reply.pop(heartbeat.sequence)
            self._link.mark_refused(heartbeat.peer, '')
        return bool(unresponsive)

    def _add_jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(1 - _JITTER, 1 + _JITTER)
