"""Queries through the entries of a tier until stopped."""

import itertools
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from testkit.runner import Tier, wait_until
from tests.support._asking import ask
from tests.support._limits import LIMIT_S
from tests.support._workers import Workers

# Pause after a broken connection: the entry is down.
_BROKEN_PAUSE_S = 0.05


@dataclass(frozen=True)
class Exchange:
    """One query; the time is monotonic."""

    # Empty if there was no entry to send to.
    entry: str
    started: float
    query: Mapping[str, Any]
    # None if the connection broke.
    answer: Mapping[str, Any] | None


class QueryLoad(Workers):
    """Records what callers were answered.

    ``make_request`` is called for each query; the entry is drawn.
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
        self.exchanges: list[Exchange] = []
        # Entries that queries go to; a test may take one out.
        self.entries = list(tier.instances)
        self._tier = tier
        self._workers = workers
        self._make_request = make_request

    @property
    def answers(self) -> list[tuple[Mapping[str, Any], Any]]:
        """Return pairs of query and answer."""
        return [(one.query, one.answer) for one in tuple(self.exchanges)]

    def count(self, since: float = 0) -> Counter[str]:
        """Return the outcomes of answered queries sent since a time."""
        return Counter(
            one.answer.get('outcome')
            for one in tuple(self.exchanges)
            if one.answer and one.started >= since
        )

    def wait_more(self, count: int) -> None:
        """Wait until so many further queries ended."""
        wanted = len(self.exchanges) + count
        wait_until(
            lambda: len(self.exchanges) >= wanted,
            LIMIT_S,
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
            LIMIT_S,
            subject,
        )

    def wait_majority(self) -> None:
        """Wait until most answers are complete.

        They stay the majority whatever becomes of queries under way.
        """

        def is_majority() -> bool:
            answers = self.answers
            complete = sum(
                bool(answer) and answer['outcome'] == 'complete'
                for _, answer in answers
            )
            # A worker may begin one more query before the load stops.
            return 2 * complete > len(answers) + 2 * self._workers

        wait_until(is_majority, LIMIT_S, 'a majority of complete answers')

    def _choose_entry(self, generator: random.Random) -> str:
        return generator.choice(self.entries)

    def _send(self, generator: random.Random) -> None:
        entry = self._choose_entry(generator)
        request = self._make_request(generator)
        started = time.monotonic()
        answer = ask(self._tier, entry, request) if entry else None
        self.exchanges.append(
            Exchange(entry, started, request['query'], answer)
        )
        if answer is None:
            time.sleep(_BROKEN_PAUSE_S)


class SteadyLoad(QueryLoad):
    """Sends to the entries of a rotation in turn, at a steady rate."""

    def __init__(
        self,
        tier: Tier,
        seed: int,
        rotation: Callable[[], Sequence[str]],
        workers: int = 4,
    ) -> None:
        super().__init__(tier, seed, workers, _make_request, (0.01, 0.06))
        self._rotation = rotation
        self._turns = itertools.count()

    def count(self, since: float = 0) -> Counter[str]:
        """Return the outcomes of all queries, cut ones included."""
        return Counter(
            _read_outcome(one)
            for one in tuple(self.exchanges)
            if one.started >= since
        )

    def list_bad(self, *outcomes: str) -> list[Exchange]:
        """Return the exchanges with one of the outcomes."""
        return [one for one in self.exchanges if _read_outcome(one) in outcomes]

    def _choose_entry(self, generator: random.Random) -> str:
        entries = self._rotation()
        if not entries:
            return ''
        return entries[next(self._turns) % len(entries)]


def make_query(item: int) -> dict[str, Any]:
    """Return a request to the small clearing deployment."""
    return {
        'group': 'tracedesk',
        'class_name': 'teller',
        'query': {'item': item},
        'limit': 1000,
    }


def _make_request(generator: random.Random) -> dict[str, Any]:
    return make_query(generator.randrange(100))


def _read_outcome(exchange: Exchange) -> str:
    if exchange.answer is None:
        return 'cut' if exchange.entry else 'no_entry'
    return exchange.answer.get('outcome', '')
