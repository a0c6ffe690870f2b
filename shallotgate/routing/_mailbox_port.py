"""Delivery of attempts to local and remote owners."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.errors import PeerUnreachableError
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    CancelAttempt,
    OwnerReport,
    TargetState,
)
from shallotgate.invariants import check
from shallotgate.membership import TierView, View
from shallotgate.metrics import Metrics
from shallotgate.routing._index_map import IndexMap
from shallotgate.routing._latency import LatencyTracker
from shallotgate.routing._observations import TargetObservations
from shallotgate.routing._owner_reports import OwnerReportReader
from shallotgate.routing._port import ReplySink
from shallotgate.timers import TimerService
from shallotgate.transport import Delivery, Mailbox

_MS_PER_S = 1000
# Owners reply to expired attempts themselves. The port waits this much longer,
# since the owner's reply is more specific than a generated timeout.
_REPLY_GRACE_S = 0.2
_SWEEP_INTERVAL_S = 0.1
# Same interval as the reports of other owners.
_LOCAL_REPORT_INTERVAL_S = 1.0
# Owners send reports to their subscribers every second.
_OWNER_SILENCE_TIMEOUT_S = 2.0
# Other owners are preferred after this time without a reply to any attempt,
# and this multiple of the typical latency.
_OVERDUE_S = 0.3
_OVERDUE_LATENCY_FACTOR = 3
_TYPICAL_QUANTILE = 0.95
# Refusals that apply to all targets of an owner.
_OWNER_REFUSALS = frozenset(('no_lease', 'owner_unreachable'))


class LocalTargets(Protocol):
    """Targets that this instance owns."""

    def submit(
        self,
        attempt: Attempt,
        on_reply: Callable[[AttemptReply], None],
    ) -> None:
        """Run an attempt; calls back exactly once, possibly synchronously."""

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""

    def states(self) -> Sequence[TargetState]:
        """Return the states of the owned targets."""


@dataclass(slots=True)
class _Pending:
    """An attempt that awaits its reply."""

    attempt: Attempt
    owner: str
    # Start id of the owner when the attempt was sent, empty if unknown.
    owner_start_id: str
    sink: ReplySink
    # Monotonic times.
    sent_at: float
    expires_at: float
    cancelled: bool = False


class MailboxAttemptPort:
    """Sends attempts and updates routing state from replies and reports.

    Every attempt gets exactly one reply. An attempt that the mailbox has
    accepted may have been sent, so the port never ends it as ``not_run``.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        local: LocalTargets,
        view: TierView,
        observations: TargetObservations,
        index_map: IndexMap,
        latency: LatencyTracker,
        metrics: Metrics,
        limits: str = 'owner',
    ) -> None:
        self._mailbox = mailbox
        self._local = local
        self._view = view
        self._observations = observations
        self._index_map = index_map
        self._latency = latency
        self._metrics = metrics
        self._runs_locally = limits != 'owner'
        metrics.register_gauge('attempts_pending', lambda: len(self._pending))
        self._reports = OwnerReportReader(
            mailbox,
            view,
            observations,
            index_map,
            metrics,
            self.apply_states,
        )
        self._pending: dict[str, _Pending] = {}
        # Monotonic time of the last reply to an attempt, by owner.
        self._replied_at: dict[str, float] = {}

    def start(self, timers: TimerService) -> None:
        """Register all handlers; call it before the mailbox is started."""
        self._mailbox.subscribe(AttemptReply, self._handle_remote_reply)
        self._mailbox.subscribe(OwnerReport, self._reports.handle_report)
        self._view.subscribe(self._handle_view)
        timers.call_every(_SWEEP_INTERVAL_S, self.sweep)
        timers.call_every(_LOCAL_REPORT_INTERVAL_S, self._refresh_local_states)

    def submit(self, owner: str, attempt: Attempt, sink: ReplySink) -> None:
        """Send an attempt to the instance that owns its target."""
        now = time.monotonic()
        is_local = self._runs_locally or owner == self._mailbox.instance
        pending = _Pending(
            attempt=attempt,
            owner=self._mailbox.instance if is_local else owner,
            owner_start_id='' if is_local else _get_start_id(self._view, owner),
            sink=sink,
            sent_at=now,
            expires_at=now + attempt.time_left_ms / _MS_PER_S + _REPLY_GRACE_S,
        )
        check(
            attempt.attempt_id not in self._pending,
            'attempt-ids-are-unique',
            attempt_id=attempt.attempt_id,
        )
        self._pending[attempt.attempt_id] = pending
        self._observations.record_sent(attempt.target)
        if is_local:
            self._local.submit(attempt, self._handle_reply)
            return
        try:
            self._mailbox.send(owner, attempt)
        except PeerUnreachableError:
            self._fail_pending(
                attempt.attempt_id, 'not_run', 'owner_unreachable'
            )

    def cancel(self, owner: str, attempt: Attempt) -> None:
        """Cancel an attempt at the owner of its target."""
        pending = self._pending.get(attempt.attempt_id)
        if pending is None:
            return
        pending.cancelled = True
        # The elapsed time is a lower bound for a cancelled attempt. Omitting
        # it would lower the quantile at which attempts are hedged.
        self._latency.record(
            attempt.service,
            (time.monotonic() - pending.sent_at) * _MS_PER_S,
        )
        if pending.owner == self._mailbox.instance:
            self._local.cancel(attempt.attempt_id)
            return
        message = CancelAttempt(
            attempt_id=attempt.attempt_id,
            target=attempt.target,
        )
        try:
            self._mailbox.send(owner, message)
        except PeerUnreachableError:
            # The attempt continues on the owner and ends by itself.
            self._metrics.count('cancels_unsent_total')

    def is_silent(self, owner: str, since: float) -> bool:
        """Return whether an owner has not replied to any attempt since."""
        if self._runs_locally or owner == self._mailbox.instance:
            return False
        return self._replied_at.get(owner, float('-inf')) < since

    def apply_states(
        self,
        states: Iterable[TargetState],
        age_s: float = 0,
    ) -> None:
        """Apply the target states that owners report."""
        for state in states:
            if not self._observations.apply_state(state, age_s):
                continue
            place = self._view.current().places.get(state.target)
            if place is not None:
                self._index_map.update_target(
                    place.service.group,
                    state.target,
                    state.versions,
                )

    def sweep(self) -> None:
        """End attempts that have expired or whose owner is silent."""
        now = time.monotonic()
        for attempt_id, pending in tuple(self._pending.items()):
            if now > pending.expires_at:
                self._fail_pending(attempt_id, 'timeout', 'no_reply')
            elif pending.owner != self._mailbox.instance:
                self._sweep_remote(pending, now)

    def _refresh_local_states(self) -> None:
        self.apply_states(self._local.states())
        self._index_map.remove_expired()

    def _sweep_remote(self, pending: _Pending, now: float) -> None:
        last_heard_at = self._mailbox.last_received_at(pending.owner)
        if now - max(pending.sent_at, last_heard_at) > _OWNER_SILENCE_TIMEOUT_S:
            self._fail_pending(
                pending.attempt.attempt_id, 'lost', 'owner_silent'
            )
        elif self._is_overdue(pending, now):
            self._observations.avoid_owner(pending.owner)

    def _is_overdue(self, pending: _Pending, now: float) -> bool:
        age_s = now - pending.sent_at
        if age_s < _OVERDUE_S or not self.is_silent(
            pending.owner,
            pending.sent_at,
        ):
            return False
        typical_ms = self._latency.quantile_ms(
            pending.attempt.service,
            _TYPICAL_QUANTILE,
        )
        return age_s * _MS_PER_S > _OVERDUE_LATENCY_FACTOR * (typical_ms or 0)

    def _handle_view(self, view: View) -> None:
        # An instance that is missing from the view does not count as lost: a
        # new control leader lists instances only after their next heartbeat.
        for attempt_id, pending in tuple(self._pending.items()):
            record = view.instances.get(pending.owner)
            if record is None or not pending.owner_start_id:
                continue
            if record.start_id != pending.owner_start_id:
                self._fail_pending(attempt_id, 'lost', 'owner_restarted')

    def _handle_remote_reply(self, delivery: Delivery) -> None:
        reply = delivery.message
        pending = self._pending.get(reply.attempt_id)
        if pending is not None and pending.owner != delivery.sender:
            self._metrics.count('replies_dropped_total', reason='sender')
            return
        self._replied_at[delivery.sender] = time.monotonic()
        self._observations.stop_avoiding_owner(delivery.sender)
        self._handle_reply(reply, delivery.age_s)

    def _handle_reply(self, reply: AttemptReply, age_s: float = 0) -> None:
        if reply.state is not None:
            self.apply_states((reply.state,), age_s)
        # pop() is atomic, so that only one of two replies is delivered.
        pending = self._pending.pop(reply.attempt_id, None)
        if pending is None:
            self._metrics.count('replies_dropped_total', reason='late')
            return
        self._deliver(pending, reply)

    def _fail_pending(self, attempt_id: str, status: str, reason: str) -> None:
        pending = self._pending.pop(attempt_id, None)
        if pending is None:
            return
        self._metrics.count('replies_made_total', status=status, reason=reason)
        self._deliver(
            pending,
            AttemptReply(
                attempt_id=attempt_id,
                status=status,  # type: ignore[arg-type]
                reason=reason,
            ),
        )

    def _deliver(self, pending: _Pending, reply: AttemptReply) -> None:
        elapsed_ms = None
        if reply.reason in _OWNER_REFUSALS:
            self._observations.avoid_owner(pending.owner)
        if reply.status == 'ok':
            elapsed_ms = (time.monotonic() - pending.sent_at) * _MS_PER_S
            if not pending.cancelled:
                self._latency.record(pending.attempt.service, elapsed_ms)
        self._observations.record_reply(
            pending.attempt.target,
            reply.status,
            elapsed_ms,
        )
        pending.sink.put(reply)


def _get_start_id(view: TierView, owner: str) -> str:
    record = view.current().instances.get(owner)
    return record.start_id if record else ''
