"""Tells the entries which request contents to refuse; runs on the leader."""

import threading
import time
from collections.abc import Callable, Sequence
from functools import partial

from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import TransportError
from shallotgate.generated.messages import (
    AskContentTrial,
    BarContent,
    ContentsUpdate,
    ContentSurvived,
    ContentTrial,
    CrashRecorded,
    CrashReport,
)
from shallotgate.logs import get_logger
from shallotgate.registry._content_store import ContentStore
from shallotgate.registry._crashes import ContentBar, CrashTracker
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('crashes')
_MS_PER_S = 1000
# Bits of a revision that count the changes of one leadership.
_CHANGE_BITS = 32


class CrashService:
    """Receives crash reports, broadcasts refusals and grants trials.

    What it decides outlives the processes: a trial counts before it is granted,
    and a report is confirmed once it is stored.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        list_entries: Callable[[], Sequence[str]],
        store: ContentStore,
    ) -> None:
        """Subscribe to the mailbox, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._list_entries = list_entries
        self._store = store
        self._tracker = CrashTracker()
        # Guards the term and the number of changes in it.
        self._lock = threading.Lock()
        self._term: int | None = None
        self._changes = 0
        # Contents that are stored, as far as this leadership knows.
        self._stored: set[str] = set()
        mailbox.subscribe(CrashReport, self._on_report)
        mailbox.subscribe(AskContentTrial, self._on_ask)
        mailbox.subscribe(ContentSurvived, self._on_survived)

    def make_update(self, known_revision: int) -> ContentsUpdate | None:
        """Return all refusals, unless an entry has them.

        None also if this member does not lead.
        """
        if not self._leads():
            return None
        self._accept_allowed()
        with self._lock:
            revision = ((self._term or 0) << _CHANGE_BITS) + self._changes
        if revision == known_revision:
            return None
        bars = self._tracker.list_bars(time.monotonic())
        return ContentsUpdate(
            revision=revision, contents=[_make_message(each) for each in bars]
        )

    def count_refused(self) -> int:
        """Return the number of contents that are refused; 0 elsewhere."""
        if self._log.get_leading_term() is None:
            return 0
        return len(self._tracker.list_bars(time.monotonic()))

    def _on_report(self, delivery: Delivery) -> None:
        report: CrashReport = delivery.message
        if not self._leads():
            return
        now = time.monotonic()
        hold_s = self._tracker.record_crash(
            report.digest, report.targets, now, report.report
        )
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
            # Not after it is stored: each request that comes before may crash
            # further targets.
            self._broadcast(_make_message(content_bar))
        self._save(
            report.digest,
            partial(self._confirm, delivery.sender, report.report),
        )
        for digest in self._tracker.take_dropped():
            self._save(digest, _ignore)

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
        if refused_s:
            self._answer(delivery.sender, content_bar, is_granted=False)
            return
        self._save(
            ask.digest,
            partial(self._grant, delivery.sender, content_bar),
        )

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
        self._save(survived.digest, _ignore)

    def _leads(self) -> bool:
        """Return whether this member leads.

        Each leadership begins with what is stored: another leader may have
        refused, tried or accepted contents in between.
        """
        term = self._log.get_leading_term()
        if term is None:
            return False
        with self._lock:
            if term != self._term:
                stored = self._store.read()
                self._tracker.adopt(stored, time.monotonic())
                self._stored = {content.digest for content in stored}
                self._term = term
                self._changes = 0
                if stored:
                    _LOGGER.info(
                        'Contents that crashed targets adopted.',
                        extra={'contents': len(stored), 'term': term},
                    )
        return True

    def _save(self, digest: str, on_saved: Callable[[bool], None]) -> None:
        content = self._tracker.make_stored(digest)
        with self._lock:
            self._changes += 1
            if content is None:
                self._stored.discard(digest)
        if content is not None:
            on_saved = partial(self._note_stored, digest, on_saved)
        self._store.save(digest, content, on_saved)

    def _note_stored(
        self, digest: str, on_saved: Callable[[bool], None], is_saved: bool
    ) -> None:
        # It may have been accepted in the meantime.
        if is_saved and self._tracker.make_stored(digest) is not None:
            with self._lock:
                self._stored.add(digest)
        on_saved(is_saved)

    def _accept_allowed(self) -> None:
        """Accept what is no longer stored, because an operator allowed it."""
        if not self._stored:
            return
        stored = {content.digest for content in self._store.read()}
        with self._lock:
            allowed = self._stored - stored
            self._stored -= allowed
            self._changes += len(allowed)
        for digest in allowed:
            self._tracker.record_survival(digest)
            _LOGGER.info(
                'Content accepted: an operator allowed it.',
                extra={'digest': digest},
            )
            self._broadcast(BarContent(digest=digest, hold_ms=0))

    def _confirm(self, entry: str, report: str, is_saved: bool) -> None:
        if is_saved and report:
            self._send(entry, CrashRecorded(report=report))

    def _grant(
        self, entry: str, content_bar: ContentBar, is_saved: bool
    ) -> None:
        """Let one request through, if a later leader will know of it."""
        if is_saved:
            # Before the answer, so that no other entry asks meanwhile.
            self._broadcast(_make_message(content_bar))
        self._answer(entry, content_bar, is_granted=is_saved)

    def _answer(
        self, entry: str, content_bar: ContentBar, *, is_granted: bool
    ) -> None:
        answer = ContentTrial(
            digest=content_bar.digest,
            granted=is_granted,
            hold_ms=int(content_bar.hold_s * _MS_PER_S),
            trials=content_bar.trials,
        )
        self._send(entry, answer)

    def _broadcast(self, message: BarContent) -> None:
        for entry in self._list_entries():
            self._send(entry, message)

    def _send(
        self, entry: str, message: BarContent | ContentTrial | CrashRecorded
    ) -> None:
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


def _ignore(is_saved: bool) -> None:
    """Go on whether or not something is stored; the next leader retries."""
