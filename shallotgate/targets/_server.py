"""Attempts that other instances send to this owner."""

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
# Reports are sent to instances that used the owner this recently.
_INTEREST_S = 10.0


class OwnerServer:
    """Answers attempts from other instances and sends them reports."""

    def __init__(
        self,
        mailbox: Mailbox,
        owned: OwnedTargets,
        timers: TimerService,
    ) -> None:
        self._mailbox = mailbox
        self._owned = owned
        self._timers = timers
        # What each entry was told, by instance.
        self._users: dict[str, ReportSubscriber] = {}
        self._reporting: Subscription | None = None

    def start(self) -> None:
        """Subscribe to messages; call before the mailbox starts."""
        self._mailbox.subscribe(Attempt, self._take_attempt)
        self._mailbox.subscribe(CancelAttempt, self._take_cancel)
        self._mailbox.subscribe(SubscribeReports, self._take_subscription)
        self._reporting = self._timers.call_every(
            _REPORT_PERIOD_S, self._report
        )

    def stop(self) -> None:
        """Send no more reports; attempts are refused by the owner."""
        if self._reporting is not None:
            self._reporting.cancel()

    def _take_attempt(self, delivery: Delivery) -> None:
        sender = delivery.sender
        user = self._note_use(delivery)
        attempt: Attempt = delivery.message
        left_ms = attempt.time_left_ms - delivery.age_s * _MS_PER_S
        if left_ms <= 0:
            late = AttemptReply(
                attempt_id=attempt.attempt_id,
                status='not_run',
                reason='late',
            )
            user.send_reply(late, None)
            return
        self._owned.submit(
            replace(attempt, time_left_ms=left_ms),
            # A restarted entry has a log of its own by then.
            lambda reply: self._users.get(sender, user).send_reply(
                reply,
                reply.state,
            ),
        )

    def _take_cancel(self, delivery: Delivery) -> None:
        cancel: CancelAttempt = delivery.message
        self._owned.cancel(cancel.attempt_id)

    def _take_subscription(self, delivery: Delivery) -> None:
        user = self._note_use(delivery)
        if delivery.message.full:
            user.ask_full()

    def _note_use(self, delivery: Delivery) -> ReportSubscriber:
        user = self._users.get(delivery.sender)
        if user is None or user.start_id != delivery.start_id:
            user = ReportSubscriber(
                delivery.start_id,
                partial(self._send, delivery.sender),
            )
            self._users[delivery.sender] = user
        user.used_at = time.monotonic()
        return user

    def _send(self, peer: str, message: object) -> bool:
        try:
            self._mailbox.send(peer, message)
        except PeerUnreachableError:
            _LOGGER.info('Message to an entry dropped.', extra={'peer': peer})
            return False
        return True

    def _report(self) -> None:
        now = time.monotonic()
        for peer, user in tuple(self._users.items()):
            if user.used_at < now - _INTEREST_S:
                self._users.pop(peer)
        if not self._users:
            return
        states = self._owned.states()
        for reader in tuple(self._users.values()):
            reader.send_report(states, now)
