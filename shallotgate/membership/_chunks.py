"""Immutable mappings with cheap copy-on-write edits."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from typing import Any, TypeVar

import xxhash

# Gives 234 entries per chunk at 120,000 entries.
_CHUNK_COUNT = 512

_Entry = TypeVar('_Entry')


def _find_chunk(name: str) -> int:
    # ``hash`` is randomized, so the order would differ between processes.
    return xxhash.xxh3_64_intdigest(name.encode()) % _CHUNK_COUNT


class ChunkedMapping(Mapping[str, _Entry]):
    """Mapping whose edits copy only the affected chunks.

    Lookups are slower than in a dict, so it is not used for data that is
    looked up for each candidate of an attempt.
    """

    __slots__ = ('_chunks',)

    def __init__(self, entries: Mapping[str, _Entry]) -> None:
        chunks: tuple[dict[str, _Entry], ...]
        chunks = tuple({} for _ in range(_CHUNK_COUNT))
        for name, entry in entries.items():
            chunks[_find_chunk(name)][name] = entry
        self._chunks = chunks

    def __getitem__(self, name: str) -> _Entry:
        """Return an entry; raises ``KeyError``."""
        return self._chunks[_find_chunk(name)][name]

    def __iter__(self) -> Iterator[str]:
        """Yield the names."""
        return chain.from_iterable(self._chunks)

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(map(len, self._chunks))

    def values(self) -> Any:
        """Return an iterator over the entries, without lookups."""
        return chain.from_iterable(chunk.values() for chunk in self._chunks)

    def items(self) -> Any:
        """Return an iterator over names and entries."""
        return chain.from_iterable(chunk.items() for chunk in self._chunks)

    def edit(
        self,
        put: Mapping[str, _Entry],
        removed: Iterable[str],
    ) -> 'ChunkedMapping[_Entry]':
        """Return a copy after removals, which precede insertions."""
        removals = tuple(removed)
        chunks = list(self._chunks)
        touched = {_find_chunk(name) for name in (*removals, *put)}
        for number in touched:
            chunks[number] = chunks[number].copy()
        for name in removals:
            chunks[_find_chunk(name)].pop(name, None)
        for name, entry in put.items():
            chunks[_find_chunk(name)][name] = entry
        edited: ChunkedMapping[_Entry] = ChunkedMapping({})
        edited._chunks = tuple(chunks)  # noqa: SLF001
        return edited
