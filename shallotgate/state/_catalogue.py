"""Catalogue, its history and the verdicts on changes."""

import hashlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

from shallotgate.codec import encode_json
from shallotgate.generated.catalogue import (
    Catalogue,
    ChangeFinding,
    HistoryRecord,
    Verdict,
)
from shallotgate.generated.messages import ChangeCatalogue
from shallotgate.state._changes import (
    Author,
    ChangeError,
    Draft,
    check_shape,
    digest_change,
    merge_differences,
    parse_change,
)
from shallotgate.state._recent import RecentChanges
from shallotgate.state._references import References
from shallotgate.state._verdicts import (
    StoredVerdict,
    VerdictSnapshot,
    VerdictTable,
)

HISTORY_LIMIT = 1000


@dataclass(frozen=True)
class CatalogueSnapshot:
    """Snapshot of the catalogue, its history and the verdicts."""

    catalogue: Catalogue
    history: Sequence[HistoryRecord]
    verdicts: VerdictSnapshot


@dataclass(frozen=True)
class _NewChange:
    """A change whose id is a string without a verdict."""

    change_id: str
    author: Author
    content: dict[str, object]


class CatalogueTable:
    """Validates and applies changes; each is applied atomically."""

    def __init__(self) -> None:
        self.published = Catalogue(version=0)
        # By kind and name.
        self.recent: RecentChanges[tuple[str, str]] = RecentChanges()
        self._history: deque[HistoryRecord] = deque(maxlen=HISTORY_LIMIT)
        self._verdicts = VerdictTable()
        self._references = References()
        self._encoded: tuple[int, bytes] = (-1, b'')

    def change(self, command: ChangeCatalogue, now: float) -> Verdict:
        """Return the verdict on a change; a resend gets the original one."""
        author = Author(command.operator, command.administrator)
        try:
            content = parse_change(command.change)
        except ChangeError as error:
            return self._make_invalid('', error.findings)
        change_id = content.get('change_id')
        if not isinstance(change_id, str):
            return self._make_invalid('', check_shape(content))
        digest = hashlib.sha256(digest_change(author, content)).hexdigest()
        stored = self._verdicts.get(change_id)
        if stored is not None:
            return self._answer_resend(stored, digest)
        id_status = self._verdicts.check_id(change_id, now)
        if id_status == 'too_old':
            return Verdict(
                change_id=change_id,
                outcome='too_old',
                version=self.published.version,
            )
        verdict = self._decide(
            _NewChange(change_id, author, dict(content)),
            id_status,
            now,
        )
        self._verdicts.store(StoredVerdict(digest, verdict), now)
        return verdict

    def encode(self) -> bytes:
        """Return the catalogue as JSON; the result is cached by version."""
        catalogue = self.published
        encoded = self._encoded
        if encoded[0] != catalogue.version:
            encoded = (catalogue.version, encode_json(catalogue))
            self._encoded = encoded
        return encoded[1]

    def list_history(self) -> tuple[HistoryRecord, ...]:
        """Return the stored accepted changes, oldest first."""
        return tuple(self._history)

    def expire(self, now: float) -> None:
        """Evict verdicts whose retention period has ended."""
        self._verdicts.expire(now)

    def dump(self) -> CatalogueSnapshot:
        """Return the snapshot."""
        return CatalogueSnapshot(
            self.published,
            tuple(self._history),
            self._verdicts.dump(),
        )

    def load(self, snapshot: CatalogueSnapshot) -> None:
        """Restore a snapshot."""
        self.published = snapshot.catalogue
        self.recent.clear(snapshot.catalogue.version)
        self._references.load(snapshot.catalogue)
        self._history = deque(snapshot.history, maxlen=HISTORY_LIMIT)
        self._verdicts.load(snapshot.verdicts)

    def _answer_resend(self, stored: StoredVerdict, digest: str) -> Verdict:
        if stored.digest == digest:
            return stored.verdict
        reason = 'the id was used for another change'
        finding = ChangeFinding(path='change_id', reason=reason)
        return self._make_invalid(stored.verdict.change_id, [finding])

    def _decide(
        self, request: _NewChange, id_status: str, now: float
    ) -> Verdict:
        findings = list(check_shape(request.content))
        if id_status != 'current':
            reason = {
                'from_future': 'its time is in the future',
                'malformed': 'does not begin with a valid UTC time',
            }[id_status]
            findings.append(ChangeFinding(path='change_id', reason=reason))
        base_version = request.content.get('base_version')
        current_version = self.published.version
        if isinstance(base_version, int):
            if base_version < current_version and not findings:
                return self._make_conflict(request.change_id, base_version)
            if base_version > current_version:
                reason = f'the present version is {current_version}'
                findings.append(
                    ChangeFinding(path='base_version', reason=reason)
                )
        return self._apply_edits(request, findings, now)

    def _apply_edits(
        self,
        request: _NewChange,
        findings: Sequence[ChangeFinding],
        now: float,
    ) -> Verdict:
        edits = request.content.get('edits')
        draft = Draft(self.published, request.author, self._references)
        try:
            draft.apply_edits(edits if isinstance(edits, list) else [])
            edited = draft.build(findings)
        except ChangeError as error:
            return Verdict(
                change_id=request.change_id,
                outcome='forbidden' if error.forbidden else 'invalid',
                version=self.published.version,
                findings=error.findings,
            )
        return self._accept(request, draft, edited, now)

    def _accept(
        self,
        request: _NewChange,
        draft: Draft,
        edited: Catalogue,
        now: float,
    ) -> Verdict:
        differences = draft.list_differences()
        self._references.update(
            draft.list_changed_keys(),
            self.published,
            edited,
        )
        self.published = edited
        self.recent.add(
            edited.version,
            [(changed.kind, changed.name) for changed in differences],
        )
        self._history.append(
            HistoryRecord(
                version=edited.version,
                operator=request.author.operator,
                time=datetime.fromtimestamp(now, UTC).isoformat(),
                change_id=request.change_id,
                reason=str(request.content.get('reason')),
                differences=differences,
            )
        )
        return Verdict(
            change_id=request.change_id,
            outcome='accepted',
            version=edited.version,
        )

    def _make_conflict(self, change_id: str, base_version: int) -> Verdict:
        later = [
            record for record in self._history if record.version > base_version
        ]
        findings = []
        if len(later) < self.published.version - base_version:
            reason = 'older than the history; not all differences are listed'
            findings.append(ChangeFinding(path='base_version', reason=reason))
        return Verdict(
            change_id=change_id,
            outcome='conflict',
            version=self.published.version,
            findings=tuple(findings),
            differences=merge_differences(
                [record.differences for record in later]
            ),
        )

    def _make_invalid(
        self,
        change_id: str,
        findings: Sequence[ChangeFinding],
    ) -> Verdict:
        return Verdict(
            change_id=change_id,
            outcome='invalid',
            version=self.published.version,
            findings=tuple(findings),
        )
