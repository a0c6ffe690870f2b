"""Checks that hold at all times in a correct program."""

import os
import threading

from shallotgate.logs import get_logger

_LOGGER = get_logger('invariants')
# Exit status of a process that ended itself because of a breach.
BREACH_EXIT_STATUS = 70


class InvariantMonitor:
    """Counts breaches and, in test runs, ends the process at the first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._breaches: dict[str, int] = {}
        self._abort = False

    def configure(self, *, abort_on_breach: bool) -> None:
        """Set whether a breach ends the process."""
        self._abort = abort_on_breach

    def check(self, condition: object, name: str, **context: object) -> bool:
        """Log and count a breach if the condition is false.

        Returns whether the condition holds, so that callers can refuse to go
        on where the process is not ended.
        """
        if condition:
            return True
        with self._lock:
            self._breaches[name] = self._breaches.get(name, 0) + 1
        _LOGGER.error(
            'Invariant broken.',
            extra={'invariant': name, 'context': repr(context)},
        )
        if self._abort:
            # sys.exit would end only this thread.
            os._exit(BREACH_EXIT_STATUS)
        return False

    def read_breaches(self) -> dict[str, int]:
        """Return the number of breaches by invariant."""
        with self._lock:
            return dict(self._breaches)


_MONITOR = InvariantMonitor()
check = _MONITOR.check
configure_invariants = _MONITOR.configure
read_breaches = _MONITOR.read_breaches
