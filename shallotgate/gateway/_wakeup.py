"""Wait for an event with a timeout."""

import asyncio


class Wakeup:
    """Wakes a single waiting task, by a call or by a timeout.

    There is one for each dispatch, so it allocates as little as possible.
    """

    def __init__(self) -> None:
        self._waiter: asyncio.Future[None] | None = None

    async def wait(self, timeout_s: float) -> None:
        """Wait until ``wake`` is called or the timeout expires."""
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(max(timeout_s, 0), self.wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def wake(self) -> None:
        """Wake the waiting task, if any."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
