"""Budget for retries and hedges as a ratio of attempts."""

import threading
import time
from collections.abc import Callable

_WINDOW_S = 10


class Budget:
    """Limits extra attempts to a ratio of the attempts of the last 10 s.

    ``minimum`` is the number of extra attempts allowed per 10 s regardless of
    the ratio, so that an entry with little traffic can still retry. It does
    not apply if the ratio is 0.

    >>> budget = Budget(0.05)
    >>> budget.record_attempts(20)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(
        self,
        ratio: float,
        minimum: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ratio = ratio
        self._minimum = minimum if ratio > 0 else 0
        self._clock = clock
        self._lock = threading.Lock()
        self._attempts = [0 for _ in range(_WINDOW_S)]
        self._spent = [0 for _ in range(_WINDOW_S)]
        self._second = int(clock())

    def record_attempts(self, number: int) -> None:
        """Record attempts that were sent."""
        with self._lock:
            self._attempts[self._rotate()] += number

    def try_spend(self) -> bool:
        """Charge one extra attempt; False if the budget is exhausted."""
        with self._lock:
            slot = self._rotate()
            allowed = max(self._ratio * sum(self._attempts), self._minimum)
            if sum(self._spent) + 1 > allowed:
                return False
            self._spent[slot] += 1
            return True

    def _rotate(self) -> int:
        second = int(self._clock())
        for passed in range(min(second - self._second, _WINDOW_S)):
            slot = (second - passed) % _WINDOW_S
            self._attempts[slot] = 0
            self._spent[slot] = 0
        self._second = max(second, self._second)
        return self._second % _WINDOW_S
