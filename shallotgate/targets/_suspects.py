"""Digests that may have crashed a target, and their reports."""

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
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 2.0
# A report is given up after this time; the digest stays suspect here.
_GIVE_UP_S = 60.0
# A committed suspect is in every view within 4 s, so the local note is not
# needed any longer.
_COMMITTED_S = 10.0
_JUDGED_TRIALS = 1000


@dataclass
class _Note:
    # Target that was lost.
    target: str
    # Monotonic time in seconds at which the note is dropped.
    expires: float


class SuspectLedger:
    """Knows suspects at once and commits reports on a thread of its own."""

    def __init__(self, commands: CommandPort) -> None:
        self._commands = commands
        self._notes: dict[str, _Note] = {}
        # Trials that have run here; none runs twice.
        self._judged: deque[str] = deque(maxlen=_JUDGED_TRIALS)
        self._lock = threading.Lock()
        self._pending: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='suspects',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Try what is pending once more, then end the thread."""
        self._stopped.set()
        self._pending.put(None)
        self._thread.join(timeout=_PROPOSE_TIMEOUT_S * 2)

    def is_suspect(self, digest: str) -> bool:
        """Return whether this instance saw a target lost with a digest."""
        note = self._notes.get(digest)
        return note is not None and time.monotonic() < note.expires

    def has_judged(self, trial: str) -> bool:
        """Return whether a trial has run here."""
        return trial in self._judged

    def report(
        self,
        target: Target,
        start_id: str,
        attempts: Sequence[Attempt],
    ) -> None:
        """Make digests suspects at once and commit a report of them.

        ``attempts`` are those in flight when the target was lost.
        """
        expires = time.monotonic() + _GIVE_UP_S
        digests = {attempt.digest for attempt in attempts}
        unproven = {
            attempt.digest for attempt in attempts if not attempt.proven
        }
        with self._lock:
            fresh = sorted(
                digest
                for digest in digests
                if digest not in self._notes
                or self._notes[digest].target != target.name
            )
            for digest in fresh:
                self._notes[digest] = _Note(target.name, expires)
        if fresh:
            _LOGGER.warning(
                'Target lost with attempts in flight.',
                extra={'target': target.name, 'digests': fresh},
            )
            self._pending.put(
                ReportSuspects(
                    target=target.name,
                    target_start_id=start_id,
                    digests=fresh,
                    proven=[one for one in fresh if one not in unproven],
                    domain=target.domain,
                    time=0,
                ),
            )

    def judge(self, target: str, trial: Attempt, lost: bool) -> None:
        """Commit the end of a trial; its digest is suspect if it is lost."""
        self._judged.append(trial.trial)
        if lost:
            expires = time.monotonic() + _GIVE_UP_S
            with self._lock:
                self._notes[trial.digest] = _Note(target, expires)
        self._pending.put(
            JudgeTrial(
                digest=trial.digest,
                holder=trial.trial,
                lost=lost,
                time=0,
            ),
        )

    def follow(self, view: View) -> None:
        """Drop notes that the view takes over."""
        now = time.monotonic()
        with self._lock:
            for digest, note in tuple(self._notes.items()):
                judgement = view.quarantine.get(digest)
                is_shared = (
                    judgement is not None and note.target in judgement.targets
                )
                if is_shared or now >= note.expires:
                    self._notes.pop(digest)

    def _run(self) -> None:
        while True:
            command = self._pending.get()
            if command is None:
                return
            self._commit(command)

    def _commit(self, command: object) -> None:
        give_up_at = time.monotonic() + _GIVE_UP_S
        pause_s = _FIRST_RETRY_S
        while time.monotonic() < give_up_at:
            try:
                self._commands.propose(command, _PROPOSE_TIMEOUT_S)
            except ShallotgateError as error:
                _LOGGER.info('Report not committed yet: %s.', error)
            else:
                self._note_committed(command)
                return
            if self._stopped.wait(pause_s):
                break
            pause_s = min(pause_s * 2, _LONGEST_RETRY_S)
        _LOGGER.error('Report given up.', extra={'command': repr(command)})

    def _note_committed(self, command: object) -> None:
        expires = time.monotonic() + _COMMITTED_S
        with self._lock:
            if isinstance(command, JudgeTrial) and not command.lost:
                self._notes.pop(command.digest, None)
            if isinstance(command, ReportSuspects):
                known = self._notes.keys() & set(command.digests)
                for digest in known:
                    self._notes[digest].expires = expires
