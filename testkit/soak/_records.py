"""Records of a run, evaluated by the checks at its end."""

import threading
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Exchange:
    """A request to an entry and its answer."""

    entry: str
    # Monotonic times in seconds.
    started: float
    ended: float
    request: Mapping[str, Any]
    # None if the connection failed before an answer.
    answer: Mapping[str, Any] | None
    # False if no connection was made, so the entry cannot have received it.
    sent: bool = True


@dataclass(frozen=True)
class SentChange:
    """A catalogue change and its verdict."""

    entry: str
    content: Mapping[str, Any]
    # None while the outcome is unknown.
    verdict: Mapping[str, Any] | None


@dataclass(frozen=True)
class Outage:
    """A period for which an entry was killed."""

    entry: str
    started: float
    ended: float


@dataclass
class Journal:
    """Records of a run, appended to by many threads."""

    exchanges: list[Exchange] = field(default_factory=list)
    changes: list[SentChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    # Observed catalogue versions by instance, in order.
    versions: dict[str, list[int]] = field(default_factory=dict)
    # Runs counted by stand-in targets, by request id and by idempotency key.
    ran_requests: Counter[str] = field(default_factory=Counter)
    ran_keys: Counter[str] = field(default_factory=Counter)
    # Injected faults by kind.
    faults: Counter[str] = field(default_factory=Counter)
    # Violations and errors found during the run.
    findings: list[str] = field(default_factory=list)
    # Human-readable event log.
    events: list[str] = field(default_factory=list)
    started: float = field(default_factory=time.monotonic)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def log_event(self, event: str) -> None:
        """Log an event with its time since the start of the run."""
        at_s = time.monotonic() - self.started
        self.events.append(f'{at_s:.2f} {event}')

    def add_runs(self, counters: Mapping[str, Mapping[str, int]]) -> None:
        """Add the counters of one process lifetime of a stand-in target."""
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
        """Return the number of incomplete answers by outcome and reason."""
        reasons: Counter[str] = Counter()
        for exchange in self.exchanges:
            answer = exchange.answer
            if answer and answer['outcome'] != 'complete':
                reasons[f'{answer["outcome"]} {answer.get("reason")}'] += 1
        return dict(sorted(reasons.items()))


def list_quantiles_ms(exchanges: Sequence[Exchange]) -> Mapping[str, float]:
    """Return latency quantiles of complete answers in milliseconds."""
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
