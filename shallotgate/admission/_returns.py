"""Times at which refused callers should return."""

import math
import random
from dataclasses import dataclass

# Range without any knowledge, in seconds, randomised to avoid synchronised
# retries: targets accept new work within tens of milliseconds.
UNKNOWN_MIN_S = 0.02
UNKNOWN_MAX_S = 0.1
# Callers accept at most this part of the time that they have left.
_MAX_PART = 1 / 3
# Part of the bound over which callers are spread that would return later.
_SPREAD = 0.3
# Random part of a return in seconds: other entries refuse at the same time.
_JITTER_S = UNKNOWN_MAX_S - UNKNOWN_MIN_S
# Least delay in seconds.
_MIN_S = 0.001


@dataclass(frozen=True)
class ReturnWindow:
    """When a refused request may return, in seconds from now."""

    # Time that the caller has left, in all and for its objective.
    left_s: float
    objective_left_s: float
    # Time until there will be room; None if it is unknown.
    ready_s: float | None = None
    # Interval between two callers of this entry for which there will be room.
    interval_s: float = 0
    # Time that it takes to serve the retry.
    served_s: float = 0

    @property
    def last_s(self) -> float:
        """Latest return at which the retry can be served in time."""
        last_s = min(self.left_s * _MAX_PART, self.left_s - self.served_s)
        within_s = self.objective_left_s - self.served_s
        if self.ready_s is not None and within_s >= self.ready_s:
            last_s = min(last_s, within_s)
        return max(last_s, _MIN_S)


class ReturnTimes:
    """Spreads the returns to each service; those refused first come first."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        # Latest return of a caller that was refused, by service.
        self._last: dict[str, float] = {}

    def choose(self, service: str, window: ReturnWindow, now: float) -> float:
        """Return the delay in seconds for a caller that is refused now."""
        draw = self._generator.random()
        if window.ready_s is None:
            delay_s = UNKNOWN_MIN_S + _JITTER_S * draw
            return min(delay_s, window.last_s)
        earlier_at = self._last.get(service, -math.inf)
        ready_at = max(now + window.ready_s, earlier_at + window.interval_s)
        return_at = ready_at + _JITTER_S * draw
        last_at = now + window.last_s
        if return_at > last_at:
            spread_at = now + window.last_s * (1 - _SPREAD * draw)
            return_at = min(max(spread_at, earlier_at), last_at)
        self._last[service] = return_at
        return max(return_at - now, _MIN_S)

    def retain(self, services: frozenset[str]) -> None:
        """Forget services that no longer exist."""
        for service in self._last.keys() - services:
            self._last.pop(service)
