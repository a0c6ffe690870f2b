"""Periodic tasks of the leader: target ownership and the time of the log."""

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
_STEP_PERIOD_S = 0.5
_ADVANCE_TIME_PERIOD_S = 60.0
_COMMIT_TIMEOUT_S = 2.0
_BARRIER_TIMEOUT_S = 1.0
_BARRIER_RETRY_DELAY_S = 0.1
# Period while the planner has work left; its time slices then take less than a
# third of a core.
_BUSY_STEP_PERIOD_S = 0.05


class LeaderDuties:
    """Runs the leader's periodic tasks on a thread that may block on commits.

    A leader becomes active once everything committed before its election is
    applied: only then do the versions that it reports include all accepted
    changes.
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
        self._wakeup = threading.Condition()
        self._is_elected = False
        self._is_active = False
        # Counts changes of leadership, so that the result of a read barrier
        # that was started before the last change is discarded.
        self._election_count = 0
        self._is_stopped = False
        # Whether the planner has work left for the next step.
        self._has_more_work = False
        self._next_advance_at = float('-inf')
        self._thread = threading.Thread(
            target=self._run,
            name='control-duties',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread that runs the tasks."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for a commit in progress."""
        with self._wakeup:
            self._is_stopped = True
            self._wakeup.notify()
        self._thread.join(timeout=_COMMIT_TIMEOUT_S + 1)

    def change_leadership(self, is_leading: bool) -> None:
        """Handle a gain or loss of leadership; called by the log."""
        with self._wakeup:
            self._is_active = False
            self._is_elected = is_leading
            self._election_count += 1
            # No lease is granted before this, as is_active returns false.
            self._sessions.reset(time.monotonic())
            self._wakeup.notify()
        _LOGGER.info('Leadership %s.', 'gained' if is_leading else 'lost')

    def is_active(self) -> bool:
        """Return whether this member may answer as the leader now.

        If it returns true, what was read from the applied state before the
        call was up to date at the time of the read.
        """
        return self._is_active and self._log.is_leading()

    def get_leader(self) -> str:
        """Return the name of the leader, or an empty string if unknown."""
        return self._log.leader or ''

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                self._step()
            except ConsensusError as error:
                _LOGGER.info('Leader tasks failed: %s.', error)
            except Exception:
                _LOGGER.exception('Leader tasks failed.')
            with self._wakeup:
                if not self._is_stopped and not self._is_newly_elected():
                    self._wakeup.wait(
                        _BUSY_STEP_PERIOD_S
                        if self._has_more_work
                        else _STEP_PERIOD_S,
                    )

    def _is_newly_elected(self) -> bool:
        return self._is_elected and not self._is_active

    def _step(self) -> None:
        self._has_more_work = False
        if self._is_newly_elected():
            self._activate()
        if self.is_active():
            self._advance_time()
            self._assign_owners()

    def _activate(self) -> None:
        election = self._election_count
        try:
            self._log.read_barrier(_BARRIER_TIMEOUT_S)
        except ConsensusError:
            # Without a delay the loop would retry at once and spin.
            time.sleep(_BARRIER_RETRY_DELAY_S)
            raise
        with self._wakeup:
            if election == self._election_count:
                self._planner = OwnerPlanner()
                self._is_active = self._is_elected
                self._next_advance_at = float('-inf')

    def _advance_time(self) -> None:
        now = time.monotonic()
        if now >= self._next_advance_at:
            self._next_advance_at = now + _ADVANCE_TIME_PERIOD_S
            self._proposer.propose(
                AdvanceTime(time=self._proposer.read_time()),
                _COMMIT_TIMEOUT_S,
            )

    def _assign_owners(self) -> None:
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
                _COMMIT_TIMEOUT_S,
            )
        if plan.moves:
            self._metrics.count('owner_moves_total', len(plan.moves))
            self._proposer.propose(
                MoveOwners(moves=plan.moves, time=self._proposer.read_time()),
                _COMMIT_TIMEOUT_S,
            )
