"""State updates for instances."""

import time
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from shallotgate.codec import encode_json
from shallotgate.control._sessions import ListedInstances, SessionTable
from shallotgate.generated.catalogue import Catalogue
from shallotgate.generated.messages import (
    CatalogueDifference,
    EntryName,
    FetchState,
    InstancesDifference,
    OwnershipDifference,
    QuarantineDifference,
    StateUpdate,
)
from shallotgate.state import ENTRY_KINDS, StateChanges, TierState

_Names = Collection[str] | None
# Name, records and changed names; ``None`` where all may have changed.
_Part = tuple[str, Mapping[str, object], _Names]
# Type of the difference of each part of records by name.
_DIFFERENCES: Mapping[str, Callable[..., object]] = MappingProxyType(
    {
        'ownership': OwnershipDifference,
        'quarantine': QuarantineDifference,
        'instances': InstancesDifference,
    }
)


def make_update(
    state: TierState,
    sessions: SessionTable,
    request: FetchState,
) -> StateUpdate:
    """Return the parts that differ from what the request names.

    A part is a difference where the record of changes reaches back to the
    version that the instance has, and whole otherwise or where the difference
    has as many entries as the part.
    """
    changes = state.list_changes(request.versions)
    listed = sessions.list_changes(request.instances_version, time.monotonic())
    parts: dict[str, Any] = {}
    for part, records, names in _list_newer(changes, listed, request):
        parts |= _make_records(part, records, names, whole=request.whole)
    update = StateUpdate(
        versions=changes.applied.versions,
        term=0,
        instances_version=listed.version,
        base=request.versions,
        base_instances_version=request.instances_version,
        **parts,
    )
    if update.versions.catalogue == request.versions.catalogue:
        return update
    return _add_catalogue(update, changes, state, request)


def _add_catalogue(
    update: StateUpdate,
    changes: StateChanges,
    state: TierState,
    request: FetchState,
) -> StateUpdate:
    names = changes.catalogue
    catalogue = changes.applied.catalogue
    size = sum(len(getattr(catalogue, kind)) for kind in ENTRY_KINDS)
    if request.whole or names is None or len(names) >= size:
        # The catalogue may be newer than the other parts by now.
        newer, encoded = state.encode_catalogue()
        versions = replace(update.versions, catalogue=newer.catalogue)
        return replace(update, versions=versions, catalogue=encoded)
    difference = _diff_catalogue(catalogue, names)
    return replace(update, catalogue_difference=difference)


def _diff_catalogue(
    catalogue: Catalogue,
    names: Collection[tuple[str, str]],
) -> CatalogueDifference:
    put: dict[str, dict[str, Any]] = {kind: {} for kind in ENTRY_KINDS}
    removed = []
    for kind, name in names:
        entry = getattr(catalogue, kind).get(name)
        if entry is None:
            removed.append(EntryName(kind=kind, name=name))
        else:
            put[kind][name] = entry
    entries = Catalogue(version=catalogue.version, **put)
    return CatalogueDifference(put=encode_json(entries), removed=removed)


def _list_newer(
    changes: StateChanges,
    listed: ListedInstances,
    request: FetchState,
) -> Iterator[_Part]:
    """Yield name, records and changed names of each newer part."""
    applied = changes.applied
    if applied.versions.ownership != request.versions.ownership:
        yield 'ownership', applied.ownership, changes.ownership
    if applied.versions.quarantine != request.versions.quarantine:
        yield 'quarantine', applied.quarantine, changes.quarantine
    if listed.version != request.instances_version:
        yield 'instances', listed.records, listed.names


def _make_records(
    part: str,
    records: Mapping[str, object],
    names: _Names,
    *,
    whole: bool,
) -> dict[str, Any]:
    """Return the fields of a part of records by name, whole or different."""
    if whole or names is None or len(names) >= len(records):
        return {part: tuple(records.values())}
    difference = _DIFFERENCES[part](
        put=[records[name] for name in names if name in records],
        removed=[name for name in names if name not in records],
    )
    return {f'{part}_difference': difference}
