"""Event loop whose time passes without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

_T = TypeVar('_T')


class _Clock:
    """Monotonic time in seconds that only moves when told."""

    def __init__(self) -> None:
        self.now: float = 1000

    def read(self) -> float:
        """Return the time."""
        return self.now


class _JumpingSelector(selectors.SelectSelector):
    """Moves the clock to the next timer instead of waiting for it."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; move the clock by the timeout."""
        if timeout:
            self._clock.now += timeout
        return super().select(0)


def run_virtual(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine in virtual time; it must use no network or threads.

    >>> import time
    >>> started = time.perf_counter()
    >>> run_virtual(asyncio.sleep(60, 'done'))
    'done'
    >>> time.perf_counter() - started < 10
    True
    """
    clock = _Clock()
    with mock.patch('time.monotonic', clock.read):
        loop = asyncio.SelectorEventLoop(_JumpingSelector(clock))
        try:
            return loop.run_until_complete(main)
        finally:
            loop.run_until_complete(_cancel_rest())
            loop.close()


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
