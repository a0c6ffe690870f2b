"""Entries that share targets and tell each other what they see."""

import asyncio
import random

from shallotgate.aio import Response
from shallotgate.extras import RetryBudgetPolicy, RetryGrantPool
from shallotgate.registry import ConditionTracker
from testkit.gateway._simulation import (
    ALLOWED_RATIO,
    DOMAINS,
    SLACK,
    WINDOW_S,
    SimulatedEntry,
)
from testkit.gateway._targets import SimulatedTarget

# Time between two messages of an entry to the leader, in seconds: a leader
# without news holds a request about as long.
_FOLLOW_S = 0.8
# Time until the leader looks for news again, in seconds.
_LOOK_S = 0.05


class SimulatedTier:
    """Entries whose callers are spread over them at random.

    Keywords are those of ``SimulatedEntry``. The leader has led for long.
    """

    def __init__(
        self,
        entries: int,
        *,
        slack: float = SLACK,
        has_leader: bool = True,
        **fields: object,
    ) -> None:
        """``has_leader`` tells whether a leader lends extra attempts."""
        fields = {'slack': slack, **fields}
        pool = RetryGrantPool(RetryBudgetPolicy(ALLOWED_RATIO, slack, WINDOW_S))
        pool.activate(float('-inf'))
        first = SimulatedEntry(**fields)  # type: ignore[arg-type]
        others = [
            SimulatedEntry(
                seed=number,
                domain=DOMAINS[number % len(DOMAINS)],
                targets=first.targets,
                **fields,  # type: ignore[arg-type]
            )
            for number in range(1, entries)
        ]
        self.entries = [first, *others]
        self.targets = first.targets
        for entry in self.entries:
            entry.gateway.entries = entries
            entry.pool = pool if has_leader else None
        self._conditions = ConditionTracker(0)

    async def send_requests(
        self,
        count: int,
        per_s: float,
    ) -> list[tuple[Response, float]]:
        """Send requests at a rate in all; return answers with their times."""
        generator = random.Random(count)  # noqa: S311 - no secret
        tasks = []
        for number in range(count):
            entry = generator.choice(self.entries)
            tasks.append(
                asyncio.ensure_future(entry.send_request(f'q{number}'))
            )
            await asyncio.sleep(1 / per_s)  # noqa: WPS476 - keeps the rate
        return list(await asyncio.gather(*tasks))

    async def exchange_reports(self) -> None:
        """Let the entries follow a leader until this is cancelled."""
        follows = [self._follow(entry) for entry in self.entries]
        await asyncio.gather(*follows)

    def list_all_targets(self) -> list[SimulatedTarget]:
        """Return the targets of all services."""
        return [one for targets in self.targets.values() for one in targets]

    async def _follow(self, entry: SimulatedEntry) -> None:
        loop = asyncio.get_running_loop()
        while True:  # noqa: WPS457 - until it is cancelled
            self._tell(entry)
            until = loop.time() + _FOLLOW_S
            update = None
            while update is None and loop.time() < until:
                await asyncio.sleep(_LOOK_S)  # noqa: WPS476 - waits for news
                if entry.directory.reply_stats.is_report_due:
                    self._tell(entry)
                self._conditions.publish(loop.time())
                update = self._conditions.make_update(
                    entry.directory.conditions_revision,
                )
            entry.directory.apply_conditions(update)

    def _tell(self, entry: SimulatedEntry) -> None:
        observed = entry.directory.reply_stats.drain()
        if observed is not None:
            self._conditions.record_replies(
                observed, asyncio.get_running_loop().time()
            )
