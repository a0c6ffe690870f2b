"""Sizes and contents of the tables that entries receive."""

import copy
import json
import random
import zlib

import pytest

from shallotgate.codec import encode_tagged
from shallotgate.document_differences import apply_difference
from shallotgate.registry._state import Registry
from shallotgate.registry._table_differences import TableDifferences

# Bytes of an update. Entries have 7 to 10 Mbit/s for all that they receive.
MAX_DELTA_BYTES = 1000


def make_table(seed=1):
    """Return a table of the size that the largest deployment may have."""
    generator = random.Random(seed)

    def name():
        return f'{generator.getrandbits(48):012x}'

    services = [name() for _ in range(300)]
    return {
        'version': 1,
        'accounts': [
            {'name': name(), 'keys': [name() * 3], 'burst': 4}
            for _ in range(400)
        ],
        'routes': [
            {
                'name': name(),
                'prefix': f'/{number}/',
                'shards': generator.sample(services, generator.randint(36, 54)),
            }
            for number in range(1100)
        ],
        'services': [{'name': one, 'connections': 71} for one in services],
    }


ACCOUNT = {'name': 'one more', 'keys': ['fedcba9876543210' * 2]}


def change_all(table, place):
    for one in (0, place, -1):
        for change in CHANGES:
            change(table, one)


CHANGES = (
    lambda table, place: table['accounts'][place].update(keys=['k' * 32]),
    lambda table, place: table['routes'][place]['shards'].insert(9, 'other'),
    lambda table, place: table['accounts'].insert(place, ACCOUNT),
    lambda table, place: table['accounts'].pop(place),
    lambda table, place: table['routes'].append(table['routes'].pop(place)),
)
TABLE = make_table()


def encode(**changes):
    return json.dumps({**TABLE, **changes}).encode()


def make_registry(document, version):
    return Registry(version=version, document=zlib.compress(document))


def make_delta(before, after, *, merges):
    """Return the update from one document to the next, versions 1 and 2."""
    tables = TableDifferences()
    tables.make_update(make_registry(before, 1), -1, merges=merges)
    return tables.make_update(make_registry(after, 2), 1, merges=merges)


@pytest.mark.parametrize('indent', [None, 2])
@pytest.mark.parametrize('place', [0, 399, 200])
@pytest.mark.parametrize('change', [*CHANGES, change_all])
def test_change_of_a_large_table_is_a_small_delta(change, place, indent):
    """Guards against sending a whole table for one key to each entry.

    zlib finds repetitions within 32 KB only, and the table has 900 KB.
    """
    table = copy.deepcopy(TABLE)
    table['version'] = 2
    change(table, place)
    before, after = (
        json.dumps(one, indent=indent).encode() for one in (TABLE, table)
    )
    assert len(before) > 500_000
    update = make_delta(before, after, merges=True)
    assert (update.version, update.base_version) == (2, 1)
    assert len(encode_tagged(update)) < MAX_DELTA_BYTES
    assert apply_difference(before, update.difference) == after


def test_entry_of_the_previous_build_gets_what_it_can_read():
    """Guards against deltas that an entry can't apply during an update."""
    after = encode(version=2)
    update = make_delta(encode(), after, merges=False)
    assert update.difference is None
    unpacker = zlib.decompressobj(zdict=encode())
    assert unpacker.decompress(update.document) == after


@pytest.mark.parametrize('merges', [True, False])
def test_new_leader_sends_the_first_change_as_a_delta(merges):
    """Guards against whole tables after each change of the leader."""
    tables = TableDifferences()
    first = make_registry(encode(), 1)
    assert tables.make_update(first, 1, merges=merges) is None
    second = make_registry(encode(version=2), 2)
    assert tables.make_update(second, 1, merges=merges).base_version == 1
    assert tables.make_update(second, 2, merges=merges) is None


@pytest.mark.parametrize('known', [-1, 0])
@pytest.mark.parametrize('merges', [True, False])
def test_entry_with_another_table_gets_the_whole(known, merges):
    registry = make_registry(b'table', 2)
    update = TableDifferences().make_update(registry, known, merges=merges)
    assert update.base_version == -1
    assert zlib.decompress(update.document) == b'table'


def test_leader_without_a_table_has_none_to_send():
    tables = TableDifferences()
    assert tables.make_update(Registry(), -1, merges=True) is None


def test_delta_is_made_once_for_all_entries(monkeypatch):
    """Guards against a leader that compresses the table for each entry."""
    tables = TableDifferences()
    tables.make_update(make_registry(encode(), 1), 1, merges=False)
    second = make_registry(encode(version=2), 2)
    updates = {
        id(tables.make_update(second, 1, merges=merges))
        for merges in (True, False, True, False)
    }
    assert len(updates) == 2
