"""Tells the entries which request contents to refuse; runs on the leader."""

import time
from collections.abc import Callable, Sequence

from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import TransportError
from shallotgate.generated.messages import (
    AskContentTrial,
    BarContent,
    ContentSurvived,
    ContentTrial,
    CrashReport,
)
from shallotgate.logs import get_logger
from shallotgate.registry._crashes import ContentBar, CrashTracker
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('crashes')
_MS_PER_S = 1000


class CrashService:
    """Receives crash reports, broadcasts refusals and grants trials."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        list_entries: Callable[[], Sequence[str]],
    ) -> None:
        """Subscribe to the mailbox, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._list_entries = list_entries
        self._tracker = CrashTracker()
        # Term of the newest leadership, and when it was noticed.
        self._term: int | None = None
        self._term_began_at = float('inf')
        mailbox.subscribe(CrashReport, self._on_report)
        mailbox.subscribe(AskContentTrial, self._on_ask)
        mailbox.subscribe(ContentSurvived, self._on_survived)

    def inform_entry(self, entry: str) -> None:
        """Tell an entry that has just started what is refused.

        Refusals of a former leadership may have ended under another leader.
        """
        if not self._leads():
            return
        for content_bar in self._tracker.list_bars(
            time.monotonic(), since=self._term_began_at
        ):
            self._send(entry, _make_message(content_bar))

    def _on_report(self, delivery: Delivery) -> None:
        report: CrashReport = delivery.message
        if not self._leads():
            return
        now = time.monotonic()
        hold_s = self._tracker.record_crash(report.digest, report.targets, now)
        content_bar = self._tracker.get_bar(report.digest, now)
        _LOGGER.info(
            'Content crashed targets.',
            extra={
                'digest': report.digest,
                'entry': delivery.sender,
                'targets': list(report.targets),
                'hold_s': hold_s,
                'trials': content_bar.trials,
            },
        )
        if hold_s:
            self._broadcast(_make_message(content_bar))

    def _on_ask(self, delivery: Delivery) -> None:
        ask: AskContentTrial = delivery.message
        if not self._leads():
            return
        now = time.monotonic()
        refused_s = self._tracker.request_trial(ask.digest, ask.trials, now)
        content_bar = self._tracker.get_bar(ask.digest, now)
        _LOGGER.info(
            'Trial of a content refused.'
            if refused_s
            else 'Trial of a content granted.',
            extra={
                'digest': ask.digest,
                'entry': delivery.sender,
                'refused_s': round(refused_s, 3),
                'trials': content_bar.trials,
            },
        )
        if not refused_s:
            # Before the answer, so that no other entry asks meanwhile.
            self._broadcast(_make_message(content_bar))
        answer = ContentTrial(
            digest=ask.digest,
            granted=not refused_s,
            hold_ms=int(content_bar.hold_s * _MS_PER_S),
            trials=content_bar.trials,
        )
        self._send(delivery.sender, answer)

    def _on_survived(self, delivery: Delivery) -> None:
        survived: ContentSurvived = delivery.message
        if not self._leads():
            return
        self._tracker.record_survival(survived.digest)
        _LOGGER.info(
            'Content accepted: a target answered its trial.',
            extra={'digest': survived.digest, 'entry': delivery.sender},
        )
        self._broadcast(BarContent(digest=survived.digest, hold_ms=0))

    def _leads(self) -> bool:
        """Return whether this member leads; notes the begin of each term."""
        term = self._log.get_leading_term()
        if term is None:
            return False
        if term != self._term:
            self._term = term
            self._term_began_at = time.monotonic()
        return True

    def _broadcast(self, message: BarContent) -> None:
        for entry in self._list_entries():
            self._send(entry, message)

    def _send(self, entry: str, message: BarContent | ContentTrial) -> None:
        try:
            self._mailbox.send(entry, message)
        except TransportError as error:
            _LOGGER.info('Refusal was not sent to an entry: %s.', error)


def _make_message(content_bar: ContentBar) -> BarContent:
    """Return the message; its hold of 0 would end the refusal."""
    return BarContent(
        digest=content_bar.digest,
        hold_ms=max(int(content_bar.hold_s * _MS_PER_S), 1),
        trials=content_bar.trials,
    )
