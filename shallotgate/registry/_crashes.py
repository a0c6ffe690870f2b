"""Detects request contents that crash targets; runs on the leader."""

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import TransportError
from shallotgate.generated.messages import BarContent, CrashReport
from shallotgate.logs import get_logger
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('crashes')
# Crashed targets and requests from which on a content is refused. More than one
# request is required, as the targets of a single one may crash together for
# another reason.
_MIN_TARGETS = 3
_MIN_REQUESTS = 2
# Time for which a content is refused. Doubles on each further crash, so that
# few retries reach targets.
_INITIAL_HOLD_S = 15.0
_MAX_HOLD_S = 240.0
# Crash records expire after this time; targets restart within seconds.
_RETENTION_S = 600.0
_MS_PER_S = 1000


@dataclass
class _CrashRecord:
    targets: set[str] = field(default_factory=set)
    requests: int = 0
    hold_s: float = _INITIAL_HOLD_S
    # Monotonic time of the newest report.
    reported_at: float = 0


class CrashTracker:
    """Counts crashed targets by content digest. Thread-safe.

    >>> tracker = CrashTracker()
    >>> tracker.record_crash('d', ['t1', 't2'], now=0)
    0
    >>> tracker.record_crash('d', ['t3'], now=1)
    15.0
    >>> tracker.record_crash('d', ['t1'], now=20)
    30.0
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
            for other_digest, other in list(self._records.items()):
                if now - other.reported_at > _RETENTION_S:
                    self._records.pop(other_digest)
            record = self._records.setdefault(digest, _CrashRecord())
            record.targets.update(targets)
            record.requests += 1
            record.reported_at = now
            if (
                len(record.targets) < _MIN_TARGETS
                or record.requests < _MIN_REQUESTS
            ):
                return 0
            hold_s = record.hold_s
            record.hold_s = min(hold_s * 2, _MAX_HOLD_S)
            return hold_s


class CrashService:
    """Receives crash reports and broadcasts refusals to all entries."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        list_entries: Callable[[], Sequence[str]],
    ) -> None:
        """Subscribe to the mailbox, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._list_entries = list_entries
        self._tracker = CrashTracker()
        mailbox.subscribe(CrashReport, self._on_report)

    def _on_report(self, delivery: Delivery) -> None:
        report: CrashReport = delivery.message
        if not self._log.is_leading():
            return
        hold_s = self._tracker.record_crash(
            report.digest,
            report.targets,
            time.monotonic(),
        )
        _LOGGER.info(
            'Content crashed targets.',
            extra={
                'digest': report.digest,
                'entry': delivery.sender,
                'targets': list(report.targets),
                'hold_s': hold_s,
            },
        )
        if hold_s:
            hold_ms = int(hold_s * _MS_PER_S)
            self._broadcast(BarContent(digest=report.digest, hold_ms=hold_ms))

    def _broadcast(self, block: BarContent) -> None:
        for entry in self._list_entries():
            try:
                self._mailbox.send(entry, block)
            except TransportError as error:
                _LOGGER.info('Refusal was not sent to an entry: %s.', error)
