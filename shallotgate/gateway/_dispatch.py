"""Dispatches a request to one service, with retries and hedging."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from shallotgate.aio import Reply
from shallotgate.errors import TargetConnectError, TargetProtocolError
from shallotgate.extras import RetryBudget
from shallotgate.gateway._attempt import Attempt
from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Directory, Target
from shallotgate.gateway._latency import LatencyWindow
from shallotgate.gateway._retry_grants import RetryGrantSource
from shallotgate.gateway._target_chooser import Pace, TargetChooser
from shallotgate.gateway._wakeup import Wakeup
from shallotgate.gateway._warm_up import WarmUpLimiter
from shallotgate.gateway._wire import WireCodec

_MS_PER_S = 1000
# Maximum attempts of one request on one service, including those that never
# ran: failed connections and attempts that a target rejected.
_MAX_SENDS = 4
# The hedge delay is this quantile of recent replies, multiplied by the factor
# below.
_HEDGE_QUANTILE = 0.9
_HEDGE_FACTOR = 1.3
# Upper bound of the hedge delay, in medians of recent replies. If a tenth of
# the targets or more are slow, the quantile above is the duration of a slow
# reply.
_HEDGE_MEDIANS = 2.2
# A request suspected of crashing targets is held for this many medians: most
# targets that process it have answered by then.
_HOLD_MEDIANS = 2.0
# Concurrent requests that an entry may send to one target even if its share of
# the connection limit is smaller. Few entries need several at the same time,
# and connections beyond the first are closed immediately.
_MAX_CONCURRENT = 3
# Idle timeout, in seconds, of connections to a target in another failure domain
# when it accepts fewer connections than there are entries. Limits the number of
# connections when many entries fail over to one target, and still lets a
# connection serve several requests in a row.
_REMOTE_IDLE_TIMEOUT_S = 1.0
# The same for the last remaining target, in any failure domain.
_LAST_TARGET_IDLE_TIMEOUT_S = 0.5
# A hedge that ``may_hedge`` refuses is sent after this multiple of the hedge
# delay: any later, it would miss most objectives.
_FORCED_HEDGE_FACTOR = 2.0
# Minimum hedge delay in milliseconds: the resolution of timers.
_HEDGE_MIN_MS = 3.0


@dataclass(frozen=True)
class Outcome:
    """Result of a request on one service."""

    status: Literal['answered', 'failed', 'not_run', 'unknown']
    # Reply to forward: an answer, or a failure signed by the target.
    reply: Reply | None = None
    signature: bytes = b''


@dataclass(frozen=True, eq=False)
class DispatchContext:
    """Dependencies of the dispatches of one route to one service."""

    wire: WireCodec
    directory: Directory
    chooser: TargetChooser
    budget: RetryBudget
    # Grants extra attempts when the local budget is exhausted.
    retry_grants: RetryGrantSource
    # Durations of recent replies to the route.
    latency: LatencyWindow
    # Failure domain of this entry.
    domain: str
    # Maximum connections of this entry to one target.
    max_connections: int
    # Whether a target accepts fewer connections than there are entries.
    are_connections_scarce: bool
    warm_up: WarmUpLimiter
    on_event: Callable[[str], None]

    def has_room(self, target: Target, median_ms: float, now: float) -> bool:
        """Return whether the target may receive another request.

        Beyond this entry's share of the connections it may receive a few more,
        as long as the oldest attempt takes no longer than usual: a target that
        hangs gets none.
        """
        health = target.health
        if len(health.in_flight) < self.max_connections:
            return True
        is_waiting = health.get_stall_ms(now) > median_ms
        return len(health.in_flight) < _MAX_CONCURRENT and not is_waiting

    def get_idle_timeout_s(self, target: Target) -> float | None:
        """Return how long a connection is kept after use; None for no limit.

        If a target accepts fewer connections than there are entries, an entry
        keeps one without limit only if the target is in its own failure
        domain or if that domain has no target left. A last remaining target
        receives the requests of all entries, so its idle timeout is short.
        """
        if not self.are_connections_scarce:
            return None
        if target.pool.size > 1:
            # Others are open, so this one is closed.
            return 0
        now = time.monotonic()
        usable = [
            candidate
            for candidate in self.directory.list_usable(target.listed.service)
            if candidate.health.is_reachable(now)
        ]
        if len(usable) == 1:
            return _LAST_TARGET_IDLE_TIMEOUT_S
        if target.listed.domain == self.domain:
            return None
        is_domain_usable = any(
            candidate.listed.domain == self.domain for candidate in usable
        )
        return _REMOTE_IDLE_TIMEOUT_S if is_domain_usable else None


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
        # Completed attempts that are not processed yet.
        self._settled: list[asyncio.Future[Reply]] = []
        self._wakeup = Wakeup()
        self._tried: list[Target] = []
        self._sends = 0
        # Attempts that failed to connect, so that nothing was sent.
        self._unsent = 0
        # Whether a request for a grant is pending at the leader, and whether a
        # received grant is unused.
        self._is_grant_pending = False
        self._has_grant = False
        # Monotonic time until which the next attempt is held; 0 if it is not.
        self._held_until: float = 0
        # Attempts that ran or may have run.
        self._runs = 0
        self._failure: Reply | None = None
        self._hedge_at = float('inf')
        # Time from which a hedge is sent without asking ``may_hedge``.
        self._hedge_forced_at = float('inf')

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have started the request."""
        return self._runs > 0

    async def run(self) -> Outcome:
        """Return the first answer, or the reason why there is none."""
        self._try_send()
        try:
            while (
                self._live
                or self._is_grant_pending
                or self._has_grant
                or self._held_until
            ):
                outcome = await self._advance()
                if outcome is not None:
                    return outcome
        finally:
            for attempt in self._live.values():
                attempt.abandon()
        return self._conclude()

    async def _advance(self) -> Outcome | None:
        """Wait for the next event and handle it."""
        now = time.monotonic()
        is_due = self._has_grant and not self._held_until
        if not (self._settled or is_due):
            wake_at = min(self._hedge_at, self._call.deadline)
            await self._wakeup.wait(wake_at - now)
        done = bool(self._settled)
        outcome = self.process_settled()
        if outcome is not None:
            return outcome
        if time.monotonic() >= self._call.deadline:
            return self._conclude()
        if self._has_grant or self._held_until or (done and not self._live):
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
            self._hedge_at = now + _HEDGE_MIN_MS / _MS_PER_S
            return
        self._held_until = 0
        if is_suspicious:
            self._call.trace.add('suspected', service=self._service)
        else:
            self._try_send()
        # A grant that cannot be used now expires.
        self._has_grant = False

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
        """Send a hedge if the route and ``may_hedge`` allow it."""
        now = time.monotonic()
        is_repeatable = self._call.route.is_repeatable
        if (
            is_repeatable
            and now < self._hedge_forced_at
            and not self._may_hedge()
        ):
            # Check again after a short delay.
            self._hedge_at = now + _HEDGE_MIN_MS / _MS_PER_S
            return
        self._hedge_at = float('inf')
        if is_repeatable:
            self._try_send()

    def _try_send(self) -> bool:
        """Start another attempt if target, budget and route allow it."""
        route = self._call.route
        limit = route.max_attempts if route.is_repeatable else 1
        if self._runs >= limit or self._sends >= _MAX_SENDS:
            return False
        target = self._choose()
        if target is None:
            self._call.trace.add('no_target', service=self._service)
            return False
        # Only attempts after one that reached a target count as extra load.
        is_extra = self._sends > self._unsent
        if is_extra and not self._acquire_extra():
            return False
        self._send(target)
        return True

    def _acquire_extra(self) -> bool:
        """Acquire an extra attempt from the budget or from the leader.

        Without a local budget a grant is requested, and the result arrives
        later.
        """
        context = self._context
        if self._has_grant:
            return True
        if context.budget.try_spend(time.monotonic()):
            return True
        if not self._is_grant_pending:
            self._is_grant_pending = True
            self._call.trace.add('asked_for_extra', service=self._service)
            context.retry_grants.request(
                self._service, self._handle_grant_result
            )
        return False

    def _handle_grant_result(self, is_granted: bool) -> None:
        """Handle the result of a request for a grant."""
        self._is_grant_pending = False
        self._has_grant = is_granted
        if not is_granted:
            self._call.trace.add('no_budget', service=self._service)
        self._context.on_event('extra_lent' if is_granted else 'extra_denied')
        self._wakeup.wake()

    def _choose(self) -> Target | None:
        context = self._context
        now = time.monotonic()
        median_ms = context.latency.quantile(0.5)
        usable = [
            target
            for target in context.directory.list_usable(self._service)
            if context.has_room(target, median_ms, now)
            and context.warm_up.allows(target, now)
        ]
        return context.chooser.choose(
            usable,
            self._tried,
            Pace(median_ms, self._call.route.objective_ms),
            now,
        )

    def _send(self, target: Target) -> None:
        context = self._context
        now = time.monotonic()
        queue = target.health.estimate_queue(now)
        attempt = Attempt(
            context.wire,
            self._call,
            target,
            self._record_reply,
            context.get_idle_timeout_s,
        )
        context.warm_up.record_sent(target, now)
        self._live[attempt.future] = attempt
        attempt.future.add_done_callback(self._handle_settled)
        self._tried.append(target)
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
        latency = context.latency
        wait_ms = min(
            latency.quantile(_HEDGE_QUANTILE) * _HEDGE_FACTOR,
            latency.quantile(0.5) * _HEDGE_MEDIANS,
        )
        wait_ms = max(wait_ms, _HEDGE_MIN_MS)
        self._hedge_at = now + wait_ms / _MS_PER_S
        self._hedge_forced_at = now + wait_ms / _MS_PER_S * _FORCED_HEDGE_FACTOR

    def _record_reply(self, attempt: Attempt, duration_ms: float) -> None:
        latency = self._context.latency
        attempt.target.record_reply(duration_ms, latency.quantile(0.5))
        latency.add(duration_ms)

    def _process(self, future: 'asyncio.Future[Reply]') -> Outcome | None:
        """Process a completed attempt; return the outcome if it is final."""
        attempt = self._live.pop(future)
        target = attempt.target.listed.target
        error = future.exception()
        if error is not None:
            if isinstance(error, TargetConnectError):
                self._runs -= 1
                self._unsent += 1
            elif not isinstance(error, TargetProtocolError):
                # A target that sends anything has not crashed.
                self._call.crashes.lost.append(attempt.target)
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
        if self._live or (self._runs and self._failure is None):
            return Outcome('unknown')
        if self._failure is not None:
            return Outcome('failed', self._failure)
        return Outcome('not_run')
