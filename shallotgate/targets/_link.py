"""Connections to one target, and whether it was lost."""

import threading
import time

from shallotgate.errors import TargetError
from shallotgate.generated.messages import Attempt, Learnt
from shallotgate.logs import get_logger
from shallotgate.targets._connector import (
    TargetConnection,
    TargetConnector,
    TargetReport,
)
from shallotgate.targets._core import TargetCore
from shallotgate.targets._suspects import SuspectLedger
from shallotgate.targets._work import Work

_LOGGER = get_logger('targets')
_CONNECT_TIMEOUT_S = 1.0
# A reply this recent outweighs a connection that can't be opened.
_REPLY_TRUST_S = 1.0
# A connection that broke counts as a lost target if the target turns out to
# have restarted within this time.
_BROKEN_MEMORY_S = 5.0


class TargetLink:
    """Opens connections one at a time and finds out about restarts."""

    def __init__(
        self,
        core: TargetCore,
        ready: threading.Condition,
        connector: TargetConnector,
        suspects: SuspectLedger,
        learnt: Learnt | None,
    ) -> None:
        self._core = core
        # Condition of the pool, on which its workers wait.
        self._ready = ready
        self._connector = connector
        self._suspects = suspects
        self._learnt = learnt
        self._connect_lock = threading.Lock()
        # Time of attempts whose connection broke while the target seemed to
        # live on, and the attempts.
        self._broken: list[tuple[float, Attempt]] = []

    def connect(self) -> TargetConnection | None:
        """Open a connection; None if the target can't be reached."""
        with self._connect_lock:
            return self._connect(time.monotonic() - _REPLY_TRUST_S)

    def see_report(self, report: TargetReport) -> None:
        """Take a report that was polled or read on connecting."""
        with self._ready:
            former = self._core.seen.start_id
            restarted = self._core.seen.see_report(report, time.monotonic())
            self._core.is_lost = False
            self._adopt_learnt(report.start_id)
            if restarted:
                self._start_over()
        if restarted:
            self._report_broken(former)

    def see_reply(self, report: TargetReport, former: str) -> None:
        """Take the report inside a reply to an attempt of a former start."""
        with self._ready:
            restarted = self._core.seen.see_reply(report, time.monotonic())
            if restarted:
                self._start_over()
        if restarted:
            self._report_broken(former)

    def confirm_loss(self, work: Work) -> bool:
        """Return whether the target was lost, after a connection broke.

        It was if it can't be reached or has another start id. All attempts
        in flight on it are then suspects.
        """
        broke_at = time.monotonic()
        with self._connect_lock:
            lost = self._core.is_lost or not self._reach(work, broke_at)
        with self._ready:
            attempts = [
                other.attempt
                for other in self._core.running
                if other.start_id == work.start_id and not other.attempt.trial
            ]
        if lost:
            self._suspects.report(
                self._core.target,
                work.start_id,
                attempts,
            )
        elif not work.attempt.trial:
            self._broken.append((broke_at, work.attempt))
        return lost

    def judge(self, trial: Work, lost: bool) -> None:
        """Report the end of a trial."""
        self._suspects.judge(self._core.target.name, trial.attempt, lost)

    def _connect(self, trusted_since: float) -> TargetConnection | None:
        try:
            connection = self._connector.connect(
                self._core.target,
                _CONNECT_TIMEOUT_S,
            )
        except TargetError as error:
            self._note_unreachable(error, trusted_since)
            return None
        self.see_report(connection.report)
        return connection

    def _reach(self, work: Work, broke_at: float) -> bool:
        """Return whether the start that the attempt ran on still lives."""
        if self._core.seen.start_id == work.start_id:
            connection = self._connect(broke_at)
            if connection is None:
                return self._core.seen.reply_at >= broke_at
            connection.close()
        return self._core.seen.start_id == work.start_id

    def _note_unreachable(
        self,
        error: TargetError,
        trusted_since: float,
    ) -> None:
        """Mark the target as lost unless it has replied since a time."""
        target = self._core.target
        with self._ready:
            if self._core.seen.reply_at >= trusted_since:
                return
            if not self._core.is_lost:
                _LOGGER.warning(
                    'Target %s at %s unreachable: %s.',
                    target.name,
                    target.address,
                    error,
                    extra={'target': target.name},
                )
            self._core.is_lost = True
            # Workers refuse what is queued.
            self._ready.notify_all()

    def _adopt_learnt(self, start_id: str) -> None:
        learnt = self._learnt
        self._learnt = None
        if learnt is not None and learnt.target_start_id == start_id:
            self._core.limiter.adopt(learnt.limit, learnt.normal_ms)

    def _start_over(self) -> None:
        _LOGGER.info(
            'Target restarted.',
            extra={'target': self._core.target.name},
        )
        self._core.limiter.turn_cold()
        # Connections to the former start are closed.
        self._ready.notify_all()

    def _report_broken(self, start_id: str) -> None:
        since = time.monotonic() - _BROKEN_MEMORY_S
        attempts = [attempt for at, attempt in self._broken if at > since]
        self._broken.clear()
        if attempts:
            self._suspects.report(self._core.target, start_id, attempts)
