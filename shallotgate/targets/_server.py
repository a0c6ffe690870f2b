"""Attempts that other instances send to this owner."""

import time
from dataclasses import replace

from shallotgate.errors import PeerUnreachableError
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    CancelAttempt,
    OwnerReport,
    SubscribeReports,
)
from shallotgate.logs import get_logger
from shallotgate.targets._owned import OwnedTargets
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
        # Monotonic time of the last use, by instance.
        self._users: dict[str, float] = {}
        self._reporting: Subscription | None = None

    def start(self) -> None:
        """Subscribe to messages; call before the mailbox starts."""
        self._mailbox.subscribe(Attempt, self._take_attempt)
        self._mailbox.subscribe(CancelAttempt, self._take_cancel)
        self._mailbox.subscribe(SubscribeReports, self._take_subscription)
        self._reporting = self._timers.every(_REPORT_PERIOD_S, self._report)

    def stop(self) -> None:
        """Send no more reports; attempts are refused by the owner."""
        if self._reporting is not None:
            self._reporting.cancel()

    def _take_attempt(self, delivery: Delivery) -> None:
        sender = delivery.sender
        self._users[sender] = time.monotonic()
        attempt: Attempt = delivery.message
        left_ms = attempt.time_left_ms - delivery.age_s * _MS_PER_S
        if left_ms <= 0:
            self._send(
                sender,
                AttemptReply(
                    attempt_id=attempt.attempt_id,
                    status='not_run',
                    reason='late',
                ),
            )
            return
        self._owned.submit(
            replace(attempt, time_left_ms=left_ms),
            lambda reply: self._send(sender, reply),
        )

    def _take_cancel(self, delivery: Delivery) -> None:
        cancel: CancelAttempt = delivery.message
        self._owned.cancel(cancel.attempt_id)

    def _take_subscription(self, delivery: Delivery) -> None:
        self._users[delivery.sender] = time.monotonic()

    def _send(self, peer: str, message: object) -> None:
        try:
            self._mailbox.send(peer, message)
        except PeerUnreachableError:
            _LOGGER.info('Message to an entry dropped.', extra={'peer': peer})

    def _report(self) -> None:
        since = time.monotonic() - _INTEREST_S
        users = [peer for peer, used_at in tuple(self._users.items())]
        for peer in users:
            if self._users[peer] < since:
                self._users.pop(peer)
        if not self._users:
            return
        report = OwnerReport(states=self._owned.states())
        for peer in tuple(self._users):
            self._send(peer, report)
