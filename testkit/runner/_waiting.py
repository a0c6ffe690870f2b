"""Waiting on conditions."""

import time
from collections.abc import Callable

_POLL_S = 0.02


class WaitTimeoutError(Exception):
    """A condition did not come true in time."""


def wait_until(
    condition: Callable[[], object],
    limit_s: float,
    subject: str,
) -> float:
    """Poll until the condition is true and return the seconds it took.

    >>> wait_until(lambda: True, 1, 'nothing') < 1
    True
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > limit_s:
            raise WaitTimeoutError(f'{subject}: not within {limit_s} s')
        time.sleep(_POLL_S)
    return time.monotonic() - start
