"""What the leader does by itself: owners of targets and time."""

import threading
import time

from shallotgate.control._log import ReplicatedLog
from shallotgate.control._owners import OwnerPlanner, check_grant
from shallotgate.control._proposals import Proposer
from shallotgate.control._sessions import SessionTable
from shallotgate.errors import ConsensusError
from shallotgate.generated.messages import (
    AdvanceTime,
    GrantOwners,
    MoveOwners,
)
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics
from shallotgate.state import TierState

_LOGGER = get_logger('control')
_STEP_S = 0.5
_ADVANCE_S = 60.0
_COMMIT_S = 2.0
_BARRIER_S = 1.0
_PAUSE_S = 0.1
# Between steps while the planner has work left; its slices then take less than
# a third of a core.
_BUSY_PAUSE_S = 0.05


class LeaderDuties:
    """Runs on a thread of its own, because it waits for commits.

    A leader is active from the moment when everything that was committed
    before its election is applied: only then do its versions name all
    accepted changes.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        state: TierState,
        sessions: SessionTable,
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._state = state
        self._sessions = sessions
        self._metrics = metrics
        self._proposer = Proposer(log, state)
        self._planner = OwnerPlanner()
        self._changed = threading.Condition()
        self._is_elected = False
        self._is_active = False
        # Counts elections, so that a barrier of an earlier one is discarded.
        self._election = 0
        self._is_stopped = False
        # Whether the planner has work left for the next step.
        self._has_more_work = False
        self._advance_at = float('-inf')
        self._thread = threading.Thread(
            target=self._run,
            name='control-duties',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify()
        self._thread.join(timeout=_COMMIT_S + 1)

    def change_leadership(self, is_leading: bool) -> None:
        """Begin or end a time of leadership; called by the log."""
        with self._changed:
            self._is_active = False
            self._is_elected = is_leading
            self._election += 1
            # No heartbeat is granted before this: is_active is false.
            self._sessions.reset(time.monotonic())
            self._changed.notify()
        _LOGGER.info('Leadership %s.', 'gained' if is_leading else 'lost')

    def is_active(self) -> bool:
        """Return whether this member may answer as the leader now.

        Whatever was read from the applied state before this returned true
        was up to date when it was read.
        """
        return self._is_active and self._log.is_leading()

    def get_leader(self) -> str:
        """Return the known leader, or an empty text."""
        return self._log.leader or ''

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                self._step()
            except ConsensusError as error:
                _LOGGER.info('A step of the leader failed: %s.', error)
            except Exception:
                _LOGGER.exception('A step of the leader failed.')
            with self._changed:
                if not self._is_stopped and not self._is_newly_elected():
                    self._changed.wait(
                        _BUSY_PAUSE_S if self._has_more_work else _STEP_S,
                    )

    def _is_newly_elected(self) -> bool:
        return self._is_elected and not self._is_active

    def _step(self) -> None:
        self._has_more_work = False
        if self._is_newly_elected():
            self._activate()
        if self.is_active():
            self._advance_time()
            self._assign()

    def _activate(self) -> None:
        election = self._election
        try:
            self._log.read_barrier(_BARRIER_S)
        except ConsensusError:
            # Without a pause the loop would try again at once.
            time.sleep(_PAUSE_S)
            raise
        with self._changed:
            if election == self._election:
                self._planner = OwnerPlanner()
                self._is_active = self._is_elected
                self._advance_at = float('-inf')

    def _advance_time(self) -> None:
        now = time.monotonic()
        if now >= self._advance_at:
            self._advance_at = now + _ADVANCE_S
            self._proposer.propose(
                AdvanceTime(time=self._proposer.read_time()),
                _COMMIT_S,
            )

    def _assign(self) -> None:
        sessions = self._sessions.take_snapshot(time.monotonic())
        plan = self._planner.plan(self._state, sessions)
        self._has_more_work = plan.has_more_work
        grants = [
            grant
            for grant in plan.grants
            if check_grant(grant, plan.applied, sessions)
        ]
        if not self.is_active():
            return
        if grants:
            self._metrics.count('owner_grants_total', len(grants))
            self._proposer.propose(
                GrantOwners(grants=grants, time=self._proposer.read_time()),
                _COMMIT_S,
            )
        if plan.moves:
            self._metrics.count('owner_moves_total', len(plan.moves))
            self._proposer.propose(
                MoveOwners(moves=plan.moves, time=self._proposer.read_time()),
                _COMMIT_S,
            )
