"""Open-loop load: queries are due at their times, whatever came before."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing import connection, context, get_context
from typing import Any

from testkit.bench._deployment import GROUP
from testkit.bench._sample import Sample
from testkit.bench._scenario import Scenario
from testkit.bench._schedule import plan_arrivals, split_arrivals
from testkit.bench._sender import SenderTask, Start, run_sender

# One process with 160 threads was its own bottleneck: at twice capacity more
# than 160 queries are under way at once.
SENDERS = 4
_READY_LIMIT_S = 60
_ADDRESS_PERIOD_S = 0.02
_END_LIMIT_S = 10


@dataclass(frozen=True)
class _Worker:
    process: context.SpawnProcess
    channel: 'connection.Connection[Any, Any]'


class LoadGenerator:
    """Sends queries to all entries in turn, as the balancer does."""

    def __init__(
        self,
        scenario: Scenario,
        rate_per_s: float,
        seed: int,
        list_addresses: Callable[[], Sequence[str]],
        key: str,
    ) -> None:
        self._warm_up_s = scenario.warm_up_s
        self._list_addresses = list_addresses
        self._addresses = list_addresses()
        arrivals = plan_arrivals(scenario, rate_per_s, seed)
        self._tasks = [
            SenderTask(share, GROUP, scenario.class_name, key)
            for share in split_arrivals(arrivals, SENDERS)
        ]
        self._workers: list[_Worker] = []
        self._started_at: float = 0

    def start(self) -> None:
        """Start the senders and the warm-up."""
        self._workers = [_start_worker(task) for task in self._tasks]
        for worker in self._workers:
            if not worker.channel.poll(_READY_LIMIT_S):
                raise TimeoutError('a sender process is not ready')
            worker.channel.recv()
        self._started_at = time.monotonic() + self._warm_up_s
        self._tell(Start(self._started_at, self._addresses))

    def wait(self) -> list[Sample]:
        """Return the samples of the whole load, warm-up included.

        Raises ``EOFError`` if a sender process ended early.
        """
        try:
            samples = self._collect()
        finally:
            for worker in self._workers:
                worker.channel.close()
                worker.process.join(_END_LIMIT_S)
        return sorted(samples, key=lambda sample: sample.due_s)

    def read_elapsed_s(self) -> float:
        """Return the seconds since the start of the measured load."""
        return time.monotonic() - self._started_at

    def _collect(self) -> list[Sample]:
        samples: list[Sample] = []
        waiting = [worker.channel for worker in self._workers]
        while waiting:
            ended = connection.wait(waiting, _ADDRESS_PERIOD_S)
            for channel in filter(ended.__contains__, tuple(waiting)):
                samples.extend(channel.recv())
                waiting.remove(channel)
            self._refresh_addresses()
        return samples

    def _refresh_addresses(self) -> None:
        addresses = self._list_addresses()
        if addresses != self._addresses:
            self._addresses = addresses
            self._tell(addresses)

    def _tell(self, message: object) -> None:
        for worker in self._workers:
            worker.channel.send(message)


def _start_worker(task: SenderTask) -> _Worker:
    # A forked sender would inherit the locks of the threads that run here.
    spawning = get_context('spawn')
    near, far = spawning.Pipe()
    process = spawning.Process(
        target=run_sender,
        args=(far, task),
        daemon=True,
    )
    process.start()
    far.close()
    return _Worker(process, near)
