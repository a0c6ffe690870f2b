"""Construction of a view from a state update."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Any

from shallotgate.codec import decode_json
from shallotgate.errors import BaseVersionMismatchError
from shallotgate.generated.catalogue import Catalogue
from shallotgate.generated.messages import StateUpdate
from shallotgate.membership._chunks import ChunkedMapping
from shallotgate.membership._differences import edit_catalogue, edit_mapping
from shallotgate.membership._view import View, list_places

_PartBuilder = Callable[[View, StateUpdate], dict[str, Any]]
# Key field of the records of each part.
_KEYS: Mapping[str, str] = MappingProxyType(
    {
        'ownership': 'target',
        'quarantine': 'digest',
        'instances': 'instance',
    }
)


def update_view(
    view: View,
    update: StateUpdate,
    instances_version: int = 0,
) -> View:
    """Return the view with the newer parts of an update.

    Older parts are ignored, because versions never decrease. Raises
    ``CodecError`` if the catalogue can't be decoded, and
    ``BaseVersionMismatchError`` if a newer part is a difference that begins at
    another version than that of the view; no part is applied then.

    Args:
        view: Current view.
        update: Reply of the leader.
        instances_version: Version of the session table in the view.
    """
    current = view.versions
    offered = update.versions
    versions: dict[str, int] = {}
    parts: dict[str, Any] = {}
    for part, build in _PART_BUILDERS.items():
        version = getattr(offered, part)
        if version <= getattr(current, part):
            continue
        if getattr(update, f'{part}_difference') is not None:
            base = getattr(update.base, part, None)
            _check_base(part, base, getattr(current, part))
        elif getattr(update, part) is None:
            continue
        parts.update(build(view, update))
        versions[part] = version
    if update.instances_difference is not None:
        base = update.base_instances_version
        _check_base('instances', base, instances_version)
    parts.update(_make_records('instances', view, update))
    return replace(view, versions=replace(current, **versions), **parts)


def _check_base(part: str, base: int | None, current: int) -> None:
    if base != current:
        raise BaseVersionMismatchError(
            f'difference of {part} has base version {base}, not {current}'
        )


def _make_catalogue(view: View, update: StateUpdate) -> dict[str, Any]:
    difference = update.catalogue_difference
    if difference is not None:
        catalogue, places = edit_catalogue(
            view.catalogue,
            view.places,
            difference,
            update.versions.catalogue,
        )
        return {'catalogue': catalogue, 'places': places}
    catalogue = decode_json(update.catalogue or b'', Catalogue)
    places = ChunkedMapping(list_places(catalogue))
    return {'catalogue': catalogue, 'places': places}


def _make_records(
    part: str,
    view: View,
    update: StateUpdate,
) -> dict[str, Any]:
    """Return a part: updated by difference, replaced or unchanged."""
    current = getattr(view, part)
    difference = getattr(update, f'{part}_difference')
    if difference is not None:
        put = _index_by_key(part, difference.put)
        return {part: edit_mapping(current, put, difference.removed)}
    whole = getattr(update, part)
    return {part: current if whole is None else _index_by_key(part, whole)}


def _index_by_key(part: str, records: Sequence[object]) -> Mapping[str, Any]:
    key = _KEYS[part]
    return MappingProxyType(
        {getattr(record, key): record for record in records}
    )


_PART_BUILDERS: Mapping[str, _PartBuilder] = MappingProxyType(
    {
        'catalogue': _make_catalogue,
        'ownership': partial(_make_records, 'ownership'),
        'quarantine': partial(_make_records, 'quarantine'),
    }
)
