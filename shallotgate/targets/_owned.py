"""Targets that this instance owns."""

import threading
import time
from collections.abc import Callable, Collection, Iterable

from shallotgate.errors import Finding, SettingsError
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    Release,
    TargetState,
)
from shallotgate.generated.settings import Policy
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.membership import CommandPort, Lease, TierView, View
from shallotgate.metrics import Metrics
from shallotgate.targets._connector import TargetConnector
from shallotgate.targets._gate import DispatchGate
from shallotgate.targets._pool import PoolDependencies, TargetPool
from shallotgate.targets._pool_registry import PoolRegistry, TargetAssignment
from shallotgate.targets._suspects import SuspectTracker
from shallotgate.targets._task import AttemptTask, OnReply, Outcome
from shallotgate.targets._worker import poll_reports, serve_connection
from shallotgate.timers import Subscription, TimerService

_LOGGER = get_logger('targets')
_MS_PER_S = 1000
_SWEEP_PERIOD_S = 0.05
# Time allowed for closing connections, beyond the longest attempt.
_CLOSE_MARGIN_S = 3.0
_MAX_ATTEMPT_MS = 5000


class OwnedTargets:
    """Runs attempts on owned targets and follows changes of ownership.

    Each submitted attempt gets exactly one reply, on the thread that completes
    it. ``on_release`` is called once all connections to a target that moves to
    another owner are closed.

    ``entries`` is the number of entry instances among which policy ``limits:
    split`` divides the slots. ``max_attempt_ms`` is the upper bound for the
    duration of each attempt, in milliseconds.
    """

    def __init__(  # noqa: WPS211 - the composition root names each part
        self,
        view: TierView,
        lease: Lease,
        connector: TargetConnector,
        commands: CommandPort,
        timers: TimerService,
        metrics: Metrics,
        policy: Policy,
        instance: str,
        start_id: str,
        on_release: Callable[[Release], None],
        entries: int = 1,
        max_attempt_ms: int = _MAX_ATTEMPT_MS,
    ) -> None:
        if entries < 1:
            raise SettingsError(
                [Finding('entries', 'entries', 'must be at least 1')],
            )
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._policy = policy
        self._on_release = on_release
        self._entries = entries
        self._max_attempt_ms = max_attempt_ms
        self._suspects = SuspectTracker(commands)
        has_owners = policy.limits == 'owner'
        self._dependencies = PoolDependencies(
            connector=connector,
            gate=DispatchGate(
                view,
                lease,
                self._suspects,
                (instance, start_id) if has_owners else None,
            ),
            suspects=self._suspects,
            deliver=self._deliver,
            start_worker=self._start_worker,
            cold_start=policy.cold_start,
        )
        self._pools = PoolRegistry()
        # Held while the pools are reconciled with the view.
        self._reconcile_lock = threading.Lock()
        # Attempts without a reply, by id.
        self._tasks: dict[str, tuple[TargetPool, AttemptTask]] = {}
        self._sweep_timer: Subscription | None = None

    def start(self) -> None:
        """Subscribe to the view and open pools for the targets owned now."""
        self._suspects.start()
        self._view.subscribe(self._reconcile)
        self._sweep_timer = self._timers.call_every(
            _SWEEP_PERIOD_S, self._sweep
        )
        self._metrics.register_gauge(
            'owned_targets',
            lambda: len(self._pools.list_open()),
        )
        self._reconcile(self._view.current())

    def stop(self) -> None:
        """Finish the attempts in flight and close all connections."""
        self.release_all()
        timeout_s = self._max_attempt_ms / _MS_PER_S + _CLOSE_MARGIN_S
        if not self._pools.wait_closed(timeout_s):
            _LOGGER.error('Connections to targets did not close in time.')
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._suspects.stop()

    def release_all(self) -> None:
        """Release all targets and accept no others; does not block."""
        self._pools.is_stopping = True
        self._reconcile(self._view.current())

    def submit(self, attempt: Attempt, on_reply: OnReply) -> None:
        """Run an attempt; never blocks.

        ``on_reply`` is called on the thread that completes the attempt and
        must return quickly.
        """
        now = time.monotonic()
        allowed_ms = min(attempt.time_left_ms, self._max_attempt_ms)
        task = AttemptTask(attempt, on_reply, now, now + allowed_ms / _MS_PER_S)
        pool = self._pools.get(attempt.target)
        if pool is None:
            task.claim_reply()
            self._deliver(task, Outcome('not_run', 'not_owner'), None)
            return
        registered = self._tasks.setdefault(attempt.attempt_id, (pool, task))
        # A duplicate id must not run and gets no reply.
        if check(
            registered[1] is task,
            'attempt-submitted-once',
            attempt=attempt.attempt_id,
        ):
            pool.submit(task)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt unless it already has a reply."""
        registered = self._tasks.get(attempt_id)
        if registered is not None:
            registered[0].cancel(registered[1])

    def states(self) -> list[TargetState]:
        """Return the states of all owned targets."""
        return [_read_state(pool) for pool in self._pools.list_open()]

    def mark_leaving(self, names: Collection[str]) -> None:
        """Set the targets that the platform lists as leaving."""
        self._pools.leaving = frozenset(names)
        for pool in self._pools.list_open():
            pool.core.is_leaving = pool.target.name in self._pools.leaving

    def _reconcile(self, _view: View) -> None:
        with self._reconcile_lock:
            # Read under the lock: this method runs on several threads, and the
            # last one must apply the latest view.
            view = self._view.current()
            opened, closed = self._pools.reconcile(
                self._pools.list_assignments(
                    view, self._dependencies.gate.owner
                ),
                self._make_pool,
            )
            _reset_taken_out_targets(view, self._pools.list_open())
        self._suspects.apply_view(view)
        for pool in closed:
            pool.close()
        for pool in opened:
            threading.Thread(
                target=self._run_reports,
                args=(pool,),
                name=f'report-{pool.target.name}',
                daemon=True,
            ).start()

    def _make_pool(self, assignment: TargetAssignment) -> TargetPool:
        target = assignment.target
        slots = target.slots
        if self._policy.limits == 'split':
            slots = max(slots // self._entries, 1)
        pool = TargetPool(target, slots, assignment.learnt, self._dependencies)
        # Counts the thread that polls reports; it is started in _reconcile.
        pool.core.thread_counts.total = 1
        return pool

    def _start_worker(self, pool: TargetPool) -> None:
        threading.Thread(
            target=self._run_worker,
            args=(pool,),
            name=f'target-{pool.target.name}',
            daemon=True,
        ).start()

    def _run_worker(self, pool: TargetPool) -> None:
        try:
            serve_connection(pool)
        except Exception:
            _LOGGER.exception('Connection thread failed.')
        finally:
            self._handle_thread_exit(pool, is_worker=True)

    def _run_reports(self, pool: TargetPool) -> None:
        try:
            poll_reports(pool)
        except Exception:
            _LOGGER.exception('Report thread failed.')
        finally:
            self._handle_thread_exit(pool, is_worker=False)

    def _handle_thread_exit(self, pool: TargetPool, *, is_worker: bool) -> None:
        if not pool.remove_thread(is_worker):
            return
        # If the catalogue entry of a target was edited, its pool is reopened
        # at once and the ownership is kept, so no release is reported.
        assignments = self._pools.list_assignments(
            self._view.current(),
            self._dependencies.gate.owner,
        )
        is_kept = pool.target.name in assignments
        if self._policy.limits == 'owner' and not is_kept:
            self._on_release(
                Release(
                    target=pool.target.name,
                    epoch=pool.core.epoch,
                    learnt=pool.core.make_learnt(),
                ),
            )
        self._pools.remove(pool)
        # The target may have been granted again in the meantime.
        self._reconcile(self._view.current())

    def _sweep(self) -> None:
        now = time.monotonic()
        for pool in self._pools.list_all():
            # Read without the lock to skip idle pools cheaply. An attempt that
            # is queued concurrently is covered by the next sweep.
            if pool.core.running or len(pool.core.queue):
                pool.sweep(now)

    def _deliver(
        self,
        task: AttemptTask,
        outcome: Outcome,
        state: TargetState | None,
    ) -> None:
        attempt = task.attempt
        registered = self._tasks.get(attempt.attempt_id)
        if registered is not None and registered[1] is task:
            self._tasks.pop(attempt.attempt_id)
        self._metrics.count(
            'owner_attempts_total',
            status=outcome.status,
            reason=outcome.reason,
        )
        try:
            task.on_reply(_make_reply(task, outcome, state))
        except Exception:
            _LOGGER.exception('Reply callback failed.')


def _reset_taken_out_targets(view: View, pools: Iterable[TargetPool]) -> None:
    """Reset the limits of targets whose domain is out of service.

    These targets get no load for an unknown period, so they are cold when the
    domain returns to service.
    """
    for pool in pools:
        if view.is_taken_out(pool.target.domain):
            with pool.lock:
                pool.core.limiter.reset_to_cold()


def _read_state(pool: TargetPool) -> TargetState:
    with pool.lock:
        return pool.core.make_state()


def _make_reply(
    task: AttemptTask,
    outcome: Outcome,
    state: TargetState | None,
) -> AttemptReply:
    # An attempt that was never dispatched has been queued until now.
    sent_at = task.dispatched_at or time.monotonic()
    queue_ms = (sent_at - task.arrived_at) * _MS_PER_S
    reply = outcome.reply
    if reply is None:
        return AttemptReply(
            attempt_id=task.attempt.attempt_id,
            status=outcome.status,
            reason=outcome.reason,
            service_ms=outcome.service_ms,
            queue_ms=queue_ms,
            state=state,
        )
    return AttemptReply(
        attempt_id=task.attempt.attempt_id,
        status=outcome.status,
        reason=outcome.reason,
        index_version=reply.index_version,
        partition=reply.partition,
        matches=reply.matches if outcome.status == 'ok' else None,
        truncated=reply.truncated,
        covered=reply.covered,
        service_ms=outcome.service_ms,
        queue_ms=queue_ms,
        state=state,
    )
