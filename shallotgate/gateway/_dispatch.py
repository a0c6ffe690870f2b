"""Sends one request to one service, with a second attempt where it pays."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from shallotgate.aio import Reply
from shallotgate.errors import TargetConnectError
from shallotgate.extras import ExtraBudget
from shallotgate.gateway._attempt import Attempt
from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Directory, Target
from shallotgate.gateway._latency import RecentLatency
from shallotgate.gateway._retry_grants import ExtraLender
from shallotgate.gateway._target_chooser import TargetChooser
from shallotgate.gateway._wakeup import Wakeup
from shallotgate.gateway._warm_up import WarmUpGate
from shallotgate.gateway._wire import Wire

_MS_PER_S = 1000
# Attempts of one request on one service, those that never ran included.
_MAX_SENDS = 4
# A second attempt starts when the first has taken longer than this share of
# recent replies, times the factor.
_HEDGE_QUANTILE = 0.9
_HEDGE_FACTOR = 1.3
# It starts after this many medians at the latest: where a tenth of the targets
# or more are slow, the quantile above is the time of a slow one.
_HEDGE_MEDIANS = 2.2
# A suspected request is held for this many times the usual time of a reply:
# most targets that work on it have answered by then.
_HELD_MEDIANS = 2.0
# Requests that an entry has at a target at once in spite of a smaller part of
# its connections. Few entries have several at the same time, and the links
# beyond one are closed at once.
_MAX_AT_ONCE = 3
# Idle time after which a link is closed, in seconds, to a target that has no
# room for a link of each entry and is not the first choice of this one. The
# links of entries that all turn to one target stay few, and a link still
# serves several requests in a row.
_SPARE_LINK_S = 1.0
# The same for the only target that is left, whatever its domain.
_ONLY_LINK_S = 0.5
# If ``may_hedge`` says no, a second attempt starts after this multiple of the
# wait: later it would not be back before most objectives.
_HEDGE_PATIENCE = 2.0
# Least wait for a second attempt, in milliseconds: timers are no finer.
_HEDGE_MIN_MS = 3.0


@dataclass(frozen=True)
class Outcome:
    """What became of a request on one service."""

    status: Literal['answered', 'failed', 'not_run', 'unknown']
    # The reply to hand on: an answer, or a failure that the target signed.
    reply: Reply | None = None
    signature: bytes = b''


@dataclass(frozen=True, eq=False)
class ServicePorts:
    """What a dispatch needs of the entry, for one service."""

    wire: Wire
    directory: Directory
    chooser: TargetChooser
    budget: ExtraBudget
    # Lends extra attempts when the budget is spent.
    lender: ExtraLender
    # Recent replies to the route.
    latency: RecentLatency
    # Failure domain of this entry.
    domain: str
    # Links that this entry may have open to one target.
    max_links: int
    # Whether a target takes fewer links than there are entries.
    are_links_scarce: bool
    warm_up: WarmUpGate
    on_event: Callable[[str], None]

    def has_room(self, target: Target, usual_ms: float, now: float) -> bool:
        """Return whether the target may get one more request of this entry.

        Beyond this entry's part of the connections it may get a few while the
        oldest one takes no longer than usual: not if it hangs.
        """
        health = target.health
        if len(health.in_flight) < self.max_links:
            return True
        is_waiting = health.read_stall_ms(now) > usual_ms
        return len(health.in_flight) < _MAX_AT_ONCE and not is_waiting

    def find_keep_s(self, target: Target) -> float | None:
        """Return for how long an idle link is kept; None without limit.

        Where a target has no room for a link of each entry, an entry keeps
        one for good if the target is of its own domain or if none of its
        domain is left. All entries turn to the one target that is left.
        """
        if not self.are_links_scarce:
            return None
        if target.pool.size and target.pool.wait_ms:
            # One more beside those in use.
            return 0
        now = time.monotonic()
        usable = [
            each
            for each in self.directory.list_usable(target.listed.service)
            if not each.health.is_down(now)
        ]
        if len(usable) == 1:
            return _ONLY_LINK_S
        if target.listed.domain == self.domain:
            return None
        has_own = any(each.listed.domain == self.domain for each in usable)
        return _SPARE_LINK_S if has_own else None


class Dispatch:
    """One request on one service; ``run`` is called once."""

    def __init__(
        self,
        ports: ServicePorts,
        call: Call,
        service: str,
        may_hedge: Callable[[], bool],
    ) -> None:
        """``may_hedge`` is asked before a second attempt that runs beside."""
        self._ports = ports
        self._may_hedge = may_hedge
        self._call = call
        self._service = service
        self._live: dict[asyncio.Future[Reply], Attempt] = {}
        # Attempts that ended and were not looked at.
        self._settled: list[asyncio.Future[Reply]] = []
        self._wakeup = Wakeup()
        self._tried: list[Target] = []
        self._sends = 0
        # Attempts that ended before a connection was open: nothing arrived.
        self._unsent = 0
        # Whether the leader was asked for an extra attempt and has not
        # answered, and whether it has lent one that was not made yet.
        self._is_borrowing = False
        self._is_lent = False
        # Monotonic time until which the next attempt is held; 0 if it is not.
        self._held_until: float = 0
        # Attempts that ran or may have run.
        self._runs = 0
        self._failure: Reply | None = None
        self._hedge_at = float('inf')
        # From this moment on a second attempt needs no further sign.
        self._hedge_by = float('inf')

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have begun the request."""
        return self._runs > 0

    async def run(self) -> Outcome:
        """Return the first answer, or why there is none."""
        self._try_send()
        try:
            while (
                self._live
                or self._is_borrowing
                or self._is_lent
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
        """Wait for the next event and react to it."""
        now = time.monotonic()
        is_due = self._is_lent and not self._held_until
        if not (self._settled or is_due):
            wake_at = min(self._hedge_at, self._call.deadline)
            await self._wakeup.wait(wake_at - now)
        done = bool(self._settled)
        outcome = self.take_settled()
        if outcome is not None:
            return outcome
        if time.monotonic() >= self._call.deadline:
            return self._conclude()
        if self._is_lent or self._held_until or (done and not self._live):
            self._send_next(time.monotonic())
        elif not done and time.monotonic() >= self._hedge_at:
            self._hedge()
        return None

    def _send_next(self, now: float) -> None:
        """Start the next attempt, unless the request is suspected.

        If it has lost several targets and none has answered, it is held for a
        moment: targets that crash for another reason leave others that answer.
        """
        is_suspicious = self._call.crashes.is_suspicious
        if is_suspicious and self._held_until == 0:
            usual_s = self._ports.latency.quantile(0.5) / _MS_PER_S
            self._held_until = now + usual_s * _HELD_MEDIANS
        if is_suspicious and now < self._held_until:
            self._hedge_at = now + _HEDGE_MIN_MS / _MS_PER_S
            return
        self._held_until = 0
        if is_suspicious:
            self._call.trace.add('suspected', service=self._service)
        else:
            self._try_send()
        # One that can't be made now is not kept.
        self._is_lent = False

    def take_settled(self) -> Outcome | None:
        """Look at the attempts that have ended; return the first answer.

        A fan-out that ends calls it for parts whose task has not run since.
        """
        settled = self._settled
        self._settled = []
        for future in settled:
            outcome = self._take(future)
            if outcome is not None:
                return outcome
        return None

    def _note_settled(self, future: 'asyncio.Future[Reply]') -> None:
        self._settled.append(future)
        self._wakeup.wake()

    def _hedge(self) -> None:
        """Start a second attempt beside the first if that is sensible."""
        now = time.monotonic()
        is_repeatable = self._call.route.is_repeatable
        if is_repeatable and now < self._hedge_by and not self._may_hedge():
            # Asked again a little later.
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
        # The service counts what follows a first attempt that arrived.
        is_extra = self._sends > self._unsent
        if is_extra and not self._pay():
            return False
        self._send(target)
        return True

    def _pay(self) -> bool:
        """Spend an extra attempt; ask the leader for one if none is left."""
        ports = self._ports
        if self._is_lent:
            return True
        if ports.budget.take(time.monotonic()):
            return True
        if not self._is_borrowing:
            self._is_borrowing = True
            self._call.trace.add('asked_for_extra', service=self._service)
            ports.lender.ask(self._service, self._take_answer)
        return False

    def _take_answer(self, is_lent: bool) -> None:
        """Take up whether the leader has lent an extra attempt."""
        self._is_borrowing = False
        self._is_lent = is_lent
        if not is_lent:
            self._call.trace.add('no_budget', service=self._service)
        self._ports.on_event('extra_lent' if is_lent else 'extra_denied')
        self._wakeup.wake()

    def _choose(self) -> Target | None:
        ports = self._ports
        now = time.monotonic()
        usual_ms = ports.latency.quantile(0.5)
        usable = [
            target
            for target in ports.directory.list_usable(self._service)
            if ports.has_room(target, usual_ms, now)
            and ports.warm_up.allows(target, now)
        ]
        return ports.chooser.choose(
            usable,
            self._tried,
            usual_ms,
            now,
        )

    def _send(self, target: Target) -> None:
        ports = self._ports
        now = time.monotonic()
        queue = target.health.read_queue(now)
        attempt = Attempt(
            ports.wire,
            self._call,
            target,
            self._note_reply,
            ports.find_keep_s(target),
        )
        ports.warm_up.note_sent(target, now)
        self._live[attempt.future] = attempt
        attempt.future.add_done_callback(self._note_settled)
        self._tried.append(target)
        self._sends += 1
        self._runs += 1
        self._call.trace.add(
            'sent' if self._sends == 1 else 'sent_again',
            service=self._service,
            target=target.listed.target,
            queue=queue,
            factor=target.health.judge(now)[0],
        )
        ports.on_event('sent' if self._sends == 1 else 'sent_again')
        latency = ports.latency
        wait_ms = min(
            latency.quantile(_HEDGE_QUANTILE) * _HEDGE_FACTOR,
            latency.quantile(0.5) * _HEDGE_MEDIANS,
        )
        wait_ms = max(wait_ms, _HEDGE_MIN_MS)
        self._hedge_at = now + wait_ms / _MS_PER_S
        self._hedge_by = now + wait_ms / _MS_PER_S * _HEDGE_PATIENCE

    def _note_reply(self, attempt: Attempt, duration_ms: float) -> None:
        latency = self._ports.latency
        attempt.target.note_reply(duration_ms, latency.quantile(0.5))
        latency.add(duration_ms)

    def _take(self, future: 'asyncio.Future[Reply]') -> Outcome | None:
        """Judge a settled attempt; returns the outcome if it decides."""
        attempt = self._live.pop(future)
        target = attempt.target.listed.target
        error = future.exception()
        if error is not None:
            if isinstance(error, TargetConnectError):
                self._runs -= 1
                self._unsent += 1
            else:
                self._call.crashes.lost.append(attempt.target)
            self._call.trace.add('lost', target=target, error=str(error))
            return None
        reply = future.result()
        facts = attempt.read_facts(reply)
        if facts.is_misdirected:
            self._ports.directory.forget_misdirected(attempt.target)
        if facts.is_not_run:
            self._runs -= 1
            self._call.trace.add('not_run', target=target, status=reply.status)
            return None
        if reply.status < 300 and facts.signature:
            self._call.crashes.is_survived = True
            return Outcome('answered', reply, facts.signature)
        self._call.trace.add('failed', target=target, status=reply.status)
        if facts.signature:
            self._call.crashes.is_survived = True
            self._failure = reply
        return None

    def _conclude(self) -> Outcome:
        if self._live or (self._runs and self._failure is None):
            return Outcome('unknown')
        if self._failure is not None:
            return Outcome('failed', self._failure)
        return Outcome('not_run')
