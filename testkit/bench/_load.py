"""Open-loop load: queries are due at their times, whatever came before."""

import itertools
import json
import queue
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException

from testkit.bench._deployment import CALLER, GROUP
from testkit.bench._scenario import Scenario

_THREADS = 160
_CLIENT_TIMEOUT_S = 10
_MS_PER_S = 1000


@dataclass(frozen=True)
class Sample:
    """One query as its caller saw it."""

    # Seconds after the start of the measured load at which it was due.
    due_s: float
    # Milliseconds from when it was due to the end of its answer.
    elapsed_ms: float
    # Outcome of the answer, or ``cut`` when there was none.
    outcome: str
    reason: str
    # Shards asked and answered, and attempts sent.
    asked: int
    answered: int
    attempts: int


@dataclass(frozen=True)
class _Arrival:
    due_s: float
    content: int


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
        self._scenario = scenario
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)
        self._list_addresses = list_addresses
        self._headers = {'Authorization': f'Bearer {key}'}
        self._arrivals: queue.SimpleQueue[_Arrival | None] = queue.SimpleQueue()
        self._turns = itertools.count()
        self._samples: list[Sample] = []
        self._attempts: list[int] = []
        self._started_at: float = 0

    def run(self) -> list[Sample]:
        """Offer the load of the scenario, warm-up included."""
        self._started_at = time.monotonic() + self._scenario.warm_up_s
        threads = [
            threading.Thread(target=self._work, daemon=True)
            for _ in range(_THREADS)
        ]
        for thread in threads:
            thread.start()
        self._schedule()
        for _ in threads:
            self._arrivals.put(None)
        for thread in threads:
            thread.join()
        return sorted(self._samples, key=lambda sample: sample.due_s)

    def read_elapsed_s(self) -> float:
        """Return the seconds since the start of the measured load."""
        return time.monotonic() - self._started_at

    def count_attempts(self) -> int:
        """Return the attempts of all answers, warm-up included."""
        return sum(self._attempts)

    def _schedule(self) -> None:
        due_s = -self._scenario.warm_up_s
        fresh = 0
        while due_s < self._scenario.duration_s:
            due_s += self._random.expovariate(self._rate_per_s)
            wait_s = due_s - self.read_elapsed_s()
            if wait_s > 0:
                time.sleep(wait_s)
            repeat = fresh and self._random.random() < self._scenario.repeated
            if not repeat:
                fresh += 1
            content = self._random.randrange(fresh) if repeat else fresh
            self._arrivals.put(_Arrival(due_s, content))

    def _work(self) -> None:
        connections: dict[str, HTTPConnection] = {}
        while True:
            arrival = self._arrivals.get()
            if arrival is None:
                return
            addresses = self._list_addresses()
            address = addresses[next(self._turns) % len(addresses)]
            self._ask(connections, address, arrival)

    def _ask(
        self,
        connections: dict[str, HTTPConnection],
        address: str,
        arrival: _Arrival,
    ) -> None:
        connection = connections.get(address)
        if connection is None:
            connection = HTTPConnection(
                address,
                timeout=_CLIENT_TIMEOUT_S,
            )
            connections[address] = connection
        try:
            answer = self._exchange(connection, arrival)
        except (OSError, HTTPException, ValueError) as error:
            connection.close()
            answer = {'outcome': 'cut', 'reason': type(error).__name__}
        self._note(arrival, answer)

    def _exchange(
        self,
        connection: HTTPConnection,
        arrival: _Arrival,
    ) -> dict[str, object]:
        body = json.dumps(
            {
                'group': GROUP,
                'class_name': self._scenario.class_name,
                'query': {'cheque': arrival.content},
                'limit': 10,
            }
        )
        connection.request('POST', '/v1/query', body, self._headers)
        answer: dict[str, object] = json.loads(connection.getresponse().read())
        return answer

    def _note(self, arrival: _Arrival, answer: dict[str, object]) -> None:
        attempts = int(str(answer.get('attempts', 0)))
        self._attempts.append(attempts)
        if arrival.due_s < 0:
            return
        shards = answer.get('shards') or {}
        if not isinstance(shards, dict):
            raise TypeError(f'caller {CALLER}: shards is no object')
        self._samples.append(
            Sample(
                due_s=arrival.due_s,
                elapsed_ms=(self.read_elapsed_s() - arrival.due_s) * _MS_PER_S,
                outcome=str(answer.get('outcome', 'cut')),
                reason=str(answer.get('reason', '')),
                asked=int(shards.get('asked', 0)),
                answered=int(shards.get('answered', 0)),
                attempts=attempts,
            ),
        )
