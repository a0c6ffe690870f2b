"""When the next heartbeat is due."""

import random
import threading
import time
from dataclasses import dataclass

from shallotgate.membership._link import ControlLink

_PERIOD_S = 0.5
# Share of a period by which heartbeats vary, so that instances that started
# together don't stay in step.
_JITTER = 0.1
# A member that is silent for this long is passed over for the next one.
_ANSWER_S = 0.5
# While no leader is known the members are asked more often.
_SEARCH_S = 0.2
# Several releases in a row go into one heartbeat.
_COALESCE_S = 0.02


@dataclass(frozen=True)
class SentHeartbeat:
    """A heartbeat under way."""

    sequence: int
    peer: str
    # Monotonic time in seconds, taken before the message is made.
    sent_at: float


class HeartbeatScheduler:
    """Paces heartbeats and passes over members that don't answer."""

    def __init__(self, link: ControlLink, generator: random.Random) -> None:
        self._link = link
        self._random = generator
        self._changed = threading.Condition()
        # Heartbeats whose reply is not overdue, by sequence.
        self._waiting: dict[int, SentHeartbeat] = {}
        self._next_at = float('-inf')
        self._stopped = False

    def wait(self) -> bool:
        """Wait until a heartbeat is due; return False when stopped."""
        with self._changed:
            while not self._stopped:
                now = time.monotonic()
                is_silent = self._skip_unresponsive(now)
                if is_silent or now >= self._next_at:
                    self._next_at = now + self._vary(_PERIOD_S)
                    return True
                self._changed.wait(self._find_next_event() - now)
        return False

    def stop(self) -> None:
        """End the wait."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def expedite(self) -> None:
        """Make the next heartbeat due almost at once."""
        self._schedule_within(_COALESCE_S)

    def record_sent(self, beat: SentHeartbeat) -> None:
        """Expect an answer."""
        with self._changed:
            self._waiting[beat.sequence] = beat
            self._changed.notify()

    def record_reply(self, beat: SentHeartbeat) -> None:
        """Expect no answer any more."""
        with self._changed:
            self._waiting.pop(beat.sequence, None)

    def record_refusal(self, beat: SentHeartbeat, leader: str) -> None:
        """Go on to the named leader, or search for one."""
        self.record_reply(beat)
        self._link.mark_refused(beat.peer, leader)
        is_hint = leader not in {'', beat.peer}
        self._schedule_within(0 if is_hint else self._vary(_SEARCH_S))

    def _schedule_within(self, delay_s: float) -> None:
        with self._changed:
            self._next_at = min(self._next_at, time.monotonic() + delay_s)
            self._changed.notify()

    def _find_next_event(self) -> float:
        overdue = [beat.sent_at + _ANSWER_S for beat in self._waiting.values()]
        return min([self._next_at, *overdue])

    def _skip_unresponsive(self, now: float) -> bool:
        silent = [
            beat
            for beat in self._waiting.values()
            if now >= beat.sent_at + _ANSWER_S
        ]
        for beat in silent:
            self._waiting.pop(beat.sequence)
            self._link.mark_refused(beat.peer, '')
        return bool(silent)

    def _vary(self, seconds: float) -> float:
        return seconds * self._random.uniform(1 - _JITTER, 1 + _JITTER)
