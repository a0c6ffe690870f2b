"""Sizes and contents of the tables that entries receive."""

import copy
import json
import random
import zlib

import pytest

from shallotgate.document_differences import apply_difference
from shallotgate.registry._state import Registry
from shallotgate.registry._table_differences import TableDifferences

# Bytes of an update, without those of the fields of other messages. Entries
# have 7 to 10 Mbit/s for all that they receive.
MAX_DELTA_BYTES = 1000


def make_name(generator):
    return f'{generator.getrandbits(48):012x}'


def make_table(accounts=400, routes=1100, services=300, seed=1):
    """Return a table of the size that the largest deployment may have."""
    generator = random.Random(seed)
    names = [make_name(generator) for _ in range(services)]
    return {
        'version': 1,
        'accounts': [
            {
                'name': f'account-{number}',
                'keys': [
                    f'{generator.getrandbits(128):032x}'
                    for _ in range(generator.randint(1, 3))
                ],
                'rate': generator.randint(1, 40),
            }
            for number in range(accounts)
        ],
        'routes': [
            {
                'name': make_name(generator),
                'host': 'a.example',
                'prefix': f'/{number}/',
                'timeout_ms': 400,
                'shards': generator.sample(names, generator.randint(36, 54)),
            }
            for number in range(routes)
        ],
        'services': [{'name': name, 'max_connections': 71} for name in names],
    }


def change_key(table, place):
    table['accounts'][place]['keys'] = ['0123456789abcdef' * 2]


def change_route(table, place):
    table['routes'][place]['shards'][7] = 'another'


def add_account(table, place):
    account = {'name': 'one more', 'keys': ['fedcba9876543210' * 2]}
    table['accounts'].insert(place, account)


def remove_account(table, place):
    table['accounts'].pop(place)


def move_route(table, place):
    table['routes'].append(table['routes'].pop(place))


def change_all_ends(table, place):
    change_key(table, 0)
    change_key(table, place)
    change_route(table, 0)
    change_route(table, -1)
    add_account(table, place)


TABLE = make_table()


def make_registry(document, version):
    return Registry(version=version, document=zlib.compress(document))


def encode(table, **style):
    return json.dumps(table, **style).encode()


def make_delta(before, after, *, merges):
    """Return the update from one document to the next, versions 1 and 2."""
    tables = TableDifferences()
    tables.make_update(make_registry(before, 1), -1, merges=merges)
    return tables.make_update(make_registry(after, 2), 1, merges=merges)


def count_bytes(update):
    difference = update.difference
    if difference is None:
        return len(update.document)
    # Each number takes at most 9 bytes.
    return len(difference.text) + 3 * 9 * len(difference.offsets)


@pytest.mark.parametrize(
    'style', [{}, {'indent': 2}, {'separators': (',', ':')}]
)
@pytest.mark.parametrize('place', [0, 399, 200])
@pytest.mark.parametrize(
    'change',
    [
        change_key,
        change_route,
        add_account,
        remove_account,
        move_route,
        change_all_ends,
    ],
)
def test_change_of_a_large_table_is_a_small_delta(change, place, style):
    """Guards against sending a whole table for one key to each entry.

    zlib finds repetitions within 32 KB only, and the table has 900 KB.
    """
    table = copy.deepcopy(TABLE)
    table['version'] = 2
    change(table, place)
    before, after = encode(TABLE, **style), encode(table, **style)
    assert len(before) > 500_000
    update = make_delta(before, after, merges=True)
    assert (update.version, update.base_version) == (2, 1)
    assert count_bytes(update) < MAX_DELTA_BYTES
    assert apply_difference(before, update.difference) == after


def test_entry_of_the_previous_build_gets_what_it_can_read():
    """Guards against deltas that an entry can't apply during an update."""
    after = encode({**TABLE, 'version': 2})
    update = make_delta(encode(TABLE), after, merges=False)
    assert update.difference is None
    unpacker = zlib.decompressobj(zdict=encode(TABLE))
    assert unpacker.decompress(update.document) == after


@pytest.mark.parametrize('merges', [True, False])
def test_new_leader_sends_the_first_change_as_a_delta(merges):
    """Guards against whole tables after each change of the leader."""
    tables = TableDifferences()
    first = make_registry(encode(TABLE), 1)
    assert tables.make_update(first, 1, merges=merges) is None
    second = make_registry(encode({**TABLE, 'version': 2}), 2)
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
    tables.make_update(make_registry(encode(TABLE), 1), 1, merges=False)
    second = make_registry(encode({**TABLE, 'version': 2}), 2)
    updates = {
        id(tables.make_update(second, 1, merges=merges))
        for merges in (True, False, True, False)
    }
    assert len(updates) == 2
