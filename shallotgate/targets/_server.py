"""Handling of attempts that other instances send to this owner."""

import time
from dataclasses import replace
from functools import partial

from shallotgate.errors import PeerUnreachableError
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    CancelAttempt,
    SubscribeReports,
)
from shallotgate.logs import get_logger
from shallotgate.targets._owned import OwnedTargets
from shallotgate.targets._reports import ReportSubscriber
from shallotgate.timers import Subscription, TimerService
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('targets')
_MS_PER_S = 1000
_REPORT_PERIOD_S = 1.0
# Reports are sent to instances that used this owner within this period.
_SUBSCRIBER_TTL_S = 10.0


class OwnerServer:
    """Serves attempts of other instances and sends them reports."""

    def __init__(
        self,
        mailbox: Mailbox,
        owned: OwnedTargets,
        timers: TimerService,
    ) -> None:
        self._mailbox = mailbox
        self._owned = owned
        self._timers = timers
        # Subscribers by instance id.
        self._subscribers: dict[str, ReportSubscriber] = {}
        self._report_timer: Subscription | None = None

    def start(self) -> None:
        """Subscribe to messages; call before the mailbox starts."""
        self._mailbox.subscribe(Attempt, self._handle_attempt)
        self._mailbox.subscribe(CancelAttempt, self._handle_cancel)
        self._mailbox.subscribe(SubscribeReports, self._handle_subscription)
        self._report_timer = self._timers.call_every(
            _REPORT_PERIOD_S, self._report
        )

    def stop(self) -> None:
        """Stop sending reports; the owner refuses further attempts."""
        if self._report_timer is not None:
            self._report_timer.cancel()

    def _handle_attempt(self, delivery: Delivery) -> None:
        sender = delivery.sender
        subscriber = self._get_subscriber(delivery)
        attempt: Attempt = delivery.message
        remaining_ms = attempt.time_left_ms - delivery.age_s * _MS_PER_S
        if remaining_ms <= 0:
            late = AttemptReply(
                attempt_id=attempt.attempt_id,
                status='not_run',
                reason='late',
            )
            subscriber.send_reply(late, None)
            return
        self._owned.submit(
            replace(attempt, time_left_ms=remaining_ms),
            # If the entry has restarted by then, its new subscriber is used.
            lambda reply: self._subscribers.get(sender, subscriber).send_reply(
                reply,
                reply.state,
            ),
        )

    def _handle_cancel(self, delivery: Delivery) -> None:
        cancel: CancelAttempt = delivery.message
        self._owned.cancel(cancel.attempt_id)

    def _handle_subscription(self, delivery: Delivery) -> None:
        subscriber = self._get_subscriber(delivery)
        if delivery.message.full:
            subscriber.request_full_report()

    def _get_subscriber(self, delivery: Delivery) -> ReportSubscriber:
        subscriber = self._subscribers.get(delivery.sender)
        if subscriber is None or subscriber.start_id != delivery.start_id:
            subscriber = ReportSubscriber(
                delivery.start_id,
                partial(self._send, delivery.sender),
            )
            self._subscribers[delivery.sender] = subscriber
        subscriber.last_used_at = time.monotonic()
        return subscriber

    def _send(self, peer: str, message: object) -> bool:
        try:
            self._mailbox.send(peer, message)
        except PeerUnreachableError:
            _LOGGER.info('Message to an entry dropped.', extra={'peer': peer})
            return False
        return True

    def _report(self) -> None:
        now = time.monotonic()
        for peer, subscriber in tuple(self._subscribers.items()):
            if subscriber.last_used_at < now - _SUBSCRIBER_TTL_S:
                self._subscribers.pop(peer)
        if not self._subscribers:
            return
        states = self._owned.states()
        for subscriber in tuple(self._subscribers.values()):
            subscriber.send_report(states, now)
