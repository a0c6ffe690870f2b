"""Tells entries which content to refuse, as the leader."""

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
# Targets and requests of a content that make it refused. A single request may
# be on targets that crash for another reason at the same time.
_MIN_TARGETS = 3
_MIN_REQUESTS = 2
# Seconds for which a content is refused; doubled each time that it crashes a
# target again, so that few retries reach targets.
_HOLD_S = 15.0
_MAX_HOLD_S = 240.0
# Seconds after which crashes are forgotten: targets are back within some.
_MEMORY_S = 600.0
_MS_PER_S = 1000


@dataclass
class _Record:
    targets: set[str] = field(default_factory=set)
    requests: int = 0
    hold_s: float = _HOLD_S
    # Monotonic time of the newest report.
    seen_at: float = 0


class CrashTracker:
    """Counts crashed targets by content. Used from several threads.

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
        self._records: dict[str, _Record] = {}

    def record_crash(
        self, digest: str, targets: Sequence[str], now: float
    ) -> float:
        """Take up a report; return for how long to refuse the content.

        In seconds, 0 for not at all; ``now`` is in monotonic seconds.
        """
        with self._lock:
            for known, old in list(self._records.items()):
                if now - old.seen_at > _MEMORY_S:
                    self._records.pop(known)
            record = self._records.setdefault(digest, _Record())
            record.targets.update(targets)
            record.requests += 1
            record.seen_at = now
            if (
                len(record.targets) < _MIN_TARGETS
                or record.requests < _MIN_REQUESTS
            ):
                return 0
            hold_s = record.hold_s
            record.hold_s = min(hold_s * 2, _MAX_HOLD_S)
            return hold_s


class CrashService:
    """Takes the reports of entries and answers all of them."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        list_entries: Callable[[], Sequence[str]],
    ) -> None:
        """Construct it before the mailbox starts."""
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
            self._tell(BarContent(digest=report.digest, hold_ms=hold_ms))

    def _tell(self, bar: BarContent) -> None:
        for entry in self._list_entries():
            try:
                self._mailbox.send(entry, bar)
            except TransportError as error:
                _LOGGER.info('An entry was not told: %s.', error)
