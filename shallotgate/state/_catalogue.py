"""The catalogue, its history and the verdicts on changes."""

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
    KeptVerdict,
    VerdictContent,
    VerdictTable,
)

HISTORY_LIMIT = 1000


@dataclass(frozen=True)
class CatalogueContent:
    """The part's snapshot."""

    catalogue: Catalogue
    history: Sequence[HistoryRecord]
    verdicts: VerdictContent


@dataclass(frozen=True)
class _Request:
    """A change whose id is in order and has no verdict."""

    change_id: str
    author: Author
    content: dict[str, object]


class CatalogueTable:
    """Decides on changes; a change takes effect as a whole or not at all."""

    def __init__(self) -> None:
        self.published = Catalogue(version=0)
        # By kind and name.
        self.recent: RecentChanges[tuple[str, str]] = RecentChanges()
        self._history: deque[HistoryRecord] = deque(maxlen=HISTORY_LIMIT)
        self._verdicts = VerdictTable()
        self._references = References()
        self._encoded: tuple[int, bytes] = (-1, b'')

    def change(self, command: ChangeCatalogue, now: float) -> Verdict:
        """Return the verdict on a change, the first one for a resend."""
        author = Author(command.operator, command.administrator)
        try:
            content = parse_change(command.change)
        except ChangeError as error:
            return self._make_invalid('', error.findings)
        change_id = content.get('change_id')
        if not isinstance(change_id, str):
            return self._make_invalid('', check_shape(content))
        digest = hashlib.sha256(digest_change(author, content)).hexdigest()
        kept = self._verdicts.get(change_id)
        if kept is not None:
            return self._repeat(kept, digest)
        standing = self._verdicts.judge(change_id, now)
        if standing == 'too_old':
            return Verdict(
                change_id=change_id,
                outcome='too_old',
                version=self.published.version,
            )
        verdict = self._judge(
            _Request(change_id, author, dict(content)),
            standing,
            now,
        )
        self._verdicts.keep(KeptVerdict(digest, verdict), now)
        return verdict

    def encode(self) -> bytes:
        """Return the JSON of the catalogue."""
        catalogue = self.published
        encoded = self._encoded
        if encoded[0] != catalogue.version:
            encoded = (catalogue.version, encode_json(catalogue))
            self._encoded = encoded
        return encoded[1]

    def list_history(self) -> tuple[HistoryRecord, ...]:
        """Return the accepted changes that are kept, the oldest first."""
        return tuple(self._history)

    def expire(self, now: float) -> None:
        """Drop verdicts on ids that are too old."""
        self._verdicts.expire(now)

    def dump(self) -> CatalogueContent:
        """Return the snapshot."""
        return CatalogueContent(
            self.published,
            tuple(self._history),
            self._verdicts.dump(),
        )

    def load(self, content: CatalogueContent) -> None:
        """Take over a snapshot."""
        self.published = content.catalogue
        self.recent.clear(content.catalogue.version)
        self._references.load(content.catalogue)
        self._history = deque(content.history, maxlen=HISTORY_LIMIT)
        self._verdicts.load(content.verdicts)

    def _repeat(self, kept: KeptVerdict, digest: str) -> Verdict:
        if kept.digest == digest:
            return kept.verdict
        reason = 'the id was used for another change'
        finding = ChangeFinding(path='change_id', reason=reason)
        return self._make_invalid(kept.verdict.change_id, [finding])

    def _judge(self, request: _Request, standing: str, now: float) -> Verdict:
        findings = list(check_shape(request.content))
        if standing != 'current':
            reason = {
                'from_future': 'its time is in the future',
                'malformed': 'does not begin with a valid UTC time',
            }[standing]
            findings.append(ChangeFinding(path='change_id', reason=reason))
        base_version = request.content.get('base_version')
        present = self.published.version
        if isinstance(base_version, int):
            if base_version < present and not findings:
                return self._make_conflict(request.change_id, base_version)
            if base_version > present:
                reason = f'the present version is {present}'
                findings.append(
                    ChangeFinding(path='base_version', reason=reason)
                )
        return self._try(request, findings, now)

    def _try(
        self,
        request: _Request,
        findings: Sequence[ChangeFinding],
        now: float,
    ) -> Verdict:
        edits = request.content.get('edits')
        draft = Draft(self.published, request.author, self._references)
        try:
            draft.edit_all(edits if isinstance(edits, list) else [])
            edited = draft.finish(findings)
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
        request: _Request,
        draft: Draft,
        edited: Catalogue,
        now: float,
    ) -> Verdict:
        differences = draft.list_differences()
        self._references.update(
            draft.list_touched(),
            self.published,
            edited,
        )
        self.published = edited
        self.recent.note(
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
