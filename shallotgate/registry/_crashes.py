"""Detects request contents that crash targets; runs on the leader."""

import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from shallotgate.generated.messages import StoredContent

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
# Contents that are kept, to bound the replicated state. Few crash targets at a
# time.
_MAX_CONTENTS = 512
# Ids of reports that are kept of a content, to count none twice.
_MAX_REPORTS = 4


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
    # Ids of the newest reports.
    reports: tuple[str, ...] = ()
    # Unix time of the first refusal in seconds; 0 before.
    since_s: int = 0
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
        self.since_s = self.since_s or int(time.time())
        return hold_s

    def add_report(self, report: str) -> bool:
        """Note the id of a report; return whether it is a new one."""
        if report in self.reports:
            return False
        if report:
            self.reports = (*self.reports, report)[-_MAX_REPORTS:]
        return True


class CrashTracker:
    """Counts crashed targets by content digest and grants trials.

    A content that crashed enough targets is refused at all entries. After that
    one request at a time may try it, three at most. A later leader goes on with
    the counts; the time of a refusal begins anew with it, as the clocks of two
    processes can't be compared. Thread-safe; ``now`` is in monotonic seconds.

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
        # Contents that were dropped and are still stored.
        self._dropped: set[str] = set()

    def adopt(self, contents: Iterable[StoredContent], now: float) -> None:
        """Go on with what a former leader has stored."""
        records = {
            content.digest: _CrashRecord(
                targets=set(content.targets),
                requests=content.requests,
                trials=content.trials,
                reports=tuple(content.reports),
                since_s=content.since_s,
                reported_at=now,
            )
            for content in contents
        }
        for content in contents:
            if content.refused:
                records[content.digest].refuse(now)
        with self._lock:
            self._records = records
            self._dropped.clear()

    def make_stored(self, digest: str) -> StoredContent | None:
        """Return what to store of a content; None to forget it."""
        with self._lock:
            record = self._records.get(digest)
            if record is None:
                return None
            return StoredContent(
                digest=digest,
                # A refusal needs no more of them, and no later one either.
                targets=sorted(record.targets)[:_MIN_TARGETS],
                requests=record.requests,
                trials=record.trials,
                refused=record.is_refused,
                since_s=record.since_s,
                reports=record.reports,
            )

    def take_dropped(self) -> set[str]:
        """Return the contents dropped since the last call."""
        with self._lock:
            dropped = self._dropped
            self._dropped = set()
            return dropped - self._records.keys()

    def record_crash(
        self,
        digest: str,
        targets: Sequence[str],
        now: float,
        report: str = '',
    ) -> float:
        """Record a crash report; return how long to refuse the content.

        In seconds, 0 to accept it; ``now`` is in monotonic seconds. A report
        with the same id counts once.
        """
        with self._lock:
            self._evict(now)
            record = self._records.setdefault(digest, _CrashRecord())
            if not record.add_report(report):
                return max(record.refused_until - now, 0)
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

    def list_bars(self, now: float) -> list[ContentBar]:
        """Return all refusals, also those that a trial may end."""
        with self._lock:
            return [
                ContentBar(
                    digest, max(record.refused_until - now, 0), record.trials
                )
                for digest, record in self._records.items()
                if record.is_refused
            ]

    def get_bar(self, digest: str, now: float) -> ContentBar:
        """Return the refusal of a content."""
        with self._lock:
            record = self._records.get(digest, _CrashRecord())
            return ContentBar(
                digest, max(record.refused_until - now, 0), record.trials
            )

    def _evict(self, now: float) -> None:
        """Drop what has expired, and what there is no room for."""
        expired = [
            digest
            for digest, record in self._records.items()
            if now - record.reported_at > record.retention_s
        ]
        for digest in expired:
            self._drop(digest)
        if len(self._records) >= _MAX_CONTENTS:
            # What is refused and spent most trials is kept longest.
            self._drop(min(self._records, key=self._rate))

    def _rate(self, digest: str) -> tuple[bool, int, float]:
        record = self._records[digest]
        return record.is_refused, record.trials, record.reported_at

    def _drop(self, digest: str) -> None:
        self._records.pop(digest)
        self._dropped.add(digest)
