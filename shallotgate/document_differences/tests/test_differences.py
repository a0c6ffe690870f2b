"""Differences of documents from other ones."""

import random
import zlib

import pytest

from shallotgate.document_differences import apply_difference, make_difference
from shallotgate.errors import BaseVersionMismatchError

PIECES = [b'{"a":1}', b'{', b'', b'x' * 30, b'{"long": "' + b'y' * 40 + b'"},']


def make_document(generator):
    return b''.join(generator.choices(PIECES, k=generator.randint(0, 12)))


@pytest.mark.parametrize('seed', range(100))
def test_difference_gives_the_document(seed):
    """Guards against documents that are cut, repeated or out of order."""
    generator = random.Random(seed)
    base, document = make_document(generator), make_document(generator)
    difference = make_difference(base, document)
    assert apply_difference(base, difference) == document
    same = make_difference(base, base)
    assert apply_difference(base, same) == base


# The last one differs where no dictionary is read.
@pytest.mark.parametrize(
    'other', [b'', b'{"a": 1}', b'{"x": "' + b'y' * 9000 + b'z"}']
)
def test_difference_from_another_base_is_recognised(other):
    """Guards against an entry that activates a table nobody published."""
    base = b'{"x": "' + b'y' * 9000 + b'x"}'
    difference = make_difference(base, base + b'{"b": 2}')
    with pytest.raises((BaseVersionMismatchError, zlib.error)):
        apply_difference(other, difference)


def test_objects_that_moved_are_not_sent_again():
    objects = [b'{"name": "object number %d"},' % count for count in range(900)]
    base = b''.join(objects)
    document = b''.join(objects[450:] + objects[:450])
    difference = make_difference(base, document)
    assert len(difference.offsets) < 4
    assert len(difference.text) < 40
