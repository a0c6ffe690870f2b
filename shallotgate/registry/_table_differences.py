"""Tables as differences from the version that a follower holds."""

import zlib
from collections import OrderedDict

from shallotgate.generated.messages import TableUpdate
from shallotgate.registry._state import Registry

# Cached documents that serve as compression dictionaries for followers that
# hold the same version.
_MAX_CACHED_DOCUMENTS = 8


class TableDifferences:
    """Compresses the active table against an older one; not thread-safe."""

    def __init__(self) -> None:
        self._documents: OrderedDict[int, bytes] = OrderedDict()

    def make_update(
        self,
        registry: Registry,
        known_version: int,
    ) -> TableUpdate | None:
        """Return the active table, or None if the follower holds it."""
        if registry.version <= known_version:
            return None
        document = self._decompress(registry)
        base = self._documents.get(known_version)
        if base is None:
            return TableUpdate(
                version=registry.version,
                document=registry.document,
            )
        compressor = zlib.compressobj(zdict=base)
        return TableUpdate(
            version=registry.version,
            base_version=known_version,
            document=compressor.compress(document) + compressor.flush(),
        )

    def _decompress(self, registry: Registry) -> bytes:
        document = self._documents.get(registry.version)
        if document is None:
            document = zlib.decompress(registry.document)
            self._documents[registry.version] = document
            while len(self._documents) > _MAX_CACHED_DOCUMENTS:
                self._documents.popitem(last=False)
        return document
