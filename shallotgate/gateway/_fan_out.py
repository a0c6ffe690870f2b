"""Fan-out of one request over all shards of its route."""

import asyncio
import heapq
import math
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Literal

from shallotgate.gateway._call import Call
from shallotgate.gateway._dispatch import Dispatch, Outcome

_RECORD_BYTES = 16
# Second attempts start when at most this share of the shards lack. If more do,
# the cause is common to them, like the start of this entry or a busy
# processor, and second attempts would spend the budget for nothing.
_MAX_HEDGED_SHARE = 0.4
# Error of a floating-point product that still counts as a whole number.
_ROUNDING = 1e-9


# Makes the part of a request on one service; the second argument tells whether
# it may be sent a second time while the first attempt is under way.
DispatchMaker = Callable[[str, Callable[[], bool]], Dispatch]


@dataclass(frozen=True)
class Gathered:
    """Parts of an answer, or why there is none."""

    status: Literal['answered', 'not_run', 'failed', 'late']
    signatures: Sequence[bytes] = ()
    # Shards that are not part of the answer.
    missing: int = 0
    body: bytes = b''


def merge_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    >>> first, second = b'a' * 16, b'b' * 16
    >>> merge_records([first + b'rest', second], 1) == second
    True
    """
    records = [
        body[start : start + _RECORD_BYTES]
        for body in bodies
        for start in range(
            0,
            len(body) - _RECORD_BYTES + 1,
            _RECORD_BYTES,
        )
    ]
    return b''.join(heapq.nlargest(count, records))


class Gather:
    """Collects the parts of one request; ``run`` is called once."""

    def __init__(
        self,
        call: Call,
        make_dispatch: DispatchMaker,
    ) -> None:
        self._call = call
        shards = call.route.shards
        self._dispatches = [
            make_dispatch(shard, self._may_hedge) for shard in shards
        ]
        self._parts: list[Outcome] = []
        # Parts that make an answer; the product of a share like 0.56 and 25
        # lies a little above the whole number that it stands for.
        share = call.route.min_coverage * len(shards)
        self._needed = max(math.ceil(share - _ROUNDING), 1)
        self._open = len(shards)
        # Set when every shard has settled, when too few can still answer, or
        # when what is there suffices for a late answer.
        self._settled = asyncio.Event()
        self._is_late = False

    async def run(self) -> Gathered:
        """Return the answer by the objective if enough is in, else later."""
        tasks = [
            asyncio.ensure_future(self._collect(dispatch))
            for dispatch in self._dispatches
        ]
        try:
            await self._wait()
        finally:
            for task in tasks:
                task.cancel()
        self._take_last(tasks)
        return self._conclude()

    def _take_last(self, tasks: Sequence['asyncio.Task[None]']) -> None:
        """Take answers that came at the same moment as the end."""
        for task, dispatch in zip(tasks, self._dispatches, strict=True):
            outcome = None if task.done() else dispatch.take_settled()
            if outcome is not None and outcome.status == 'answered':
                self._parts.append(outcome)

    async def _wait(self) -> None:
        call = self._call
        if await self._wait_until(min(call.answer_by, call.deadline)):
            return
        self._is_late = True
        if not self._suffices():
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
        self._open -= 1
        if outcome.status == 'answered':
            self._parts.append(outcome)
        is_hopeless = len(self._parts) + self._open < self._needed
        is_enough = self._is_late and self._suffices()
        if not self._open or is_hopeless or is_enough:
            self._settled.set()

    def _may_hedge(self) -> bool:
        """Return whether so few shards lack that targets are the cause."""
        return self._open <= len(self._dispatches) * _MAX_HEDGED_SHARE

    def _suffices(self) -> bool:
        return len(self._parts) >= self._needed

    def _conclude(self) -> Gathered:
        if self._suffices():
            return Gathered(
                'answered',
                [part.signature for part in self._parts],
                len(self._dispatches) - len(self._parts),
                merge_records(
                    (part.reply.body for part in self._parts if part.reply),
                    self._call.route.top_count,
                ),
            )
        if not any(each.may_have_run for each in self._dispatches):
            return Gathered('not_run')
        if time.monotonic() >= self._call.deadline:
            return Gathered('late')
        return Gathered('failed')
