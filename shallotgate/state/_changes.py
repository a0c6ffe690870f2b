"""Stateless validation of one catalogue change."""

import re
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain
from typing import Any

import msgspec

from shallotgate.codec import CodecError, dump_builtins, load_builtins
from shallotgate.generated import catalogue as schema
from shallotgate.generated.catalogue import (
    Catalogue,
    ChangeFinding,
    Difference,
    Edit,
)
from shallotgate.state._crosschecks import CrossFault, list_cross_faults
from shallotgate.state._references import EntryKey, References
from shallotgate.state._schema import DEFINITIONS, list_findings

_MAX_CHANGE_BYTES = 4 * 1024 * 1024
# Most nested levels of JSON. The depth at which decoding fails depends on the
# stack of the caller, so members could disagree; valid changes nest much less.
_MAX_DEPTH = 32
_BRACKETS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]')
_OPENING = (b'[', b'{')
_CLOSING = (b']', b'}')


class ChangeError(Exception):
    """A change is invalid or forbidden; holds all of the findings."""

    def __init__(
        self,
        findings: Sequence[ChangeFinding],
        *,
        forbidden: bool = False,
    ) -> None:
        super().__init__(findings)
        self.findings = tuple(findings)
        self.forbidden = forbidden


@dataclass(frozen=True)
class Author:
    """Operator who makes a change."""

    operator: str
    administrator: bool


def _make_error(path: str, reason: str) -> ChangeError:
    return ChangeError([ChangeFinding(path=path, reason=reason)])


def _measure_depth(encoded: bytes) -> int:
    depth = 0
    deepest = 0
    for match in _BRACKETS.finditer(encoded):
        token = match.group()
        if token in _OPENING:
            depth += 1
            deepest = max(deepest, depth)
        elif token in _CLOSING:
            depth -= 1
    return deepest


