"""Fan-out of one request to all shards of its route."""

import asyncio
import heapq
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Literal

from shallotgate.gateway._call import Call
from shallotgate.gateway._coverage import count_needed
from shallotgate.gateway._dispatch import Dispatch, Outcome
from shallotgate.gateway._options import RECORD_BYTES
from shallotgate.gateway._permits import LimitedChoice, PermitSource
from shallotgate.gateway._send_permit import get_granted, make_limited_choice
from shallotgate.target_limits import DENIED

# Hedges are sent only while at most this share of the shards is missing. If
# more are, the cause is common to them, like the start of this entry or a busy
# processor, and hedges would waste the budget.
_MAX_HEDGED_SHARE = 0.4


# Creates the dispatch of a request to one service; the second argument tells
# whether it may be hedged.
DispatchFactory = Callable[[str, Callable[[], bool]], Dispatch]


@dataclass(frozen=True)
class FanOutResult:
    """Merged answer, or the reason why there is none."""

    status: Literal['answered', 'not_run', 'failed', 'late']
    signatures: Sequence[bytes] = ()
    # Number of shards that did not contribute.
    missing: int = 0
    body: bytes = b''


def merge_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies, in descending order.

    >>> first, second = b'a' * 16, b'b' * 16
    >>> merge_records([first + b'rest', second], 1) == second
    True
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(
            0,
            len(body) - RECORD_BYTES + 1,
            RECORD_BYTES,
        )
    ]
    return b''.join(heapq.nlargest(count, records))


class FanOut:
    """Collects the shard replies of one request; ``run`` is called once."""

    def __init__(
        self,
        call: Call,
        make_dispatch: DispatchFactory,
        permits: PermitSource,
    ) -> None:
        self._call = call
        self._permits = permits
        shards = call.route.shards
        self._dispatches = [
            make_dispatch(shard, self._may_hedge) for shard in shards
        ]
        self._selections = [each.selection for each in self._dispatches]
        self._parts: list[Outcome] = []
        # Replies required for an answer.
        self._needed = count_needed(call.route)
        self._pending = len(shards)
        # Set when every shard has finished, when too few can still answer, or
        # when the replies at hand suffice for a late answer.
        self._settled = asyncio.Event()
        self._is_late = False

    async def run(self) -> FanOutResult:
        """Return an answer by the objective if possible, else later.

        If too few shards have a target now, no target is asked: the caller may
        find another entry in a better state.
        """
        if sum(each.reserve() for each in self._selections) < self._needed:
            self._call.trace.add('too_few_targets', needed=self._needed)
            return FanOutResult('not_run')
        if not await self._acquire_permits():
            self._call.trace.add('too_few_permits', needed=self._needed)
            return FanOutResult('not_run')
        for each in self._dispatches:
            each.start()
        tasks = [
            asyncio.ensure_future(self._collect(dispatch))
            for dispatch in self._dispatches
        ]
        try:
            await self._wait()
        finally:
            for task, dispatch in zip(tasks, self._dispatches, strict=True):
                task.cancel()
                # Before the result is told, so that nothing is sent after it.
                dispatch.abandon()
        self._collect_settled(tasks)
        return self._conclude()

    async def _acquire_permits(self) -> bool:
        """Acquire permits for targets that state a limit.

        Returns whether enough shards have a target then. All shards are asked
        for at once: if too few are granted, none is used up.
        """
        limited = [each for each in self._selections if each.needs_permit]
        if not limited:
            return True
        choices = [each.rank_limited() for each in limited]
        # Shards that have a target without a limit, too.
        open_count = sum(
            each.reserve(may_use_limited=False) for each in self._selections
        )
        needed = max(self._needed - open_count, 0)
        granted = await self._request_permits(
            make_limited_choice(self._call, needed, choices)
        )
        for selection in self._selections:
            selection.reserve(may_use_limited=False)
        for asking, choice, position in zip(
            limited, choices, granted, strict=True
        ):
            asking.settle_permit(get_granted(choice, position))
        reserved = sum(each.is_reserved for each in self._selections)
        self._call.trace.add(
            'asked_for_permits',
            shards=len(limited),
            needed=needed,
            granted=sum(one != DENIED for one in granted),
        )
        return reserved >= self._needed

    async def _request_permits(self, choice: LimitedChoice) -> Sequence[int]:
        answer: asyncio.Future[Sequence[int]] = (
            asyncio.get_running_loop().create_future()
        )

        def settle(granted: Sequence[int]) -> None:  # noqa: WPS430
            # The caller may have left meanwhile.
            if not answer.done():
                answer.set_result(granted)

        self._permits.request(choice, settle)
        return await answer

    def _collect_settled(self, tasks: Sequence['asyncio.Task[None]']) -> None:
        """Collect replies that arrived at the same moment as the end."""
        for task, dispatch in zip(tasks, self._dispatches, strict=True):
            outcome = None if task.done() else dispatch.process_settled()
            if outcome is not None and outcome.status == 'answered':
                self._parts.append(outcome)

    async def _wait(self) -> None:
        call = self._call
        if await self._wait_until(min(call.answer_by, call.deadline)):
            return
        self._is_late = True
        if not self._is_sufficient():
            self._settled.clear()
            await self._wait_until(self._call.deadline)

    async def _wait_until(self, moment: float) -> bool:
        timeout_s = max(moment - time.monotonic(), 0)
        try:
            async with asyncio.timeout(timeout_s):
                await self._settled.wait()
        except TimeoutError:
            return False
        return True

    async def _collect(self, dispatch: Dispatch) -> None:
        outcome = await dispatch.run()
        self._pending -= 1
        if outcome.status == 'answered':
            self._parts.append(outcome)
        is_unreachable = len(self._parts) + self._pending < self._needed
        is_sufficient = self._is_late and self._is_sufficient()
        if not self._pending or is_unreachable or is_sufficient:
            self._settled.set()

    def _may_hedge(self) -> bool:
        """Return whether few enough shards are missing to hedge."""
        return self._pending <= len(self._dispatches) * _MAX_HEDGED_SHARE

    def _is_sufficient(self) -> bool:
        return len(self._parts) >= self._needed

    def _conclude(self) -> FanOutResult:
        if self._is_sufficient():
            return FanOutResult(
                'answered',
                [part.signature for part in self._parts],
                len(self._dispatches) - len(self._parts),
                merge_records(
                    (part.reply.body for part in self._parts if part.reply),
                    self._call.route.top_count,
                ),
            )
        if not any(dispatch.sent_count for dispatch in self._dispatches):
            return FanOutResult('not_run')
        if time.monotonic() >= self._call.deadline:
            return FanOutResult('late')
        return FanOutResult('failed')
