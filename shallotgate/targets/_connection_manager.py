"""Connection management and loss detection for one target."""

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
from shallotgate.targets._suspects import SuspectTracker
from shallotgate.targets._task import AttemptTask

_LOGGER = get_logger('targets')
_CONNECT_TIMEOUT_S = 1.0
# A reply within this period overrides a failure to open a connection.
_REPLY_TRUST_S = 1.0
# A broken connection counts as loss of the target if a restart of the target
# is detected within this period.
_BROKEN_RETENTION_S = 5.0


class ConnectionManager:
    """Opens connections one at a time and detects restarts of the target."""

    def __init__(
        self,
        core: TargetCore,
        task_available: threading.Condition,
        connector: TargetConnector,
        suspects: SuspectTracker,
        learnt: Learnt | None,
    ) -> None:
        self._core = core
        # Condition of the pool on which its workers wait.
        self._task_available = task_available
        self._connector = connector
        self._suspects = suspects
        self._learnt = learnt
        self._connect_lock = threading.Lock()
        # Attempts whose connection broke while the target seemed to be
        # running, with the time of the failure.
        self._broken_attempts: list[tuple[float, Attempt]] = []

    def connect(self) -> TargetConnection | None:
        """Open a connection; returns None if the target is unreachable."""
        with self._connect_lock:
            return self._connect(time.monotonic() - _REPLY_TRUST_S)

    def observe_report(self, report: TargetReport) -> None:
        """Apply a report that was polled or read on connecting."""
        with self._task_available:
            former_start_id = self._core.observation.start_id
            restarted = self._core.observation.observe_report(
                report, time.monotonic()
            )
            self._core.is_unreachable = False
            self._restore_learnt(report.start_id)
            if restarted:
                self._handle_restart()
        if restarted:
            self._report_broken_attempts(former_start_id)

    def observe_reply(self, report: TargetReport, former_start_id: str) -> None:
        """Apply the report in a reply.

        ``former_start_id`` is the start id of the target when the attempt was
        dispatched.
        """
        with self._task_available:
            restarted = self._core.observation.observe_reply(
                report, time.monotonic()
            )
            if restarted:
                self._handle_restart()
        if restarted:
            self._report_broken_attempts(former_start_id)

    def confirm_loss(self, task: AttemptTask) -> bool:
        """Return whether a broken connection means that the target was lost.

        The target was lost if it is unreachable or has another start id. All
        attempts in flight on it become suspects in that case.
        """
        broke_at = time.monotonic()
        with self._connect_lock:
            lost = self._core.is_unreachable or not self._is_start_alive(
                task, broke_at
            )
        with self._task_available:
            attempts = [
                other.attempt
                for other in self._core.running
                if other.start_id == task.start_id and not other.attempt.trial
            ]
        if lost:
            self._suspects.report(
                self._core.target,
                task.start_id,
                attempts,
            )
        elif not task.attempt.trial:
            self._broken_attempts.append((broke_at, task.attempt))
        return lost

    def record_trial(self, trial: AttemptTask, lost: bool) -> None:
        """Record the result of a trial."""
        self._suspects.record_trial(self._core.target.name, trial.attempt, lost)

    def _connect(self, replied_since: float) -> TargetConnection | None:
        try:
            connection = self._connector.connect(
                self._core.target,
                _CONNECT_TIMEOUT_S,
            )
        except TargetError as error:
            self._mark_unreachable(error, replied_since)
            return None
        self.observe_report(connection.report)
        return connection

    def _is_start_alive(self, task: AttemptTask, broke_at: float) -> bool:
        """Return whether the start that the attempt ran on is still running."""
        if self._core.observation.start_id == task.start_id:
            connection = self._connect(broke_at)
            if connection is None:
                return self._core.observation.reply_at >= broke_at
            connection.close()
        return self._core.observation.start_id == task.start_id

    def _mark_unreachable(
        self,
        error: TargetError,
        replied_since: float,
    ) -> None:
        """Mark the target as unreachable unless it replied recently.

        ``replied_since`` is the earliest time of a reply that overrides the
        failure to connect.
        """
        target = self._core.target
        with self._task_available:
            if self._core.observation.reply_at >= replied_since:
                return
            if not self._core.is_unreachable:
                _LOGGER.warning(
                    'Target %s at %s unreachable: %s.',
                    target.name,
                    target.address,
                    error,
                    extra={'target': target.name},
                )
            self._core.is_unreachable = True
            # Wakes the workers, which refuse the queued attempts.
            self._task_available.notify_all()

    def _restore_learnt(self, start_id: str) -> None:
        learnt = self._learnt
        self._learnt = None
        if learnt is not None and learnt.target_start_id == start_id:
            self._core.limiter.restore(learnt.limit, learnt.normal_ms)

    def _handle_restart(self) -> None:
        _LOGGER.info(
            'Target restarted.',
            extra={'target': self._core.target.name},
        )
        self._core.limiter.reset_to_cold()
        # Wakes the workers, which close connections to the former start.
        self._task_available.notify_all()

    def _report_broken_attempts(self, start_id: str) -> None:
        since = time.monotonic() - _BROKEN_RETENTION_S
        attempts = [
            attempt for at, attempt in self._broken_attempts if at > since
        ]
        self._broken_attempts.clear()
        if attempts:
            self._suspects.report(self._core.target, start_id, attempts)
