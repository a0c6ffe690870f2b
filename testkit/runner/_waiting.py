"""Polling of conditions with a timeout."""

import time
from collections.abc import Callable

_POLL_S = 0.02


class WaitTimeoutError(Exception):
    """A polled condition did not become true within the timeout."""


def wait_until(
    condition: Callable[[], object],
    timeout_s: float,
    subject: str,
) -> float:
    """Poll until the condition is true and return the elapsed seconds.

    >>> wait_until(lambda: True, 1, 'nothing') < 1
    True
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout_s:
            raise WaitTimeoutError(
                f'{subject}: not reached within {timeout_s} s'
            )
        time.sleep(_POLL_S)
    return time.monotonic() - start
