"""What the entries of a catalogue name, so that a change is checked alone."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping
from typing import Any

from shallotgate.generated.catalogue import Caller, Catalogue, Service
from shallotgate.state._crosschecks import list_entry_faults

# Kind and name.
EntryKey = tuple[str, str]
Kinds = Mapping[str, Mapping[str, Any]]


class References:
    """Unique values and users of entries in a catalogue without faults."""

    def __init__(self) -> None:
        # Entry that has a key, a target name or an address.
        self._holders: dict[tuple[str, str], EntryKey] = {}
        # Entries that name a class or a domain.
        self._users: defaultdict[EntryKey, set[EntryKey]] = defaultdict(set)

    def load(self, catalogue: Catalogue) -> None:
        """Start anew from a whole catalogue."""
        self._holders.clear()
        self._users.clear()
        for kind in ('callers', 'services'):
            for name, entry in getattr(catalogue, kind).items():
                self._add((kind, name), entry)

    def is_sound(
        self,
        touched: Collection[EntryKey],
        edited: Kinds,
    ) -> bool:
        """Return whether edits leave a catalogue without faults.

        It looks at the touched entries and at those that name them, which is
        enough as the catalogue had no faults before. ``edited`` is the
        catalogue after the edits.
        """
        taken: set[tuple[str, str]] = set()
        for key in touched:
            kind, name = key
            entry = edited[kind].get(name)
            if entry is None:
                if self._users.get(key, frozenset()) - set(touched):
                    return False
                continue
            if any(list_entry_faults(kind, name, entry, edited)):
                return False
            if not self._take_unique(key, entry, touched, taken):
                return False
        return True

    def update(
        self,
        touched: Collection[EntryKey],
        former: Catalogue,
        edited: Catalogue,
    ) -> None:
        """Take over accepted edits."""
        for key in touched:
            self._remove(key, getattr(former, key[0]).get(key[1]))
        for key in touched:
            self._add(key, getattr(edited, key[0]).get(key[1]))

    def _take_unique(
        self,
        key: EntryKey,
        entry: object,
        touched: Collection[EntryKey],
        taken: set[tuple[str, str]],
    ) -> bool:
        """Return whether nobody else has what must be unique."""
        for unique in _list_unique(entry):
            holder = self._holders.get(unique, key)
            # What a touched entry had is free unless it is taken again.
            if unique in taken or holder not in touched:
                return False
            taken.add(unique)
        return True

    def _add(self, key: EntryKey, entry: object) -> None:
        for unique in _list_unique(entry):
            self._holders[unique] = key
        for used in _list_used(entry):
            self._users[used].add(key)

    def _remove(self, key: EntryKey, entry: object) -> None:
        for unique in _list_unique(entry):
            self._holders.pop(unique, None)
        for used in _list_used(entry):
            users = self._users[used]
            users.discard(key)
            if not users:
                self._users.pop(used)


def _list_unique(entry: object) -> Iterator[tuple[str, str]]:
    if isinstance(entry, Caller):
        yield 'key_sha256', entry.key_sha256
    elif isinstance(entry, Service):
        for target in entry.targets:
            yield 'name', target.name
            yield 'address', target.address


def _list_used(entry: object) -> frozenset[EntryKey]:
    if isinstance(entry, Caller):
        return frozenset(('classes', name) for name in entry.classes)
    if isinstance(entry, Service):
        return frozenset(('domains', one.domain) for one in entry.targets)
    return frozenset()
