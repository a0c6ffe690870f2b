"""Event loop with virtual time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

_T = TypeVar('_T')


class _Clock:
    """Virtual monotonic clock in seconds."""

    def __init__(self) -> None:
        self.now: float = 1000

    def read(self) -> float:
        """Return the virtual time."""
        return self.now


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock to the next timer instead of waiting."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return the ready keys."""
        if timeout:
            self._clock.now += timeout
        return super().select(0)


def run_virtual(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine in virtual time; it must not use network or threads.

    >>> import time
    >>> started = time.perf_counter()
    >>> run_virtual(asyncio.sleep(60, 'done'))
    'done'
    >>> time.perf_counter() - started < 10
    True
    """
    clock = _Clock()
    with mock.patch('time.monotonic', clock.read):
        loop = asyncio.SelectorEventLoop(_VirtualTimeSelector(clock))
        try:
            return loop.run_until_complete(main)
        finally:
            loop.run_until_complete(_cancel_remaining())
            loop.close()


async def _cancel_remaining() -> None:
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)
