"""Application of a difference to its base."""

import zlib
from operator import add

from shallotgate.document_differences._vicinity import read_vicinity
from shallotgate.errors import BaseVersionMismatchError
from shallotgate.generated.messages import DocumentDifference


def apply_difference(base: bytes, difference: DocumentDifference) -> bytes:
    """Return the document.

    Raises ``BaseVersionMismatchError`` if the difference has another base, and
    ``zlib.error`` if its text can't be read because of that.
    """
    places = list(zip(difference.offsets, difference.lengths, strict=True))
    ends = map(add, difference.offsets, difference.lengths)
    unpacker = zlib.decompressobj(zdict=read_vicinity(base, ends))
    text = unpacker.decompress(difference.text) + unpacker.flush()
    pieces = []
    used = 0
    for inserted, (offset, length) in zip(
        difference.inserted, places, strict=True
    ):
        pieces.append(text[used : used + inserted])
        pieces.append(base[offset : offset + length])
        used += inserted
    pieces.append(text[used:])
    document = b''.join(pieces)
    if zlib.crc32(document) != difference.checksum:
        raise BaseVersionMismatchError('the checksum of the document differs')
    return document
