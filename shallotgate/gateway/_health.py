"""What the replies of a target tell about it."""

import math
import time

from shallotgate.gateway._wire import TargetLoad

_MS_PER_S = 1000
# Weight of the newest reply in the averages: three slow replies outweigh the
# history.
_NEWEST_PART = 0.3
# Seconds after which an observation counts for 1/e: a target that was slow is
# tried again within a few seconds.
_MEMORY_S = 3.0
# A load report says little about a target after this many seconds.
_LOAD_VALID_S = 0.25
# Pause after a failed connection, doubled with each further one, in seconds.
_DOWN_MIN_S = 0.25
_DOWN_MAX_S = 2.0
# What the leader told holds this many seconds after it was last heard: it
# answers each 0.8 s at least, and an election takes about as long.
_SHARED_VALID_S = 3.0
# Range of the speed factor that is believed.
_MAX_FACTOR = 50.0


class TargetHealth:
    """Speed, failures and load of one target, as this entry sees them."""

    def __init__(self) -> None:
        # Time of its replies relative to those of its peers.
        self._factor: float = 1
        # Share of its replies that failed, 0 to 1.
        self._failures: float = 0
        self._observed_at = float('-inf')
        self._load: TargetLoad | None = None
        self._load_at = float('-inf')
        self._own_at_load = 0
        self._failed_connects = 0
        self._down_until = float('-inf')
        # What all entries together see, and until when that holds.
        self._shared_factor: float = 1
        self._shared_failures: float = 0
        self._shared_until = float('-inf')
        # Monotonic send times of the attempts under way, oldest first.
        self.in_flight: dict[object, float] = {}

    def judge(self, now: float) -> tuple[float, float]:
        """Return the speed factor and the share of failed replies.

        The factor tells how many times as long as its peers it takes.
        """
        fade = self._fade(now)
        factor = 1 + (self._factor - 1) * fade
        failures = self._failures * fade
        if now < self._shared_until:
            factor = max(factor, self._shared_factor)
            failures = max(failures, self._shared_failures)
        return factor, failures

    def read_queue(self, now: float) -> float:
        """Return how many requests are at the target."""
        own = len(self.in_flight)
        age = (now - self._load_at) / _LOAD_VALID_S
        if self._load is None or age > 1:
            return own
        others = self._load.running + self._load.waiting - self._own_at_load
        return own + max(others, 0) * (1 - age)

    def read_stall_ms(self, now: float) -> float:
        """Return for how long the oldest attempt under way has waited."""
        oldest = next(iter(self.in_flight.values()), now)
        return (now - oldest) * _MS_PER_S

    def is_down(self, now: float) -> bool:
        """Return whether connecting failed a short time ago."""
        return now < self._down_until

    def record_reply(self, factor: float) -> None:
        """Take up how many times as long as its peers a reply took."""
        now = time.monotonic()
        former = self._read_own_factor(now)
        newest = min(factor, _MAX_FACTOR)
        self._factor = former + (newest - former) * _NEWEST_PART
        self._failures *= self._fade(now) * (1 - _NEWEST_PART)
        self._observed_at = now
        self._failed_connects = 0

    def record_failure(self) -> None:
        """Take up that a request failed or was turned away."""
        now = time.monotonic()
        factor = self._read_own_factor(now)
        failures = self._failures * self._fade(now)
        self._failures = failures + (1 - failures) * _NEWEST_PART
        self._factor = factor
        self._observed_at = now

    def record_connect_failure(self) -> None:
        """Take up that no connection could be opened."""
        self.record_failure()
        pause_s = _DOWN_MIN_S * 2**self._failed_connects
        self._down_until = time.monotonic() + min(pause_s, _DOWN_MAX_S)
        self._failed_connects += 1

    def note_load(self, load: TargetLoad) -> None:
        """Take up the load that a reply reports."""
        self._load = load
        self._load_at = time.monotonic()
        self._own_at_load = len(self.in_flight)

    def note_shared(self, factor: float, failures: float) -> None:
        """Take up what all entries together see of the target."""
        self._shared_factor = factor
        self._shared_failures = failures
        self.confirm_shared()

    def confirm_shared(self) -> None:
        """Note that the leader still tells the same."""
        self._shared_until = time.monotonic() + _SHARED_VALID_S

    def forget_shared(self) -> None:
        """Note that the leader no longer tells of the target."""
        self._shared_until = float('-inf')

    def _read_own_factor(self, now: float) -> float:
        return 1 + (self._factor - 1) * self._fade(now)

    def _fade(self, now: float) -> float:
        return math.exp((self._observed_at - now) / _MEMORY_S)
