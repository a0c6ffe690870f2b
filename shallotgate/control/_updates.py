"""State updates for instances."""

import time
from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import Any, TypeVar

from shallotgate.codec import encode_json
from shallotgate.control._sessions import SessionTable
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
from shallotgate.state import StateChanges, TierState

_KINDS = ('callers', 'classes', 'services', 'domains')

_Entry = TypeVar('_Entry')


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
    update = StateUpdate(
        versions=changes.applied.versions,
        term=0,
        base=request.versions,
        base_instances_version=request.instances_version,
        **_make_ownership(changes, request),
        **_make_quarantine(changes, request),
        **_make_instances(sessions, request),
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
    size = sum(len(getattr(catalogue, kind)) for kind in _KINDS)
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
    put: dict[str, dict[str, Any]] = {kind: {} for kind in _KINDS}
    removed = []
    for kind, name in names:
        entry = getattr(catalogue, kind).get(name)
        if entry is None:
            removed.append(EntryName(kind=kind, name=name))
        else:
            put[kind][name] = entry
    entries = Catalogue(version=catalogue.version, **put)
    return CatalogueDifference(put=encode_json(entries), removed=removed)


def _make_ownership(
    changes: StateChanges,
    request: FetchState,
) -> dict[str, Any]:
    applied = changes.applied
    if applied.versions.ownership == request.versions.ownership:
        return {}
    names = changes.ownership
    if request.whole or names is None or len(names) >= len(applied.ownership):
        return {'ownership': tuple(applied.ownership.values())}
    put, removed = _split(applied.ownership, names)
    difference = OwnershipDifference(put=put, removed=removed)
    return {'ownership_difference': difference}


def _make_quarantine(
    changes: StateChanges,
    request: FetchState,
) -> dict[str, Any]:
    applied = changes.applied
    if applied.versions.quarantine == request.versions.quarantine:
        return {}
    names = changes.quarantine
    if request.whole or names is None or len(names) >= len(applied.quarantine):
        return {'quarantine': tuple(applied.quarantine.values())}
    put, removed = _split(applied.quarantine, names)
    difference = QuarantineDifference(put=put, removed=removed)
    return {'quarantine_difference': difference}


def _make_instances(
    sessions: SessionTable,
    request: FetchState,
) -> dict[str, Any]:
    known = request.instances_version
    listed = sessions.list_changes(known, time.monotonic())
    parts: dict[str, Any] = {'instances_version': listed.version}
    if listed.version == known:
        return parts
    names = listed.names
    if request.whole or names is None or len(names) >= len(listed.records):
        return {**parts, 'instances': tuple(listed.records.values())}
    put, removed = _split(listed.records, names)
    difference = InstancesDifference(put=put, removed=removed)
    return {**parts, 'instances_difference': difference}


def _split(
    entries: Mapping[str, _Entry],
    names: Collection[str],
) -> tuple[list[_Entry], list[str]]:
    """Return the present entries and the names of those that are gone."""
    put = [entries[name] for name in names if name in entries]
    return put, [name for name in names if name not in entries]
