"""The targets that this instance owns."""

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
from shallotgate.targets._gate import Gate
from shallotgate.targets._pool import PoolParts, TargetPool
from shallotgate.targets._pools import Pools, TargetAssignment
from shallotgate.targets._suspects import SuspectLedger
from shallotgate.targets._work import OnReply, Outcome, Work
from shallotgate.targets._worker import poll_reports, serve_connection
from shallotgate.timers import Subscription, TimerService

_LOGGER = get_logger('targets')
_MS_PER_S = 1000
_SWEEP_PERIOD_S = 0.05
# Time beyond the longest attempt that connections may take to close.
_CLOSE_MARGIN_S = 3.0
_MAX_ATTEMPT_MS = 5000


class OwnedTargets:
    """Runs attempts on owned targets and follows the view of ownership.

    Each submitted attempt gets exactly one reply, on the thread that ends
    it. ``on_release`` is called once all connections to a target that is
    moved away are closed.

    ``entries`` is the number of entry instances among which policy
    ``limits: split`` divides the slots. ``max_attempt_ms`` bounds the time of
    each attempt, in milliseconds.
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
        self._suspects = SuspectLedger(commands)
        is_owned = policy.limits == 'owner'
        self._parts = PoolParts(
            connector=connector,
            gate=Gate(
                view,
                lease,
                self._suspects,
                (instance, start_id) if is_owned else None,
            ),
            suspects=self._suspects,
            deliver=self._deliver,
            start_worker=self._start_worker,
            cold_start=policy.cold_start,
        )
        self._pools = Pools()
        # Held while the pools are brought in line with the view.
        self._following = threading.Lock()
        # Attempts without a reply, by id.
        self._works: dict[str, tuple[TargetPool, Work]] = {}
        self._sweeping: Subscription | None = None

    def start(self) -> None:
        """Follow the view and open what is owned already."""
        self._suspects.start()
        self._view.subscribe(self._follow)
        self._sweeping = self._timers.call_every(_SWEEP_PERIOD_S, self._sweep)
        self._metrics.register_gauge(
            'owned_targets',
            lambda: len(self._pools.list_open()),
        )
        self._follow(self._view.current())

    def stop(self) -> None:
        """Finish what is in flight and close all connections."""
        self.release_all()
        longest_s = self._max_attempt_ms / _MS_PER_S + _CLOSE_MARGIN_S
        if not self._pools.wait_closed(longest_s):
            _LOGGER.error('Connections to targets did not close.')
        if self._sweeping is not None:
            self._sweeping.cancel()
        self._suspects.stop()

    def release_all(self) -> None:
        """Release all targets and open none again; does not wait."""
        self._pools.is_stopping = True
        self._follow(self._view.current())

    def submit(self, attempt: Attempt, on_reply: OnReply) -> None:
        """Run an attempt; never blocks. ``on_reply`` must be short."""
        now = time.monotonic()
        given_ms = min(attempt.time_left_ms, self._max_attempt_ms)
        work = Work(attempt, on_reply, now, now + given_ms / _MS_PER_S)
        pool = self._pools.get(attempt.target)
        if pool is None:
            work.claim()
            self._deliver(work, Outcome('not_run', 'not_owner'), None)
            return
        known = self._works.setdefault(attempt.attempt_id, (pool, work))
        # A second one under the same id must not run and has no reply.
        if check(
            known[1] is work,
            'attempt-submitted-once',
            attempt=attempt.attempt_id,
        ):
            pool.submit(work)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt if it has no reply yet."""
        known = self._works.get(attempt_id)
        if known is not None:
            known[0].cancel(known[1])

    def states(self) -> list[TargetState]:
        """Return the states of all owned targets."""
        return [_read_state(pool) for pool in self._pools.list_open()]

    def mark_leaving(self, names: Collection[str]) -> None:
        """Take over which targets leave, as the platform lists them."""
        self._pools.leaving = frozenset(names)
        for pool in self._pools.list_open():
            pool.core.is_leaving = pool.target.name in self._pools.leaving

    def _follow(self, _view: View) -> None:
        with self._following:
            # Read under the lock: several threads come here, and the last
            # one must act on the newest view.
            view = self._view.current()
            opened, closed = self._pools.change(
                self._pools.list_assignments(view, self._parts.gate.owner),
                self._make_pool,
            )
            _cool_taken_out(view, self._pools.list_open())
        self._suspects.follow(view)
        for pool in closed:
            pool.close()
        for pool in opened:
            threading.Thread(
                target=self._run_reports,
                args=(pool,),
                name=f'report-{pool.target.name}',
                daemon=True,
            ).start()

    def _make_pool(self, wanted: TargetAssignment) -> TargetPool:
        target = wanted.target
        slots = target.slots
        if self._policy.limits == 'split':
            slots = max(slots // self._entries, 1)
        pool = TargetPool(target, slots, wanted.learnt, self._parts)
        # The thread that polls reports; see _follow.
        pool.core.crew.threads = 1
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
            _LOGGER.exception('A connection thread failed.')
        finally:
            self._leave(pool, is_worker=True)

    def _run_reports(self, pool: TargetPool) -> None:
        try:
            poll_reports(pool)
        except Exception:
            _LOGGER.exception('A report thread failed.')
        finally:
            self._leave(pool, is_worker=False)

    def _leave(self, pool: TargetPool, *, is_worker: bool) -> None:
        if not pool.leave(is_worker):
            return
        # A target whose catalogue entry was edited is opened again at once and
        # stays owned: no release is reported for it.
        wanted = self._pools.list_assignments(
            self._view.current(),
            self._parts.gate.owner,
        )
        is_kept = pool.target.name in wanted
        if self._policy.limits == 'owner' and not is_kept:
            self._on_release(
                Release(
                    target=pool.target.name,
                    epoch=pool.core.epoch,
                    learnt=pool.core.make_learnt(),
                ),
            )
        self._pools.forget(pool)
        # The target may have been granted again meanwhile.
        self._follow(self._view.current())

    def _sweep(self) -> None:
        now = time.monotonic()
        for pool in self._pools.list_all():
            # Read without the lock: an idle pool costs nothing, and an
            # attempt added meanwhile is seen by the next sweep.
            if pool.core.running or len(pool.core.queue):
                pool.sweep(now)

    def _deliver(
        self,
        work: Work,
        outcome: Outcome,
        state: TargetState | None,
    ) -> None:
        attempt = work.attempt
        known = self._works.get(attempt.attempt_id)
        if known is not None and known[1] is work:
            self._works.pop(attempt.attempt_id)
        self._metrics.count(
            'owner_attempts_total',
            status=outcome.status,
            reason=outcome.reason,
        )
        try:
            work.on_reply(_make_reply(work, outcome, state))
        except Exception:
            _LOGGER.exception('A reply could not be handed over.')


def _cool_taken_out(view: View, pools: Iterable[TargetPool]) -> None:
    """Turn the targets of domains that were taken out cold.

    They get no work for an unknown time, so that they start again as cold
    ones when the domain returns.
    """
    for pool in pools:
        if view.is_taken_out(pool.target.domain):
            with pool.lock:
                pool.core.limiter.turn_cold()


def _read_state(pool: TargetPool) -> TargetState:
    with pool.lock:
        return pool.core.make_state()


def _make_reply(
    work: Work,
    outcome: Outcome,
    state: TargetState | None,
) -> AttemptReply:
    # An attempt that was never dispatched has waited until now.
    sent_at = work.dispatched_at or time.monotonic()
    queue_ms = (sent_at - work.arrived_at) * _MS_PER_S
    reply = outcome.reply
    if reply is None:
        return AttemptReply(
            attempt_id=work.attempt.attempt_id,
            status=outcome.status,
            reason=outcome.reason,
            service_ms=outcome.service_ms,
            queue_ms=queue_ms,
            state=state,
        )
    return AttemptReply(
        attempt_id=work.attempt.attempt_id,
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
