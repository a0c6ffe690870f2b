"""Tables as differences from the version that a follower holds."""

import zlib
from collections import OrderedDict

from shallotgate.document_differences import make_difference
from shallotgate.generated.messages import DocumentDifference, TableUpdate
from shallotgate.registry._state import Registry

# Cached documents that serve as bases for followers that hold the same version.
_MAX_CACHED_DOCUMENTS = 8
# Bytes of the numbers that describe one part of a difference, at most.
_PART_BYTES = 15

_Key = tuple[int, int, bool]


class TableDifferences:
    """Makes the updates from older tables to the active one; not thread-safe.

    A table with hundreds of accounts has about a megabyte. zlib refers back
    32 KB only, so such a table takes a difference by parts.
    """

    def __init__(self) -> None:
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        # By active version, version of the follower, and whether it merges.
        self._updates: OrderedDict[_Key, TableUpdate] = OrderedDict()

    def make_update(
        self,
        registry: Registry,
        known_version: int,
        *,
        merges: bool,
    ) -> TableUpdate | None:
        """Return the active table, or None if the follower holds it.

        ``merges`` is whether the follower takes a ``DocumentDifference``; one
        of a build without them takes zlib with the base as its dictionary.
        """
        if registry.version < 0:
            return None
        # Also for a follower that holds it: it is the base of the next update.
        document = self._decompress(registry)
        if registry.version <= known_version:
            return None
        base = self._documents.get(known_version)
        if base is None:
            return TableUpdate(
                version=registry.version,
                document=registry.document,
            )
        key = (registry.version, known_version, merges)
        update = self._updates.get(key)
        if update is None:
            update = _compare(registry, document, base, key)
            self._updates[key] = update
            _limit(self._updates)
        return update

    def _decompress(self, registry: Registry) -> bytes:
        document = self._documents.get(registry.version)
        if document is None:
            document = zlib.decompress(registry.document)
            self._documents[registry.version] = document
            _limit(self._documents)
        return document


def _limit(
    cache: 'OrderedDict[int, bytes] | OrderedDict[_Key, TableUpdate]',
) -> None:
    while len(cache) > _MAX_CACHED_DOCUMENTS:
        cache.popitem(last=False)


def _compare(
    registry: Registry,
    document: bytes,
    base: bytes,
    key: _Key,
) -> TableUpdate:
    _, known_version, merges = key
    if merges:
        difference = make_difference(base, document)
        if _count_bytes(difference) < len(registry.document):
            return TableUpdate(
                version=registry.version,
                base_version=known_version,
                document=b'',
                difference=difference,
            )
    compressor = zlib.compressobj(zdict=base)
    return TableUpdate(
        version=registry.version,
        base_version=known_version,
        document=compressor.compress(document) + compressor.flush(),
    )


def _count_bytes(difference: DocumentDifference) -> int:
    return len(difference.text) + _PART_BYTES * len(difference.offsets)
