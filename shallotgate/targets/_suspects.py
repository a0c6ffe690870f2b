"""Tracking and reporting of digests that may have crashed a target."""

import queue
import threading
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from shallotgate.errors import ShallotgateError
from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt, JudgeTrial, ReportSuspects
from shallotgate.logs import get_logger
from shallotgate.membership import CommandPort, View

_LOGGER = get_logger('targets')
_PROPOSE_TIMEOUT_S = 2.0
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 2.0
# Time limit for committing a report; the digest stays a local suspect.
_COMMIT_TIMEOUT_S = 60.0
# A committed suspect reaches all views within 4 s, so the local record is
# dropped after this time.
_COMMITTED_TTL_S = 10.0
_MAX_FINISHED_TRIALS = 1000


@dataclass
class _LocalSuspect:
    # Target that was lost.
    target: str
    # Monotonic time at which the record is dropped.
    expires_at: float


class SuspectTracker:
    """Tracks suspects locally and commits reports in the background."""

    def __init__(self, commands: CommandPort) -> None:
        self._commands = commands
        self._local_suspects: dict[str, _LocalSuspect] = {}
        # Trials that have run on this instance; none runs twice.
        self._finished_trials: deque[str] = deque(maxlen=_MAX_FINISHED_TRIALS)
        self._lock = threading.Lock()
        self._pending: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='suspects',
            daemon=True,
        )

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Retry pending commands once, then stop the thread."""
        self._stopped.set()
        self._pending.put(None)
        self._thread.join(timeout=_PROPOSE_TIMEOUT_S * 2)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a digest was in flight when a target was lost."""
        suspect = self._local_suspects.get(digest)
        return suspect is not None and time.monotonic() < suspect.expires_at

    def has_finished_trial(self, trial: str) -> bool:
        """Return whether a trial has already run on this instance."""
        return trial in self._finished_trials

    def report(
        self,
        target: Target,
        start_id: str,
        attempts: Sequence[Attempt],
    ) -> None:
        """Mark digests as suspects locally and commit a report of them.

        ``attempts`` are those that were in flight when the target was lost.
        """
        expires_at = time.monotonic() + _COMMIT_TIMEOUT_S
        digests = {attempt.digest for attempt in attempts}
        unproven = {
            attempt.digest for attempt in attempts if not attempt.proven
        }
        with self._lock:
            new_digests = sorted(
                digest
                for digest in digests
                if digest not in self._local_suspects
                or self._local_suspects[digest].target != target.name
            )
            for digest in new_digests:
                self._local_suspects[digest] = _LocalSuspect(
                    target.name, expires_at
                )
        if new_digests:
            _LOGGER.warning(
                'Target lost with attempts in flight.',
                extra={'target': target.name, 'digests': new_digests},
            )
            self._pending.put(
                ReportSuspects(
                    target=target.name,
                    target_start_id=start_id,
                    digests=new_digests,
                    proven=[key for key in new_digests if key not in unproven],
                    domain=target.domain,
                    time=0,
                ),
            )

    def record_trial(self, target: str, trial: Attempt, lost: bool) -> None:
        """Commit the result of a trial.

        The digest becomes a local suspect if the target was lost.
        """
        self._finished_trials.append(trial.trial)
        if lost:
            expires_at = time.monotonic() + _COMMIT_TIMEOUT_S
            with self._lock:
                self._local_suspects[trial.digest] = _LocalSuspect(
                    target, expires_at
                )
        self._pending.put(
            JudgeTrial(
                digest=trial.digest,
                holder=trial.trial,
                lost=lost,
                time=0,
            ),
        )

    def return_trial(self, trial: Attempt) -> None:
        """Commit that a trial has not run, so that another may be granted.

        It is never run on this instance afterwards.
        """
        self._finished_trials.append(trial.trial)
        self._pending.put(
            JudgeTrial(
                digest=trial.digest,
                holder=trial.trial,
                lost=False,
                unused=True,
                time=0,
            ),
        )

    def apply_view(self, view: View) -> None:
        """Drop local suspects that the view contains."""
        now = time.monotonic()
        with self._lock:
            for digest, suspect in tuple(self._local_suspects.items()):
                judgement = view.quarantine.get(digest)
                is_shared = (
                    judgement is not None
                    and suspect.target in judgement.targets
                )
                if is_shared or now >= suspect.expires_at:
                    self._local_suspects.pop(digest)

    def _run(self) -> None:
        while True:
            command = self._pending.get()
            if command is None:
                return
            self._commit(command)

    def _commit(self, command: object) -> None:
        deadline = time.monotonic() + _COMMIT_TIMEOUT_S
        retry_delay_s = _MIN_RETRY_DELAY_S
        while time.monotonic() < deadline:
            try:
                self._commands.propose(command, _PROPOSE_TIMEOUT_S)
            except ShallotgateError as error:
                _LOGGER.info('Report not committed, retrying: %s.', error)
            else:
                self._handle_committed(command)
                return
            if self._stopped.wait(retry_delay_s):
                break
            retry_delay_s = min(retry_delay_s * 2, _MAX_RETRY_DELAY_S)
        _LOGGER.error(
            'Report dropped, not committed.',
            extra={'command': repr(command)},
        )

    def _handle_committed(self, command: object) -> None:
        expires_at = time.monotonic() + _COMMITTED_TTL_S
        with self._lock:
            if isinstance(command, JudgeTrial) and not (
                command.lost or command.unused
            ):
                self._local_suspects.pop(command.digest, None)
            if isinstance(command, ReportSuspects):
                known = self._local_suspects.keys() & set(command.digests)
                for digest in known:
                    self._local_suspects[digest].expires_at = expires_at
