"""Dispatches a request to one service, with retries and hedging."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Literal

from shallotgate.aio import Reply
from shallotgate.errors import TargetConnectError, TargetProtocolError
from shallotgate.gateway._attempt import Attempt
from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Target
from shallotgate.gateway._dispatch_contexts import DispatchContext
from shallotgate.gateway._extra_permit import ExtraPermit
from shallotgate.gateway._hedge_timing import HEDGE_MIN_MS, HedgeTiming
from shallotgate.gateway._send_permit import SendPermit
from shallotgate.gateway._target_selection import TargetSelection
from shallotgate.gateway._wakeup import Wakeup

_MS_PER_S = 1000
# Maximum attempts of one request on one service, including those that never
# ran: failed connections and attempts that a target rejected.
_MAX_SENDS = 4
# A request suspected of crashing targets is held for this many medians: most
# targets that process it have answered by then.
_HOLD_MEDIANS = 2.0
# A hedge that ``may_hedge`` refuses is sent after this multiple of the hedge
# delay: any later, it would miss most objectives.
_FORCED_HEDGE_FACTOR = 2.0
# A connection is waited for at least this multiple of the usual time to set one
# up, before the attempt is replaced.
_CONNECT_PATIENCE = 4.0


@dataclass(frozen=True)
class Outcome:
    """Result of a request on one service."""

    status: Literal['answered', 'failed', 'not_run', 'unknown']
    # Reply to forward: an answer, or a failure signed by the target.
    reply: Reply | None = None
    signature: bytes = b''


class Dispatch:
    """Runs one request on one service; ``run`` is called once."""

    def __init__(
        self,
        context: DispatchContext,
        call: Call,
        service: str,
        may_hedge: Callable[[], bool],
    ) -> None:
        """``may_hedge`` decides whether a hedge may be sent."""
        self._context = context
        self._may_hedge = may_hedge
        self._call = call
        self._service = service
        self._live: dict[asyncio.Future[Reply], Attempt] = {}
        self._timing = HedgeTiming(context, call)
        # Completed attempts that are not processed yet.
        self._settled: list[asyncio.Future[Reply]] = []
        self._wakeup = Wakeup()
        self._is_started = False
        self._sends = 0
        # Attempts that failed to connect, so that nothing was sent.
        self._unsent = 0
        self._extra = ExtraPermit(
            context, service, call.trace, self._wakeup.wake
        )
        self.selection = TargetSelection(
            context, call, service, self._wakeup.wake
        )
        self._has_answer = partial(
            _has_answer, self._extra, self.selection.permit
        )
        # Monotonic time until which the next attempt is held; 0 if it is not.
        self._held_until: float = 0
        # Attempts that ran or may have run.
        self._runs = 0
        self._failure: Reply | None = None
        # Whether an attempt was lost, which is repeated even at full targets.
        self._is_lost = False
        self._hedge_at = float('inf')
        # Time from which a hedge is sent without asking ``may_hedge``.
        self._hedge_forced_at = float('inf')

    @property
    def sent_count(self) -> int:
        """Number of attempts that ran or may have run."""
        waiting = [each for each in self._live.values() if not each.is_sent]
        return self._runs - len(waiting)

    def start(self) -> None:
        """Send the first attempt."""
        self._is_started = True
        self._try_send()

    async def run(self) -> Outcome:
        """Return the first answer, or the reason why there is none."""
        if not self._is_started:
            self.start()
        try:
            while self._is_open():
                outcome = await self._advance()
                if outcome is not None:
                    return outcome
        finally:
            self.abandon()
        return self._conclude()

    def _is_open(self) -> bool:
        """Whether anything may still lead to an answer."""
        is_asking = self._extra.is_pending or self.selection.permit.is_pending
        is_waiting = bool(self._live) or is_asking
        return is_waiting or self._has_answer() or bool(self._held_until)

    def abandon(self) -> None:
        """Give up the attempts in flight; those not sent yet never are."""
        for attempt in self._live.values():
            attempt.abandon()

    async def _advance(self) -> Outcome | None:
        """Wait for the next event and handle it."""
        now = time.monotonic()
        is_due = self._has_answer() and not self._held_until
        if not (self._settled or is_due):
            wake_at = min(self._hedge_at, self._call.deadline)
            await self._wakeup.wait(wake_at - now)
        done = bool(self._settled)
        outcome = self.process_settled()
        if outcome is not None:
            return outcome
        if time.monotonic() >= self._call.deadline:
            return self._conclude()
        is_next_due = self._has_answer() or self._held_until
        if is_next_due or (done and not self._live):
            self._send_next(time.monotonic())
        elif not done and time.monotonic() >= self._hedge_at:
            self._hedge()
        return None

    def _send_next(self, now: float) -> None:
        """Start the next attempt, unless the request is suspected.

        A request that lost several targets without any answer is held for a
        moment: targets that crash for another reason leave others that answer.
        """
        is_suspicious = self._call.crashes.is_suspicious
        if is_suspicious and self._held_until == 0:
            median_s = self._context.latency.quantile(0.5) / _MS_PER_S
            self._held_until = now + median_s * _HOLD_MEDIANS
        if is_suspicious and now < self._held_until:
            self._hedge_at = now + HEDGE_MIN_MS / _MS_PER_S
            return
        self._held_until = 0
        if is_suspicious:
            self._call.trace.add('suspected', service=self._service)
        else:
            self._try_send()
        self._extra.expire()
        self.selection.permit.is_settled = False

    def process_settled(self) -> Outcome | None:
        """Process the completed attempts; return the first answer.

        A fan-out calls this at its end for dispatches whose task has not run
        since.
        """
        settled = self._settled
        self._settled = []
        for future in settled:
            outcome = self._process(future)
            if outcome is not None:
                return outcome
        return None

    def _handle_settled(self, future: 'asyncio.Future[Reply]') -> None:
        self._settled.append(future)
        self._wakeup.wake()

    def _hedge(self) -> None:
        """Send a hedge if the route and ``may_hedge`` allow it.

        An attempt that still waits for its connection is replaced instead: it
        has not been sent, so the next one is no extra load.
        """
        now = time.monotonic()
        is_connecting = self._live and not self.sent_count
        is_replaceable = is_connecting and self._sends < _MAX_SENDS
        other = self.selection.find_replacement() if is_replaceable else None
        if other is not None:
            self._replace_unsent(other, now)
            return
        is_repeatable = self._call.route.is_repeatable
        if (
            is_repeatable
            and now < self._hedge_forced_at
            and not self._may_hedge()
        ):
            # Check again after a short delay.
            self._hedge_at = now + HEDGE_MIN_MS / _MS_PER_S
            return
        self._hedge_at = float('inf')
        if not is_repeatable:
            return
        wait_s = self._timing.get_wait_s(self.selection.find_replacement, now)
        if wait_s:
            self._hedge_at = now + wait_s
        else:
            self._try_send()

    def _replace_unsent(self, other: Target, now: float) -> None:
        """Replace the attempt that waits for a connection by another one.

        A connection that may still be set up in a normal time is waited for.
        If the attempt was an extra one, its permit serves the other.
        """
        for future, attempt in list(self._live.items()):
            connect_s = attempt.target.pool.acquire_ms / _MS_PER_S
            patient_until = attempt.started_at + connect_s * _CONNECT_PATIENCE
            if now < patient_until:
                self._hedge_at = patient_until
                return
            self._live.pop(future)
            self._timing.remove(attempt.target)
            future.remove_done_callback(self._handle_settled)
            attempt.stop_connecting()
            self._runs -= 1
            self._unsent += 1
            self._call.trace.add(
                'not_connected', target=attempt.target.listed.target
            )
        self._send(other)

    def _try_send(self) -> bool:
        """Start another attempt if target, budget and route allow it."""
        route = self._call.route
        limit = route.max_attempts if route.is_repeatable else 1
        if self._runs >= limit or self._sends >= _MAX_SENDS:
            return False
        # Only attempts after one that reached a target count as extra load.
        is_extra = self._sends > self._unsent
        target = self.selection.find(is_extra=is_extra)
        if target is None:
            return False
        if is_extra and not (
            self._is_lost or self._extra.is_worthwhile(route.objective_ms)
        ):
            return False
        if is_extra and not self._extra.acquire():
            self.selection.keep(target)
            return False
        self._send(target)
        return True

    def _send(self, chosen: Target) -> None:
        target = self.selection.claim(chosen)
        if target is None:
            return
        context = self._context
        now = time.monotonic()
        queue = target.health.estimate_queue(now)
        wait_s = self._timing.plan(target, now)
        attempt = Attempt(
            context.wire,
            self._call,
            target,
            context,
            context.get_idle_timeout_s,
            context.directory.record_statements,
        )
        context.warm_up.record_sent(target, now)
        context.directory.pacer.record_sent(target.listed)
        self._live[attempt.future] = attempt
        attempt.future.add_done_callback(self._handle_settled)
        self.selection.record_sent(target)
        self._sends += 1
        self._runs += 1
        self._call.trace.add(
            'sent' if self._sends == 1 else 'sent_again',
            service=self._service,
            target=target.listed.target,
            queue=queue,
            factor=target.health.estimate_condition(now)[0],
        )
        context.on_event('sent' if self._sends == 1 else 'sent_again')
        self._hedge_at = now + wait_s
        self._hedge_forced_at = now + wait_s * _FORCED_HEDGE_FACTOR

    def _process(self, future: 'asyncio.Future[Reply]') -> Outcome | None:
        """Process a completed attempt; return the outcome if it is final."""
        attempt = self._live.pop(future)
        self._timing.remove(attempt.target)
        target = attempt.target.listed.target
        error = future.exception()
        if error is not None:
            if isinstance(error, TargetConnectError):
                self._runs -= 1
                self._unsent += 1
            elif not isinstance(error, TargetProtocolError):
                # A target that sends anything has not crashed.
                self._call.crashes.lost.append(attempt.target)
                self._is_lost = True
            self._call.trace.add('lost', target=target, error=str(error))
            return None
        reply = future.result()
        metadata = attempt.read_metadata(reply)
        if metadata.is_misdirected:
            self._context.directory.remove_misdirected(attempt.target)
        if metadata.is_not_run:
            self._runs -= 1
            self._call.trace.add('not_run', target=target, status=reply.status)
            return None
        if reply.status < 300 and metadata.signature:
            self._call.crashes.is_survived = True
            return Outcome('answered', reply, metadata.signature)
        self._call.trace.add('failed', target=target, status=reply.status)
        if metadata.signature:
            self._call.crashes.is_survived = True
            self._failure = reply
        return None

    def _conclude(self) -> Outcome:
        is_open = any(attempt.is_sent for attempt in self._live.values())
        if is_open or (self.sent_count and self._failure is None):
            return Outcome('unknown')
        if self._failure is not None:
            return Outcome('failed', self._failure)
        return Outcome('not_run')


def _has_answer(extra: ExtraPermit, permit: SendPermit) -> bool:
    """Return whether an answer of the leader has not been looked at."""
    return extra.is_granted or permit.is_settled
