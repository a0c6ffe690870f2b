"""Set-up, run and verdict of a case."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from standins.backends import Backend
from standins.callers import Clients, Operator, wait_until_ready
from standins.platform import InstanceList, make_entry
from standins.record import Record, has_trouble
from standins.tier import Tier

# Loopback host of the backends and of the list.
_BACKEND_HOST = '127.9.0.1'
_LIST_HOST = '127.9.0.2'
# Longest time that a case runs.
_LIMIT_S = 110.0


class Case:
    """A small deployment whose parts are all started."""

    def __init__(
        self,
        folder: Path,
        backends: Sequence[Backend],
        *,
        has_links: bool = False,
        **tier: int,
    ) -> None:
        self.record = Record(folder / 'record.txt')
        self.has_trouble = has_trouble()
        self.backends = list(backends)
        for backend in self.backends:
            backend.record = self.record
        self.listing = InstanceList(self.record)
        self._tier_options = tier
        self._has_links = has_links
        self.tier: Tier
        self.operator: Operator
        self.clients: Clients

    async def start(self, config: bytes) -> None:
        """Start everything, send the first configuration, wait for it."""
        self.record.add('case', trouble=int(self.has_trouble))
        for backend in self.backends:
            await backend.start(_BACKEND_HOST)
        await self.listing.start(_LIST_HOST)
        self.publish()
        self.tier = Tier(self.record, self.listing.address, **self._tier_options)
        self.operator = Operator(self.tier, self.record)
        self.clients = Clients(self.tier, self.record)
        if self._has_links:
            await self.tier.add_links()
        self.tier.start_all()
        await self.operator.order('PUT', '/-/config', config)
        await wait_until_ready(self.tier)

    def publish(self, *odd: object) -> None:
        """Publish the entries of all backends, and odd ones after them."""
        entries = [
            make_entry(each) for each in self.backends if not each.has_ended
        ]
        self.listing.publish([*entries, *odd])

    def conclude(self, *, broken: bool, **fields: object) -> int:
        """Record the verdict; return the exit status."""
        self.record.add('verdict', broken=broken, **fields)
        figures = ' '.join(f'{key}={item}' for key, item in fields.items())
        print('rule broken' if broken else 'rule held', figures)
        return int(broken)


def run_case(case: Case, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its verdict; 2 if it could not run."""

    async def run() -> int:
        try:
            async with asyncio.timeout(_LIMIT_S):
                return await play(case)
        finally:
            # Closes the connections of the processes, too.
            if hasattr(case, 'tier'):
                case.tier.stop()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            # Lets the transports finish their closing.
            await asyncio.sleep(0.1)

    status = 2
    try:
        status = asyncio.run(run())
    except Exception:
        # Of any kind: an exit with 1 would tell of a broken rule.
        traceback.print_exc()
        print('could not run')
    sys.stdout.flush()
    # Skips the teardown, which complains of streams that are still open.
    os._exit(status)
