"""Waiting for an event or a time."""

import asyncio


class Wakeup:
    """Lets one task wait until it is woken, at most for a time.

    There is one such wait for each part of each request, so it makes no more
    objects than it needs.
    """

    def __init__(self) -> None:
        self._waiter: asyncio.Future[None] | None = None

    async def wait(self, timeout_s: float) -> None:
        """Wait until ``wake`` is called, at most for a time."""
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(max(timeout_s, 0), self.wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def wake(self) -> None:
        """End a wait that is under way."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
