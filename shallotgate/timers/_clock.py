"""Clock for leases and the start time of the process."""

import time

# Includes the time for which the machine is suspended, which the monotonic
# clock omits on Linux.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

_STARTED_AT = time.monotonic()


def read_lease_clock() -> float:
    """Return seconds of a clock that advances while the machine is suspended.

    A lease measured by the monotonic clock would still look valid after a
    suspension, although another instance may hold it by then.
    """
    return time.clock_gettime(_CLOCK)


def get_process_start_time() -> float:
    """Return the monotonic time at which this module was imported.

    Every action of an earlier process of this instance precedes it.
    """
    return _STARTED_AT
