"""Links that are kept idle."""

import asyncio

from shallotgate.gateway._connection_pool import LinkPool
from testkit.virtual import run_virtual


class FakeLink:
    kept_until = float('inf')

    def __init__(self):
        self.is_usable = True

    def close(self):
        self.is_usable = False


def test_spare_link_is_closed_when_idle_for_its_time_only():
    """Guards against links that fill a target, and against lost ones."""

    async def play():
        pool = LinkPool('host:1')
        kept, spare, used = FakeLink(), FakeLink(), FakeLink()
        pool.give_back(kept, None)
        pool.give_back(spare, 1.0)
        pool.give_back(used, 1.0)
        await asyncio.sleep(0.9)
        assert pool.take_idle() is used
        pool.give_back(used, 1.0)
        await asyncio.sleep(0.5)
        return kept.is_usable, spare.is_usable, used.is_usable

    assert run_virtual(play()) == (True, False, True)
