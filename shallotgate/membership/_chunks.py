"""Immutable mappings that are cheap to edit."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from typing import Any, TypeVar

import xxhash

# Chunks of 234 entries at 120,000 entries.
_CHUNKS = 512

_Entry = TypeVar('_Entry')


def _locate(name: str) -> int:
    # Not ``hash``, which orders the entries differently in each process.
    return xxhash.xxh3_64_intdigest(name.encode()) % _CHUNKS


class ChunkedMapping(Mapping[str, _Entry]):
    """A mapping whose edit copies only the chunks that it touches.

    A lookup takes longer than that of a dict, so it does not serve parts that
    are looked up for each candidate of an attempt.
    """

    __slots__ = ('_chunks',)

    def __init__(self, entries: Mapping[str, _Entry]) -> None:
        chunks: tuple[dict[str, _Entry], ...]
        chunks = tuple({} for _ in range(_CHUNKS))
        for name, entry in entries.items():
            chunks[_locate(name)][name] = entry
        self._chunks = chunks

    def __getitem__(self, name: str) -> _Entry:
        """Return an entry; raises ``KeyError``."""
        return self._chunks[_locate(name)][name]

    def __iter__(self) -> Iterator[str]:
        """Yield the names."""
        return chain.from_iterable(self._chunks)

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(map(len, self._chunks))

    def values(self) -> Any:
        """Return an iterator over the entries, without a lookup of each."""
        return chain.from_iterable(chunk.values() for chunk in self._chunks)

    def items(self) -> Any:
        """Return an iterator over names and entries."""
        return chain.from_iterable(chunk.items() for chunk in self._chunks)

    def edit(
        self,
        put: Mapping[str, _Entry],
        removed: Iterable[str],
    ) -> 'ChunkedMapping[_Entry]':
        """Return a mapping with entries removed and then others put."""
        removals = tuple(removed)
        chunks = list(self._chunks)
        touched = {_locate(name) for name in (*removals, *put)}
        for number in touched:
            chunks[number] = chunks[number].copy()
        for gone in removals:
            chunks[_locate(gone)].pop(gone, None)
        for name, entry in put.items():
            chunks[_locate(name)][name] = entry
        edited: ChunkedMapping[_Entry] = ChunkedMapping({})
        edited._chunks = tuple(chunks)  # noqa: SLF001
        return edited
