"""Continuous query load on the entries of a tier."""

import itertools
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from testkit.runner import Tier, wait_until
from tests.support._queries import ask
from tests.support._timeouts import WAIT_TIMEOUT_S
from tests.support._worker_threads import WorkerThreads

# Pause after a broken connection, as the entry is probably down.
_BROKEN_PAUSE_S = 0.05


@dataclass(frozen=True)
class QueryRecord:
    """A query, its monotonic start time and its answer."""

    # Empty if no entry was available.
    entry: str
    started: float
    query: Mapping[str, Any]
    # None if the connection broke.
    answer: Mapping[str, Any] | None


class QueryLoad(WorkerThreads):
    """Sends queries to random entries and records the answers.

    ``make_request`` is called for each query.
    """

    def __init__(
        self,
        tier: Tier,
        seed: int,
        workers: int,
        make_request: Callable[[random.Random], dict[str, Any]],
        pauses_s: tuple[float, float] = (0, 0),
    ) -> None:
        super().__init__(self._send, seed, workers, pauses_s)
        self.seed = seed
        self.records: list[QueryRecord] = []
        # Entries that receive queries; tests may remove some.
        self.entries = list(tier.instances)
        self._tier = tier
        self._workers = workers
        self._make_request = make_request

    @property
    def answers(self) -> list[tuple[Mapping[str, Any], Any]]:
        """Return pairs of a query and its answer."""
        return [(record.query, record.answer) for record in tuple(self.records)]

    def count(self, since: float = 0) -> Counter[str]:
        """Count the outcomes of answered queries sent since a time."""
        return Counter(
            record.answer.get('outcome')
            for record in tuple(self.records)
            if record.answer and record.started >= since
        )

    def wait_further(self, count: int) -> None:
        """Wait until ``count`` further queries have ended."""
        wanted = len(self.records) + count
        wait_until(
            lambda: len(self.records) >= wanted,
            WAIT_TIMEOUT_S,
            f'{count} further answers',
        )

    def wait_for(
        self,
        condition: Callable[[Mapping[str, Any]], object],
        subject: str,
        since: int = 0,
    ) -> None:
        """Wait until an answer after the first ``since`` meets a condition."""
        wait_until(
            lambda: any(
                answer and condition(answer)
                for _, answer in self.answers[since:]
            ),
            WAIT_TIMEOUT_S,
            subject,
        )

    def wait_majority(self) -> None:
        """Wait until a majority of the answers is complete.

        The majority holds regardless of the outcome of queries in flight.
        """

        def is_majority() -> bool:
            answers = self.answers
            complete = sum(
                bool(answer) and answer['outcome'] == 'complete'
                for _, answer in answers
            )
            # A worker may start another query before the load stops.
            return 2 * complete > len(answers) + 2 * self._workers

        wait_until(
            is_majority, WAIT_TIMEOUT_S, 'a majority of complete answers'
        )

    def _choose_entry(self, generator: random.Random) -> str:
        return generator.choice(self.entries)

    def _send(self, generator: random.Random) -> None:
        entry = self._choose_entry(generator)
        request = self._make_request(generator)
        started = time.monotonic()
        answer = ask(self._tier, entry, request) if entry else None
        self.records.append(
            QueryRecord(entry, started, request['query'], answer)
        )
        if answer is None:
            time.sleep(_BROKEN_PAUSE_S)


class SteadyLoad(QueryLoad):
    """Sends queries round-robin to the entries of a rotation."""

    def __init__(
        self,
        tier: Tier,
        seed: int,
        rotation: Callable[[], Sequence[str]],
        workers: int = 4,
    ) -> None:
        super().__init__(tier, seed, workers, _make_request, (0.01, 0.06))
        self._rotation = rotation
        self._sent_count = itertools.count()

    def count(self, since: float = 0) -> Counter[str]:
        """Count the outcomes of all queries, broken connections included."""
        return Counter(
            _read_outcome(record)
            for record in tuple(self.records)
            if record.started >= since
        )

    def list_with_outcomes(self, *outcomes: str) -> list[QueryRecord]:
        """Return the records whose outcome is one of those given."""
        return [
            record
            for record in self.records
            if _read_outcome(record) in outcomes
        ]

    def _choose_entry(self, generator: random.Random) -> str:
        entries = self._rotation()
        if not entries:
            return ''
        return entries[next(self._sent_count) % len(entries)]


def make_query(item: int) -> dict[str, Any]:
    """Return a query request for the small clearing deployment."""
    return {
        'group': 'tracedesk',
        'class_name': 'teller',
        'query': {'item': item},
        'limit': 1000,
    }


def _make_request(generator: random.Random) -> dict[str, Any]:
    return make_query(generator.randrange(100))


def _read_outcome(record: QueryRecord) -> str:
    if record.answer is None:
        return 'cut' if record.entry else 'no_entry'
    return record.answer.get('outcome', '')
