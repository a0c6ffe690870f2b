"""Monitor that logs and counts breached invariants."""

import os
import threading

from shallotgate.logs import get_logger

_LOGGER = get_logger('invariants')
# Exit status of a process that aborted because of a breach; EX_SOFTWARE of
# sysexits.h.
BREACH_EXIT_STATUS = 70


class InvariantMonitor:
    """Counts breaches and, in test runs, aborts the process at the first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._breaches: dict[str, int] = {}
        self._abort_on_breach = False

    def configure(self, *, abort_on_breach: bool) -> None:
        """Set whether a breach aborts the process."""
        self._abort_on_breach = abort_on_breach

    def check(self, condition: object, name: str, **context: object) -> bool:
        """Log and count a breach if the condition is false.

        Returns whether the condition holds, so that callers can refuse to
        continue if the process is not aborted.
        """
        if condition:
            return True
        with self._lock:
            self._breaches[name] = self._breaches.get(name, 0) + 1
        _LOGGER.error(
            'Invariant broken.',
            extra={'invariant': name, 'context': repr(context)},
        )
        if self._abort_on_breach:
            # sys.exit would only end this thread.
            os._exit(BREACH_EXIT_STATUS)
        return False

    def read_breaches(self) -> dict[str, int]:
        """Return the number of breaches by name of the invariant."""
        with self._lock:
            return dict(self._breaches)


_MONITOR = InvariantMonitor()
check = _MONITOR.check
configure_invariants = _MONITOR.configure
read_breaches = _MONITOR.read_breaches
