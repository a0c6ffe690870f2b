"""Requests of an entry that is about to stop."""

import asyncio
import dataclasses
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from shallotgate.gateway._call import Call
from shallotgate.gateway._latency import LatencyWindow

_MS_PER_S = 1000
# A request is expected to take at most this quantile of recent replies,
# multiplied by the factor below: a failed attempt may be followed by another.
_DURATION_QUANTILE = 0.99
_DURATION_FACTOR = 2.0
# Requests have this long to conclude by themselves at the end of the drain,
# for example with the parts at hand.
_CONCLUDE_S = 0.05


class Drain:
    """Admits requests during a stop and ends those that don't finish."""

    def __init__(self) -> None:
        # Monotonic time at which unfinished requests are ended.
        self._ends_at = float('inf')
        # Timeouts of the requests that are being served.
        self._timeouts: set[asyncio.Timeout] = set()

    def begin(self, ends_at: float) -> None:
        """Begin the drain; ``ends_at`` is a monotonic time in seconds."""
        self._ends_at = ends_at
        for timeout in self._timeouts:
            timeout.reschedule(self._get_loop_time())

    def can_finish(self, latency: LatencyWindow, deadline: float) -> bool:
        """Return whether a request can end before the drain does.

        The deadline of the request bounds its duration.
        """
        expected_s = (
            latency.quantile(_DURATION_QUANTILE) * _DURATION_FACTOR / _MS_PER_S
        )
        return min(time.monotonic() + expected_s, deadline) <= self._ends_at

    def shorten(self, call: Call) -> Call:
        """Return the call with a deadline no later than the end."""
        if call.deadline <= self._ends_at:
            return call
        return dataclasses.replace(call, deadline=self._ends_at)

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` once the drain has ended."""
        async with asyncio.timeout_at(self._get_loop_time()) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def _get_loop_time(self) -> float | None:
        """Return when to end requests, as the event loop tells the time."""
        if self._ends_at == float('inf'):
            return None
        loop = asyncio.get_running_loop()
        remaining_s = self._ends_at - time.monotonic()
        return loop.time() + remaining_s + _CONCLUDE_S
