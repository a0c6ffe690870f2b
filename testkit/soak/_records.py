"""What a run records for the checks at its end."""

import threading
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Exchange:
    """One request to an entry and what came back."""

    entry: str
    # Monotonic times in seconds.
    started: float
    ended: float
    request: Mapping[str, Any]
    # Answer, or None if there was none.
    answer: Mapping[str, Any] | None
    # Whether the request may have reached the entry.
    sent: bool = True


@dataclass(frozen=True)
class SentChange:
    """A catalogue change and its verdict."""

    entry: str
    content: Mapping[str, Any]
    # Verdict, or None while it is unknown.
    verdict: Mapping[str, Any] | None


@dataclass(frozen=True)
class Outage:
    """A time in which an entry was ended without notice."""

    entry: str
    started: float
    ended: float


@dataclass
class Journal:
    """Everything that happened; appended to by many threads."""

    exchanges: list[Exchange] = field(default_factory=list)
    changes: list[SentChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    # Catalogue versions seen, by instance, in order.
    versions: dict[str, list[int]] = field(default_factory=dict)
    # Runs that stand-ins counted, by request id and by key.
    ran_requests: Counter[str] = field(default_factory=Counter)
    ran_keys: Counter[str] = field(default_factory=Counter)
    # Faults by kind.
    faults: Counter[str] = field(default_factory=Counter)
    # Faults of the tier that were seen while the run went on.
    findings: list[str] = field(default_factory=list)
    # What happened when, for people.
    events: list[str] = field(default_factory=list)
    started: float = field(default_factory=time.monotonic)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def note(self, event: str) -> None:
        """Record an event with its time since the start."""
        at_s = time.monotonic() - self.started
        self.events.append(f'{at_s:.2f} {event}')

    def add_runs(self, counters: Mapping[str, Mapping[str, int]]) -> None:
        """Add the counters of one start of a stand-in."""
        with self._lock:
            self.ran_requests.update(counters['ran_requests'])
            self.ran_keys.update(counters['ran_keys'])

    def count_outcomes(self) -> Mapping[str, int]:
        """Return the number of exchanges by outcome."""
        outcomes: Counter[str] = Counter(
            _name_outcome(exchange) for exchange in self.exchanges
        )
        return dict(sorted(outcomes.items()))

    def count_reasons(self) -> Mapping[str, int]:
        """Return the number of answers that are not complete by reason."""
        reasons: Counter[str] = Counter()
        for exchange in self.exchanges:
            answer = exchange.answer
            if answer and answer['outcome'] != 'complete':
                reasons[f'{answer["outcome"]} {answer.get("reason")}'] += 1
        return dict(sorted(reasons.items()))


def list_quantiles_ms(exchanges: Sequence[Exchange]) -> Mapping[str, float]:
    """Return quantiles of the time to a complete answer in milliseconds."""
    durations = sorted(
        exchange.ended - exchange.started
        for exchange in exchanges
        if exchange.answer and exchange.answer.get('outcome') == 'complete'
    )
    if not durations:
        return {}
    return {
        name: round(durations[int(share * (len(durations) - 1))] * 1000, 1)
        for name, share in (('p50', 0.5), ('p99', 0.99), ('p99.9', 0.999))
    }


def _name_outcome(exchange: Exchange) -> str:
    if exchange.answer is not None:
        return str(exchange.answer.get('outcome'))
    return 'connection broken' if exchange.sent else 'not connected'
