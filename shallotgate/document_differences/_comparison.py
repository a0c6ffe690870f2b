"""Comparison of a document with an older one."""

import zlib
from operator import add

from shallotgate.document_differences._vicinity import read_vicinity
from shallotgate.generated.messages import DocumentDifference

# Begins an object in JSON, thus each account, route and service of a table.
_SEPARATOR = b'{'
# A shorter copied part costs more than its text.
_MIN_PART_BYTES = 24


class _Base:
    """Pieces of the base with their places."""

    def __init__(self, document: bytes) -> None:
        self._pieces: list[bytes] = []
        self._offsets: list[int] = []
        # First piece of each content.
        self._places: dict[bytes, int] = {}
        offset = 0
        for place, piece in enumerate(_split(document)):
            self._pieces.append(piece)
            self._offsets.append(offset)
            self._places.setdefault(piece, place)
            offset += len(piece)

    def list_offsets(self, document: bytes) -> list[tuple[bytes, int]]:
        """Return the pieces of a document, and where the base has them.

        The offset of a piece that the base lacks is -1.
        """
        pieces = []
        likely_place = 0
        for piece in _split(document):
            place = self._find(piece, likely_place)
            if place < 0:
                pieces.append((piece, place))
                likely_place += 1
            else:
                pieces.append((piece, self._offsets[place]))
                likely_place = place + 1
        return pieces

    def _find(self, piece: bytes, likely_place: int) -> int:
        is_likely = (
            likely_place < len(self._pieces)
            and self._pieces[likely_place] == piece
        )
        return likely_place if is_likely else self._places.get(piece, -1)


class _Parts:
    """Copied parts of the base and the text between them."""

    def __init__(self) -> None:
        self.inserted: list[int] = []
        self.offsets: list[int] = []
        self.lengths: list[int] = []
        self.text = bytearray()
        # Where the last part ends in the base; -1 if text follows it.
        self._end = -1
        self._inserted_bytes = 0

    def add(self, piece: bytes, offset: int) -> None:
        """Add the next piece; the offset is -1 if the base lacks it."""
        if offset >= 0 and offset == self._end:
            self.lengths[-1] += len(piece)
            self._end += len(piece)
        elif offset < 0 or len(piece) < _MIN_PART_BYTES:
            self.text += piece
            self._inserted_bytes += len(piece)
            self._end = -1
        else:
            self.inserted.append(self._inserted_bytes)
            self.offsets.append(offset)
            self.lengths.append(len(piece))
            self._inserted_bytes = 0
            self._end = offset + len(piece)


def make_difference(base: bytes, document: bytes) -> DocumentDifference:
    """Return the difference of a document from a base.

    It is small if objects of a JSON document were changed, added, removed or
    moved. Otherwise it may be as large as the document.
    """
    parts = _Parts()
    for piece, offset in _Base(base).list_offsets(document):
        parts.add(piece, offset)
    ends = map(add, parts.offsets, parts.lengths)
    compressor = zlib.compressobj(zdict=read_vicinity(base, ends))
    return DocumentDifference(
        inserted=parts.inserted,
        offsets=parts.offsets,
        lengths=parts.lengths,
        text=compressor.compress(parts.text) + compressor.flush(),
        checksum=zlib.crc32(document),
    )


def _split(document: bytes) -> list[bytes]:
    first, *others = document.split(_SEPARATOR)
    return [first, *(_SEPARATOR + piece for piece in others)]
