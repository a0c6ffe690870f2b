"""Commits commands in the background after their query was answered."""

import threading
import time
from queue import SimpleQueue

from shallotgate.errors import ConsensusError, TransportError
from shallotgate.logs import get_logger
from shallotgate.membership import CommandPort

_LOGGER = get_logger('query')
# Longer than a leader election, so that no record is lost to a leader failure.
_COMMIT_TIMEOUT_S = 10.0
_RETRY_INTERVAL_S = 0.1
_Job = tuple[CommandPort, object, float]


class CommitRetrier:
    """Retries commands on a background thread until they are committed.

    If the outcome of a once-only request is not recorded, a resend is answered
    with ``unknown``. The record is therefore retried beyond the deadline of
    the query.
    """

    def __init__(self) -> None:
        self._jobs: SimpleQueue[_Job] = SimpleQueue()
        self._changed = threading.Condition()
        self._pending = 0
        self._thread: threading.Thread | None = None

    def submit(self, commands: CommandPort, command: object) -> None:
        """Queue a command for commit; it is abandoned after 10 s."""
        with self._changed:
            self._pending += 1
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run,
                    name='settler',
                    daemon=True,
                )
                self._thread.start()
        self._jobs.put(
            (commands, command, time.monotonic() + _COMMIT_TIMEOUT_S)
        )

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no command is pending; returns False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._pending, timeout_s)

    def _run(self) -> None:
        while True:
            job = self._jobs.get()
            try:
                self._commit(*job)
            except Exception:
                _LOGGER.exception('Committing a command failed unexpectedly.')
            with self._changed:
                self._pending -= 1
                self._changed.notify_all()

    def _commit(
        self,
        commands: CommandPort,
        command: object,
        give_up_at: float,
    ) -> None:
        # Tried at least once, even if the command was queued past its timeout.
        while True:
            remaining_s = max(give_up_at - time.monotonic(), _RETRY_INTERVAL_S)
            try:
                commands.propose(command, remaining_s)
            except (ConsensusError, TransportError) as error:
                if time.monotonic() >= give_up_at:
                    _LOGGER.warning('Command abandoned: %s.', error)
                    return
                time.sleep(_RETRY_INTERVAL_S)
            else:
                return
