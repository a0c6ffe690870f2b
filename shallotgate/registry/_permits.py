"""Grants requests to targets that state a limit; runs on the leader."""

import time

from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import TransportError
from shallotgate.generated.messages import AskPermits, GrantPermits
from shallotgate.logs import get_logger
from shallotgate.target_limits import DENIED, LimitBoard, PermitAllocator
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('limits')
# Minimum interval between log lines about denied requests.
_DENIAL_LOG_INTERVAL_S = 0.5


class PermitService:
    """Answers the questions of entries about targets with a limit."""

    def __init__(
        self, mailbox: Mailbox, log: ReplicatedLog, limits: LimitBoard
    ) -> None:
        """Subscribe to mailbox and log, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._limits = limits
        self._allocator = PermitAllocator()
        self._denial_logged_at = float('-inf')
        # Requests granted in part or in whole, and denied, since the last line.
        self._granted = 0
        self._denied = 0
        mailbox.subscribe(AskPermits, self._on_ask)
        log.on_leadership(self._on_leadership)

    def _on_leadership(self, is_leading: bool) -> None:
        if is_leading:
            self._allocator.activate(time.monotonic())
        else:
            self._allocator.deactivate()

    def _on_ask(self, delivery: Delivery) -> None:
        ask: AskPermits = delivery.message
        now = time.monotonic()
        is_leading = self._log.is_leading()
        granted: list[list[int]] = []
        if is_leading:
            self._limits.record_needed(ask.limited, ask.limits, now)
            limits = self._limits.list_limits(now)
            granted = [
                self._allocator.grant(request, limits, now)
                for request in ask.requests
            ]
            self._record(delivery.sender, granted, now)
        reply = GrantPermits(
            number=ask.number, leading=is_leading, granted=granted
        )
        try:
            self._mailbox.send(delivery.sender, reply)
        except TransportError as error:
            _LOGGER.info('Permits were not sent to an entry: %s.', error)

    def _record(self, entry: str, granted: list[list[int]], now: float) -> None:
        denied = sum(
            all(position == DENIED for position in positions)
            for positions in granted
        )
        self._denied += denied
        self._granted += len(granted) - denied
        if not denied or now - self._denial_logged_at < _DENIAL_LOG_INTERVAL_S:
            return
        self._denial_logged_at = now
        _LOGGER.info(
            'Requests to targets with a limit denied.',
            extra={
                'entry': entry,
                'denied': self._denied,
                'granted': self._granted,
            },
        )
        self._granted = 0
        self._denied = 0
