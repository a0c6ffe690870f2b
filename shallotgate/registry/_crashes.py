"""Detects request contents that crash targets; runs on the leader."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

# Crashed targets and requests from which on a content is refused. More than one
# request is required, as the targets of a single one may crash together for
# another reason.
_MIN_TARGETS = 3
_MIN_REQUESTS = 2
# Time for which a content is refused at first, and after each further request
# that reached targets. After the last of these no request is let through.
_HOLDS_S = (15.0, 60.0, 240.0)
_FINAL_HOLD_S = 3600.0
# Time in which a trial has to end: more than the longest request takes.
_TRIAL_S = 10.0
# Crashes reported until then after a refusal come from requests before it.
_SETTLE_S = 4.0
# Crash records expire after this time; targets restart within seconds.
_RETENTION_S = 600.0


@dataclass(frozen=True)
class ContentBar:
    """Refusal of a content."""

    digest: str
    # Seconds for which it is refused.
    hold_s: float
    # Requests with it that have reached targets since it was first refused.
    trials: int


@dataclass
class _CrashRecord:
    targets: set[str] = field(default_factory=set)
    requests: int = 0
    trials: int = 0
    # Whether a trial was granted since the newest report.
    is_on_trial: bool = False
    # Monotonic times: begin and end of the newest refusal, newest report.
    refused_at: float = float('-inf')
    refused_until: float = float('-inf')
    reported_at: float = 0

    @property
    def is_refused(self) -> bool:
        """Whether requests need the leader's permission."""
        return self.refused_until > float('-inf')

    @property
    def retention_s(self) -> float:
        """Time for which it is kept after the newest report."""
        return _FINAL_HOLD_S if self.is_refused else _RETENTION_S

    def refuse(self, now: float) -> float:
        """Begin a refusal; return its seconds."""
        is_final = self.trials >= len(_HOLDS_S)
        hold_s = _FINAL_HOLD_S if is_final else _HOLDS_S[self.trials]
        self.refused_at = now
        self.refused_until = now + hold_s
        return hold_s


class CrashTracker:
    """Counts crashed targets by content digest and grants trials.

    A content that crashed enough targets is refused at all entries. After that
    one request at a time may try it, three at most. Thread-safe; ``now`` is in
    monotonic seconds.

    >>> tracker = CrashTracker()
    >>> tracker.record_crash('d', ['t1', 't2'], now=0)
    0
    >>> tracker.record_crash('d', ['t3'], now=1)
    15.0
    >>> tracker.request_trial('d', trials=0, now=20)
    0
    >>> tracker.request_trial('d', trials=0, now=21)
    9.0
    >>> tracker.record_crash('d', ['t1'], now=22)
    60.0
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, _CrashRecord] = {}

    def record_crash(
        self, digest: str, targets: Sequence[str], now: float
    ) -> float:
        """Record a crash report; return how long to refuse the content.

        In seconds, 0 to accept it; ``now`` is in monotonic seconds.
        """
        with self._lock:
            self._evict(now)
            record = self._records.setdefault(digest, _CrashRecord())
            record.targets.update(targets)
            record.requests += 1
            record.reported_at = now
            has_few = (
                len(record.targets) < _MIN_TARGETS
                or record.requests < _MIN_REQUESTS
            )
            if has_few and not record.is_refused:
                return 0
            has_settled = now > record.refused_at + _SETTLE_S
            if record.is_refused and has_settled and not record.is_on_trial:
                # An entry that did not know of the refusal let it through.
                record.trials += 1
            record.is_on_trial = False
            return record.refuse(now)

    def request_trial(self, digest: str, trials: int, now: float) -> float:
        """Return 0 if a request may try a content, else seconds to refuse it.

        ``trials`` is their number as the entry was told, perhaps by a former
        leader.
        """
        with self._lock:
            record = self._records.setdefault(digest, _CrashRecord())
            record.reported_at = now
            record.trials = max(record.trials, trials)
            if now < record.refused_until:
                return record.refused_until - now
            if record.trials >= len(_HOLDS_S):
                return record.refuse(now)
            record.trials += 1
            record.is_on_trial = True
            record.refused_at = now
            record.refused_until = now + _TRIAL_S
            return 0

    def record_survival(self, digest: str) -> bool:
        """Accept a content; return whether it was refused or suspected."""
        with self._lock:
            return self._records.pop(digest, None) is not None

    def list_bars(self, now: float, since: float) -> list[ContentBar]:
        """Return the refusals that began at a time or later."""
        with self._lock:
            return [
                ContentBar(digest, record.refused_until - now, record.trials)
                for digest, record in self._records.items()
                if record.is_refused and record.refused_at >= since
            ]

    def get_bar(self, digest: str, now: float) -> ContentBar:
        """Return the refusal of a content."""
        with self._lock:
            record = self._records.get(digest, _CrashRecord())
            return ContentBar(
                digest, max(record.refused_until - now, 0), record.trials
            )

    def _evict(self, now: float) -> None:
        for digest, record in list(self._records.items()):
            if now - record.reported_at > record.retention_s:
                self._records.pop(digest)
