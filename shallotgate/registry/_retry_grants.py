"""Grants extra attempts to entries; runs on the leader."""

import time
from collections.abc import Sequence

from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import TransportError
from shallotgate.extras import RetryGrantPool
from shallotgate.generated.messages import AskExtras, GrantExtras
from shallotgate.logs import get_logger
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('lending')
# Minimum interval between log lines about refused requests.
_REFUSAL_LOG_INTERVAL_S = 0.5


class RetryGrantService:
    """Serves entries that have exhausted their own retry budget."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        pool: RetryGrantPool,
    ) -> None:
        """Subscribe to mailbox and log, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._pool = pool
        self._refusal_logged_at = float('-inf')
        # Requests not fully granted since the last log line.
        self._refusals = 0
        mailbox.subscribe(AskExtras, self._on_request)
        log.on_leadership(self._on_leadership)

    def _on_leadership(self, is_leading: bool) -> None:
        if is_leading:
            self._pool.activate(
                time.monotonic(), self._log.previous_leadership_at
            )
        else:
            self._pool.deactivate()

    def _on_request(self, delivery: Delivery) -> None:
        request: AskExtras = delivery.message
        now = time.monotonic()
        self._pool.evict_idle(now)
        is_leading = self._log.is_leading()
        counts = [
            self._pool.grant(service, count, now) if is_leading else 0
            for service, count in zip(
                request.services, request.counts, strict=True
            )
        ]
        if sum(counts) < sum(request.counts):
            self._record_refusal(delivery.sender, request, counts, now)
        granted = GrantExtras(number=request.number, counts=counts)
        try:
            self._mailbox.send(delivery.sender, granted)
        except TransportError as error:
            _LOGGER.info('Grant was not sent to an entry: %s.', error)

    def _record_refusal(
        self,
        entry: str,
        request: AskExtras,
        counts: Sequence[int],
        now: float,
    ) -> None:
        self._refusals += 1
        if now - self._refusal_logged_at < _REFUSAL_LOG_INTERVAL_S:
            return
        self._refusal_logged_at = now
        _LOGGER.info(
            'Fewer extra attempts granted than requested.',
            extra={
                'entry': entry,
                'number': request.number,
                'services': list(request.services),
                'asked': list(request.counts),
                'lent': list(counts),
                'refusals': self._refusals,
            },
        )
        self._refusals = 0