def parse_change(encoded: bytes) -> Mapping[str, Any]:
    """Decode the JSON of a change; raises ``ChangeError``."""
    if len(encoded) > _MAX_CHANGE_BYTES:
        raise _make_error('', f'larger than {_MAX_CHANGE_BYTES} bytes')
    if _measure_depth(encoded) > _MAX_DEPTH:
        raise _make_error('', f'nested more than {_MAX_DEPTH} deep')
    try:
        return msgspec.json.decode(encoded, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _make_error('', f'not a JSON object: {error}') from error


def check_shape(content: Mapping[str, Any]) -> tuple[ChangeFinding, ...]:
    """Validate a change and the entries in it against the schema."""
    findings = list(list_findings(content, 'Change'))
    edits = content.get('edits')
    if isinstance(edits, list):
        for position, edit in enumerate(edits):
            findings.extend(_check_spec(edit, f'edits/{position}/spec'))
    return tuple(findings)


def _check_spec(edit: object, path: str) -> Iterator[ChangeFinding]:
    if not isinstance(edit, dict) or edit.get('op') != 'put':
        return
    kind = edit.get('kind')
    definition = DEFINITIONS.get(kind) if isinstance(kind, str) else None
    if definition is not None:
        yield from list_findings(edit.get('spec', {}), definition, path)


class Draft:
    """Applies edits in order to a copy of a catalogue.

    Only the edited kinds are copied.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        author: Author,
        references: References,
    ) -> None:
        self._base = catalogue
        self._author = author
        self._references = references
        self._kinds: dict[str, Mapping[str, Any]] = {
            kind: getattr(catalogue, kind) for kind in DEFINITIONS
        }
        self._copies: dict[str, dict[str, Any]] = {}
        # Index of the last edit of each entry.
        self._positions: dict[EntryKey, int] = {}
        self._findings: list[ChangeFinding] = []
        self._forbidden = False

    def apply_edits(self, edits: Sequence[object]) -> None:
        """Apply the edits; those that don't match the schema are skipped."""
        for position, content in enumerate(edits):
            path = f'edits/{position}'
            if any(list_findings(content, 'Edit')):
                continue
            edit = load_builtins(content, Edit)
            self._check_permission(edit, path)
            if any(_check_spec(content, path)):
                continue
            self._positions[edit.kind, edit.name] = position
            if edit.op == 'put':
                self._put_entry(edit, path)
            elif self._copy_kind(edit.kind).pop(edit.name, None) is None:
                self._add_finding(f'{path}/name', 'no such entry to remove')

    def build(self, shape_findings: Sequence[ChangeFinding]) -> Catalogue:
        """Return the new catalogue; raises ``ChangeError``.

        ``shape_findings`` are the findings of the schema, listed first.
        """
        edited = replace(
            self._base,
            version=self._base.version + 1,
            **self._copies,
        )
        if not self._references.is_valid(self._positions, self._kinds):
            # Findings list every location of a fault, so the whole catalogue is
            # checked.
            self._findings.extend(
                ChangeFinding(path=self._locate(fault), reason=fault.reason)
                for fault in list_cross_faults(edited)
            )
        if shape_findings or self._findings:
            raise ChangeError(
                (*shape_findings, *self._findings),
                forbidden=self._forbidden,
            )
        return edited

    def list_changed_keys(self) -> Collection[EntryKey]:
        """Return the kind and name of each edited entry."""
        return self._positions.keys()

    def list_differences(self) -> tuple[Difference, ...]:
        """Return what the edits changed, in the order of the edits."""
        found = []
        for kind, name in self._positions:
            before = getattr(self._base, kind).get(name)
            after = self._kinds[kind].get(name)
            change = classify_difference(before, after)
            if change is not None:
                found.append(Difference(kind=kind, name=name, change=change))
        return tuple(found)

    def _check_permission(self, edit: Edit, path: str) -> None:
        if self._author.administrator:
            return
        present = self._kinds[edit.kind].get(edit.name)
        operator = self._author.operator
        if present is not None and present.owner != operator:
            self._forbidden = True
            self._add_finding(path, f'the entry is owned by {present.owner!r}')
        elif present is None and edit.op == 'put':
            owner = edit.spec.get('owner')
            # An owner that isn't a string is a finding of the schema.
            if isinstance(owner, str) and owner != operator:
                self._forbidden = True
                self._add_finding(
                    f'{path}/spec/owner',
                    f'a new entry must be owned by {operator!r}',
                )

    def _put_entry(self, edit: Edit, path: str) -> None:
        entry_type = getattr(schema, DEFINITIONS[edit.kind])
        try:
            entry = load_builtins(edit.spec, entry_type)
        except CodecError as error:
            # For example 2.0, which only JSON Schema accepts as an integer.
            self._add_finding(f'{path}/spec', str(error))
            return
        self._copy_kind(edit.kind)[edit.name] = entry

    def _copy_kind(self, kind: str) -> dict[str, Any]:
        if kind not in self._copies:
            self._copies[kind] = dict(self._kinds[kind])
            self._kinds[kind] = self._copies[kind]
        return self._copies[kind]

    def _add_finding(self, path: str, reason: str) -> None:
        self._findings.append(ChangeFinding(path=path, reason=reason))

    def _locate(self, fault: CrossFault) -> str:
        position = self._positions.get((fault.kind, fault.name))
        if position is not None:
            return f'edits/{position}/spec/{fault.path}'
        if fault.missing is not None:
            removal = self._positions.get(fault.missing)
            if removal is not None:
                return f'edits/{removal}'
        return f'{fault.kind}/{fault.name}/{fault.path}'


def classify_difference(before: object, after: object) -> Any:
    """Return 'added', 'changed' or 'removed', or None if nothing differs.

    >>> classify_difference(None, 1), classify_difference(1, None)
    ('added', 'removed')
    """
    if before == after:
        return None
    if before is None:
        return 'added'
    return 'removed' if after is None else 'changed'


def merge_differences(
    steps: Sequence[Sequence[Difference]],
) -> tuple[Difference, ...]:
    """Return the net differences of consecutive changes."""
    first: dict[tuple[str, str], str] = {}
    last: dict[tuple[str, str], str] = {}
    for difference in chain.from_iterable(steps):
        entry_key = (difference.kind, difference.name)
        first.setdefault(entry_key, difference.change)
        last[entry_key] = difference.change
    merged = []
    for entry_key, change in last.items():
        existed_before = first[entry_key] != 'added'
        net = classify_difference(
            before=1 if existed_before else None,
            after=None if change == 'removed' else 2,
        )
        if net is not None:
            kind, name = entry_key
            merged.append(Difference(kind=kind, name=name, change=net))
    return tuple(merged)


def digest_change(author: Author, content: Mapping[str, Any]) -> bytes:
    """Return a canonical encoding, which is equal only for resends."""
    return msgspec.json.encode(
        dump_builtins((author.operator, content)),
        order='sorted',
    )
