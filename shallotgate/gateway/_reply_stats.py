"""Reply statistics of targets that are not reported to the leader yet."""

import threading
from collections import Counter
from collections.abc import Callable

from shallotgate.generated.messages import ObservedReplies
from shallotgate.target_limits import NO_LIMIT

# Upper bound of a single slowness ratio: a short pause does not make a target
# slow, several such replies in a row do.
_MAX_SLOWNESS = 4.0

_NO_LOAD: tuple[int, float, float] = (0, 0, 0)
# Slowness ratio from which a reply counts as an anomaly.
_SLOW_RATIO = 2.0
# Anomalies that trigger an immediate report: single ones are normal.
_REPORT_THRESHOLD = 3


class ReplyStats:
    """Counts of replies and failures by target; used from several threads.

    >>> reply_stats = ReplyStats()
    >>> reply_stats.add_reply('t-1', slowness=2)
    >>> reply_stats.add_failure('t-1')
    >>> reply_stats.drain()
    ObservedReplies(targets=['t-1'], replies=[2], slowness=[2], failures=[1], \
limited=[], limits=[], reports=[], speeds=[], waiting=[], \
lost=[])
    >>> reply_stats.drain() is None
    True
    """

    def __init__(self, on_report_due: Callable[[], None] | None = None) -> None:
        """``on_report_due`` is called when a report is due immediately."""
        self._lock = threading.Lock()
        self._on_trouble = on_report_due
        # Slow replies and failures since the last report.
        self._anomalies = 0
        # Replies, total slowness and failures, by target.
        self._totals: dict[str, tuple[int, float, int]] = {}
        # Changed limits of targets; None if a target states none any more.
        self._limits: dict[str, float | None] = {}
        # Reports of load, total durations of work and total requests waiting
        # for a slot, by target.
        self._loads: dict[str, tuple[int, float, float]] = {}
        # Failures without any reply, by target.
        self._lost: Counter[str] = Counter()

    def add_load(self, target: str, speed: float, waiting: float) -> None:
        """Add a reported duration of work and the requests for each slot."""
        with self._lock:
            self._totals.setdefault(target, (0, 0, 0))
            known = self._loads.get(target, _NO_LOAD)
            self._loads[target] = (
                known[0] + 1,
                known[1] + speed,
                known[2] + waiting,
            )

    def add_lost(self, target: str) -> None:
        """Add a failure without any reply."""
        with self._lock:
            self._lost[target] += 1
        self.add_failure(target)

    def add_reply(self, target: str, slowness: float) -> None:
        """Add a reply; ``slowness`` is its duration relative to the median."""
        self._add(target, min(slowness, _MAX_SLOWNESS), 0)

    def add_failure(self, target: str) -> None:
        """Add an attempt that failed or could not connect."""
        self._add(target, 0, 1)

    def add_limit(self, target: str, limit_per_s: float | None) -> None:
        """Add a changed limit; the leader should learn it at once."""
        with self._lock:
            self._limits[target] = limit_per_s
        self._anomalies += _REPORT_THRESHOLD
        if self._on_trouble is not None:
            self._on_trouble()

    def drain(self) -> ObservedReplies | None:
        """Return and reset the statistics; None if there are none."""
        with self._lock:
            stats = self._totals
            limits = self._limits
            loads = [
                self._loads.get(name, _NO_LOAD) for name in stats if self._loads
            ]
            lost = [self._lost[name] for name in stats if self._lost]
            self._clear()
        if not stats and not limits:
            return None
        return ObservedReplies(
            targets=list(stats),
            replies=[replies for replies, _, _ in stats.values()],
            slowness=[round(slowness, 1) for _, slowness, _ in stats.values()],
            failures=[failures for _, _, failures in stats.values()],
            limited=list(limits),
            limits=[
                NO_LIMIT if limit is None else limit
                for limit in limits.values()
            ],
            reports=[reports for reports, _, _ in loads],
            speeds=[round(speed, 2) for _, speed, _ in loads],
            waiting=[round(waiting, 2) for _, _, waiting in loads],
            lost=lost,
        )

    @property
    def is_report_due(self) -> bool:
        """Whether the statistics should be reported immediately."""
        return self._anomalies >= _REPORT_THRESHOLD

    def _clear(self) -> None:
        """Forget what is reported now; requires the lock."""
        self._totals = {}
        self._limits = {}
        self._loads = {}
        self._lost = Counter()
        self._anomalies = 0

    def _add(self, target: str, slowness: float, failures: int) -> None:
        with self._lock:
            known = self._totals.get(target, (0, 0, 0))
            self._totals[target] = (
                known[0] + 1,
                known[1] + slowness,
                known[2] + failures,
            )
        if failures or slowness >= _SLOW_RATIO:
            self._anomalies += 1
            if self._on_trouble is not None and self.is_report_due:
                self._on_trouble()
