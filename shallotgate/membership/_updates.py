"""Making a new view from a state update."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from shallotgate.codec import decode_json
from shallotgate.generated.catalogue import Catalogue
from shallotgate.generated.messages import StateUpdate, Versions
from shallotgate.membership._view import View, list_places


def covers(present: Versions, named: Versions | None) -> bool:
    """Return whether all parts are at the named versions or newer.

    >>> covers(Versions(catalogue=2), Versions(catalogue=1))
    True
    >>> covers(Versions(catalogue=2), Versions(quarantine=1))
    False
    """
    if named is None:
        return False
    return (
        present.catalogue >= named.catalogue
        and present.ownership >= named.ownership
        and present.quarantine >= named.quarantine
    )


def update_view(view: View, update: StateUpdate) -> View:
    """Return the view with the newer parts of an update.

    A part older than the present one is left out, because versions never go
    back. Raises ``CodecError`` if the catalogue can't be decoded.
    """
    present = view.versions
    named = update.versions
    parts: dict[str, Any] = {}
    versions: dict[str, int] = {}
    if update.catalogue is not None and named.catalogue > present.catalogue:
        catalogue = decode_json(update.catalogue, Catalogue)
        parts.update(catalogue=catalogue, places=list_places(catalogue))
        versions['catalogue'] = named.catalogue
    if update.ownership is not None and named.ownership > present.ownership:
        parts['ownership'] = _index(update.ownership, 'target')
        versions['ownership'] = named.ownership
    if update.quarantine is not None and named.quarantine > present.quarantine:
        parts['quarantine'] = _index(update.quarantine, 'digest')
        versions['quarantine'] = named.quarantine
    if update.instances is not None:
        parts['instances'] = _index(update.instances, 'instance')
    return replace(view, versions=replace(present, **versions), **parts)


def _index(records: Sequence[object], field: str) -> Mapping[str, Any]:
    return MappingProxyType(
        {getattr(record, field): record for record in records}
    )
