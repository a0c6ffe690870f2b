"""What the owners know of the targets while load runs."""

import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Self

from testkit.runner import Tier

_PERIOD_S = 2


@dataclass(frozen=True)
class TargetsReading:
    """All owned targets at one moment."""

    # Seconds after the start of the measured load.
    at_s: float
    # Targets of which some instance is the owner.
    owned: int
    # Targets on their cold budget.
    cold: int
    # Attempts at once allowed now, over all targets.
    limit: int


def sum_states(
    at_s: float,
    pages: Iterable[Mapping[str, Any] | None],
) -> TargetsReading:
    """Return the reading of one page per instance, None if unreachable.

    While a target moves two instances may report it; the later owner counts.
    """
    reported = [
        row['state']
        for page in pages
        for row in (page or {'targets': ()})['targets']
        if row['state']
    ]
    reported.sort(key=lambda state: state['epoch'])
    states = {state['target']: state for state in reported}
    return TargetsReading(
        at_s=round(at_s, 1),
        owned=len(states),
        cold=sum(state['cold'] for state in states.values()),
        limit=sum(state['limit'] for state in states.values()),
    )


class TargetWatch:
    """Reads the operators' pages of all instances on a thread."""

    def __init__(
        self,
        tier: Tier,
        read_elapsed_s: Callable[[], float],
    ) -> None:
        self.readings: list[TargetsReading] = []
        self._tier = tier
        self._read_elapsed_s = read_elapsed_s
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def _watch(self) -> None:
        due_at = time.monotonic()
        while not self._ended.wait(max(due_at - time.monotonic(), 0)):
            due_at += _PERIOD_S
            at_s = self._read_elapsed_s()
            pages = [
                self._tier.clients.read(name, '/v1/targets')
                for name in self._tier.list_running()
            ]
            self.readings.append(sum_states(at_s, pages))


def format_readings(readings: Sequence[TargetsReading]) -> str:
    """Return a line with cold targets and total limit over time.

    >>> format_readings([TargetsReading(-2, 30, 4, 80)])
    'targets cold/total limit at s: -2:4/80'
    """
    pairs = ' '.join(
        f'{row.at_s:.0f}:{row.cold}/{row.limit}' for row in readings
    )
    return f'targets cold/total limit at s: {pairs}'
