"""Callers that leave while their request is handled."""

import asyncio

# Bytes that a cut network held up arrive in order: the end of a connection
# follows the request about one round trip later. Longer than a round trip
# between regions.
_CLOSE_DELAY_S = 0.05


async def confirm_caller() -> None:
    """Return if the caller of the request of this task is still connected.

    Otherwise the server cancels the task here. After a suspension of the
    process, a request is read whose caller may have left long ago.
    """
    await asyncio.sleep(_CLOSE_DELAY_S)
    # A timer that became due during a suspension is served before sockets are
    # read. Then it takes an iteration of the loop until the task is cancelled.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
