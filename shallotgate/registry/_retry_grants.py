"""Lends extra attempts to entries, as the leader."""

import time
from collections.abc import Sequence

from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import TransportError
from shallotgate.extras import RetryGrantPool
from shallotgate.generated.messages import AskExtras, GrantExtras
from shallotgate.logs import get_logger
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('lending')
# Least time between two log lines on refused asks, in seconds.
_REFUSAL_LOG_S = 0.5


class RetryGrantService:
    """Answers entries that have no extra attempts of their own left."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        pool: RetryGrantPool,
    ) -> None:
        """Construct it before the mailbox and the log start."""
        self._mailbox = mailbox
        self._log = log
        self._pool = pool
        self._refused_at = float('-inf')
        # Asks that got less than they wanted since the last log line.
        self._refusals = 0
        mailbox.subscribe(AskExtras, self._on_ask)
        log.on_leadership(self._on_leadership)

    def _on_leadership(self, is_leading: bool) -> None:
        if is_leading:
            self._pool.activate(time.monotonic())
        else:
            self._pool.deactivate()

    def _on_ask(self, delivery: Delivery) -> None:
        ask: AskExtras = delivery.message
        now = time.monotonic()
        self._pool.evict_idle(now)
        is_leading = self._log.is_leading()
        counts = [
            self._pool.grant(service, count, now) if is_leading else 0
            for service, count in zip(ask.services, ask.counts, strict=True)
        ]
        if sum(counts) < sum(ask.counts):
            self._note_refusal(delivery.sender, ask, counts, now)
        granted = GrantExtras(number=ask.number, counts=counts)
        try:
            self._mailbox.send(delivery.sender, granted)
        except TransportError as error:
            _LOGGER.info('An entry was not answered: %s.', error)

    def _note_refusal(
        self,
        entry: str,
        ask: AskExtras,
        counts: Sequence[int],
        now: float,
    ) -> None:
        self._refusals += 1
        if now - self._refused_at < _REFUSAL_LOG_S:
            return
        self._refused_at = now
        _LOGGER.info(
            'Less lent than asked for.',
            extra={
                'entry': entry,
                'number': ask.number,
                'services': list(ask.services),
                'asked': list(ask.counts),
                'lent': list(counts),
                'refusals': self._refusals,
            },
        )
        self._refusals = 0
