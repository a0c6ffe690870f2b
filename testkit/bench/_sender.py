"""Sender process: sends its share of the schedule on one event loop."""

import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any

from testkit.bench._exchange import EXCHANGE_ERRORS, ConnectionPool
from testkit.bench._sample import MS_PER_S, Sample
from testkit.bench._schedule import Arrival

_CLIENT_TIMEOUT_S = 10


@dataclass(frozen=True)
class SenderTask:
    """What one sender does."""

    arrivals: Sequence[Arrival]
    group: str
    class_name: str
    # Key of the caller.
    key: str


@dataclass(frozen=True)
class Start:
    """Tells a sender when to begin."""

    # ``time.monotonic()`` at the start of the measured load; all processes
    # of one machine share that clock.
    started_at: float
    # Addresses of the entries that run.
    addresses: Sequence[str]


def run_sender(
    channel: 'Connection[Any, Any]',
    task: SenderTask,
) -> None:
    """Exchange with the generator: ready, ``Start``, then the samples.

    In between the channel brings the addresses whenever they change.
    """
    channel.send('ready')
    start: Start = channel.recv()
    samples = asyncio.run(_Sender(channel, task, start).run())
    channel.send(samples)
    # Late addresses need a reader until the generator closes the channel.
    with contextlib.suppress(EOFError):
        while channel.poll(None):
            channel.recv()


class _Sender:
    def __init__(
        self,
        channel: 'Connection[Any, Any]',
        task: SenderTask,
        start: Start,
    ) -> None:
        self._channel = channel
        self._task = task
        self._started_at = start.started_at
        self._addresses = start.addresses
        self._pool = ConnectionPool()
        self._samples: list[Sample] = []

    async def run(self) -> list[Sample]:
        loop = asyncio.get_running_loop()
        loop.add_reader(self._channel.fileno(), self._learn_addresses)
        async with asyncio.TaskGroup() as group:
            for arrival in self._task.arrivals:
                wait_s = arrival.due_s - self._read_elapsed_s()
                await asyncio.sleep(max(wait_s, 0))  # noqa: WPS476 - in turn
                group.create_task(self._ask(arrival))
        loop.remove_reader(self._channel.fileno())
        self._pool.close()
        return self._samples

    def _learn_addresses(self) -> None:
        try:
            self._addresses = self._channel.recv()
        except EOFError:
            sys.exit('the generator ended')

    def _read_elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    async def _ask(self, arrival: Arrival) -> None:
        lag_s = self._read_elapsed_s() - arrival.due_s
        address = self._addresses[arrival.number % len(self._addresses)]
        try:
            answer = await self._exchange(address, arrival)
        except EXCHANGE_ERRORS as error:
            answer = {'outcome': 'cut', 'reason': type(error).__name__}
        elapsed_s = self._read_elapsed_s() - arrival.due_s
        self._samples.append(
            make_sample(arrival.due_s, elapsed_s, lag_s, answer),
        )

    async def _exchange(self, address: str, arrival: Arrival) -> dict[str, Any]:
        body = json.dumps(
            {
                'group': self._task.group,
                'class_name': self._task.class_name,
                'query': {'cheque': arrival.content},
                'limit': 10,
            }
        )
        head = (
            f'POST /v1/query HTTP/1.1\r\nHost: {address}\r\n'
            f'Authorization: Bearer {self._task.key}'
        )
        reply = await self._pool.post(
            address,
            head,
            body.encode(),
            _CLIENT_TIMEOUT_S,
        )
        answer: dict[str, Any] = json.loads(reply)
        return answer


def make_sample(
    due_s: float,
    elapsed_s: float,
    lag_s: float,
    answer: dict[str, Any],
) -> Sample:
    """Return the sample of a query and its answer."""
    shards = answer.get('shards') or {}
    return Sample(
        due_s=due_s,
        elapsed_ms=elapsed_s * MS_PER_S,
        outcome=str(answer.get('outcome', 'cut')),
        reason=str(answer.get('reason', '')),
        asked=int(shards.get('asked', 0)),
        answered=int(shards.get('answered', 0)),
        attempts=int(answer.get('attempts', 0)),
        lag_ms=lag_s * MS_PER_S,
    )
