"""State updates that the leader sends to instances."""

import time
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from shallotgate.codec import encode_json
from shallotgate.control._sessions import LiveInstances, SessionTable
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

_ChangedNames = Collection[str] | None
# Name of the part, its records and the changed names; the names are ``None`` if
# any record may have changed.
_PartChanges = tuple[str, Mapping[str, object], _ChangedNames]
# Message type of the difference of each part, by name of the part.
_DIFFERENCE_TYPES: Mapping[str, Callable[..., object]] = MappingProxyType(
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
    """Return the parts whose versions differ from those in the request.

    A part is sent as a difference if the log of recent changes reaches back to
    the version that the instance has. It is sent whole otherwise, or if the
    difference has as many entries as the part.
    """
    changes = state.list_changes(request.versions)
    live = sessions.list_changes(request.instances_version, time.monotonic())
    parts: dict[str, Any] = {}
    for part, records, names in _list_newer_parts(changes, live, request):
        parts |= _make_part_fields(part, records, names, whole=request.whole)
    update = StateUpdate(
        versions=changes.applied.versions,
        term=0,
        instances_version=live.version,
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
        # By now the catalogue may be newer than the other parts.
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


def _list_newer_parts(
    changes: StateChanges,
    live: LiveInstances,
    request: FetchState,
) -> Iterator[_PartChanges]:
    """Yield the changes of each part whose version differs."""
    applied = changes.applied
    if applied.versions.ownership != request.versions.ownership:
        yield 'ownership', applied.ownership, changes.ownership
    if applied.versions.quarantine != request.versions.quarantine:
        yield 'quarantine', applied.quarantine, changes.quarantine
    if live.version != request.instances_version:
        yield 'instances', live.records, live.names


def _make_part_fields(
    part: str,
    records: Mapping[str, object],
    names: _ChangedNames,
    *,
    whole: bool,
) -> dict[str, Any]:
    """Return the message fields of a part, whole or as a difference."""
    if whole or names is None or len(names) >= len(records):
        return {part: tuple(records.values())}
    difference = _DIFFERENCE_TYPES[part](
        put=[records[name] for name in names if name in records],
        removed=[name for name in names if name not in records],
    )
    return {f'{part}_difference': difference}
