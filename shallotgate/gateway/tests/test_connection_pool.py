"""Idle timeout of pooled connections."""

import asyncio

from shallotgate.gateway._connection_pool import ConnectionPool
from testkit.virtual import run_virtual


class FakeLink:
    keep_alive_until = float('inf')

    def __init__(self):
        self.is_usable = True

    def close(self):
        self.is_usable = False


def test_spare_link_is_closed_when_idle_for_its_time_only():
    """Guards against leaked connections, and against closing reused ones."""

    async def play():
        pool = ConnectionPool('host:1')
        kept, spare, used = FakeLink(), FakeLink(), FakeLink()
        pool.release(kept, None)
        pool.release(spare, 1.0)
        pool.release(used, 1.0)
        await asyncio.sleep(0.9)
        assert pool.acquire_idle() is used
        pool.release(used, 1.0)
        await asyncio.sleep(0.5)
        return kept.is_usable, spare.is_usable, used.is_usable

    assert run_virtual(play()) == (True, False, True)
