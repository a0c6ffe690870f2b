"""Clock for leases."""

import time

# Counts the time for which the machine was suspended too, which the monotonic
# clock leaves out on Linux.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

_SEEN_AT = time.monotonic()


def read_lease_clock() -> float:
    """Return seconds of a clock that goes on while the machine is suspended.

    A lease measured by the monotonic clock would still look valid after a
    suspension, when another instance may hold it.
    """
    return time.clock_gettime(_CLOCK)


def get_process_start_time() -> float:
    """Return a monotonic time at which this process ran already.

    All that a former process of this instance did came before it.
    """
    return _SEEN_AT
