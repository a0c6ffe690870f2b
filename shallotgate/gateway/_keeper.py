"""Opens a first link to each target before it is needed."""

import asyncio
import random

from shallotgate.errors import TargetConnectError
from shallotgate.gateway._directory import Directory, Target
from shallotgate.logs import get_logger

_LOGGER = get_logger('links')
# Time between two links, in seconds: opening one may hold a slot of the
# target for some milliseconds, and all entries may have started together.
_PACE_S = 0.015
# Time between two looks for targets without a link, in seconds.
_LOOK_S = 0.1
# Longest wait for a connection, in seconds.
_CONNECT_S = 1.0


class LinkKeeper:
    """Gives each newly listed target one link, in random order.

    A request to many shards would otherwise wait for the slowest of many new
    connections. Links that are lost later are opened again on demand.
    """

    def __init__(self, directory: Directory, generator: random.Random) -> None:
        self._directory = directory
        self._generator = generator

    async def run(self) -> None:
        """Open links until cancelled."""
        while True:
            targets = self._directory.take_unlinked()
            self._generator.shuffle(targets)
            for target in targets:
                await self._open(target)
                await asyncio.sleep(_PACE_S)
            await asyncio.sleep(_LOOK_S)

    async def _open(self, target: Target) -> None:
        if target.listed.leaving or target.pool.size:
            return
        try:
            link = await target.pool.open(_CONNECT_S)
        except TargetConnectError as error:
            _LOGGER.info(
                'No link: %s.',
                error,
                extra={'target': target.listed.target},
            )
            target.health.note_connect_failure()
            return
        target.pool.give_back(link)
