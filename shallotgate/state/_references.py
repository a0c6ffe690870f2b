"""Index of references between catalogue entries, for incremental checks."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping
from typing import Any

from shallotgate.generated.catalogue import Caller, Catalogue, Service
from shallotgate.state._crosschecks import list_entry_faults

# Kind and name.
EntryKey = tuple[str, str]
Kinds = Mapping[str, Mapping[str, Any]]


class References:
    """Unique values and references in a valid catalogue."""

    def __init__(self) -> None:
        # Entry that holds a unique value: a key, target name or address.
        self._unique_holders: dict[tuple[str, str], EntryKey] = {}
        # Entries that refer to a class or a domain.
        self._referrers: defaultdict[EntryKey, set[EntryKey]] = defaultdict(set)

    def load(self, catalogue: Catalogue) -> None:
        """Rebuild the index from a whole catalogue."""
        self._unique_holders.clear()
        self._referrers.clear()
        for kind in ('callers', 'services'):
            for name, entry in getattr(catalogue, kind).items():
                self._add((kind, name), entry)

    def is_valid(
        self,
        changed_keys: Collection[EntryKey],
        edited: Kinds,
    ) -> bool:
        """Return whether the catalogue is valid after some edits.

        It checks only the changed entries and those that refer to them, which
        is sufficient because the catalogue was valid before. ``edited`` is the
        catalogue after the edits.
        """
        reserved: set[tuple[str, str]] = set()
        for key in changed_keys:
            kind, name = key
            entry = edited[kind].get(name)
            if entry is None:
                if self._referrers.get(key, frozenset()) - set(changed_keys):
                    return False
                continue
            if any(list_entry_faults(kind, name, entry, edited)):
                return False
            if not self._reserve_unique(key, entry, changed_keys, reserved):
                return False
        return True

    def update(
        self,
        changed_keys: Collection[EntryKey],
        former: Catalogue,
        edited: Catalogue,
    ) -> None:
        """Update the index after edits were accepted."""
        for key in changed_keys:
            self._remove(key, getattr(former, key[0]).get(key[1]))
        for key in changed_keys:
            self._add(key, getattr(edited, key[0]).get(key[1]))

    def _reserve_unique(
        self,
        key: EntryKey,
        entry: object,
        changed_keys: Collection[EntryKey],
        reserved: set[tuple[str, str]],
    ) -> bool:
        """Reserve the unique values of an entry, unless one is in use."""
        for unique in _list_unique(entry):
            holder = self._unique_holders.get(unique, key)
            # A value that a changed entry held before is free, unless another
            # changed entry has reserved it.
            if unique in reserved or holder not in changed_keys:
                return False
            reserved.add(unique)
        return True

    def _add(self, key: EntryKey, entry: object) -> None:
        for unique in _list_unique(entry):
            self._unique_holders[unique] = key
        for referenced in _list_referenced(entry):
            self._referrers[referenced].add(key)

    def _remove(self, key: EntryKey, entry: object) -> None:
        for unique in _list_unique(entry):
            self._unique_holders.pop(unique, None)
        for referenced in _list_referenced(entry):
            referrers = self._referrers[referenced]
            referrers.discard(key)
            if not referrers:
                self._referrers.pop(referenced)


def _list_unique(entry: object) -> Iterator[tuple[str, str]]:
    if isinstance(entry, Caller):
        yield 'key_sha256', entry.key_sha256
    elif isinstance(entry, Service):
        for target in entry.targets:
            yield 'name', target.name
            yield 'address', target.address


def _list_referenced(entry: object) -> frozenset[EntryKey]:
    if isinstance(entry, Caller):
        return frozenset(('classes', name) for name in entry.classes)
    if isinstance(entry, Service):
        return frozenset(('domains', target.domain) for target in entry.targets)
    return frozenset()
