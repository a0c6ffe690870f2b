import pytest

from shallotgate.state import RecentChanges


@pytest.fixture
def record():
    record = RecentChanges(limit=7)
    record.add(1, ['a', 'b'])
    record.add(2, ['b'])
    record.add(5, [])
    return record


def test_names_since_a_version(record):
    """Guards against differences that omit an entry."""
    assert record.list_since(0) == {'a', 'b'}
    assert record.list_since(1) == {'b'}
    assert record.list_since(2) == frozenset()
    assert record.list_since(5) == frozenset()


@pytest.mark.parametrize('version', [-1, 3, 4, 6])
def test_no_names_since_a_version_without_a_step(record, version):
    """Guards against differences from versions that were never published."""
    assert record.list_since(version) is None


def test_record_is_bounded(record):
    """Guards against memory use that grows with the number of changes."""
    record.add(6, ['c'])
    assert record.list_since(0) is None
    assert record.list_since(1) == {'b', 'c'}
    record.add(7, list('abcdefgh'))
    assert record.list_since(6) is None
    assert record.list_since(7) == frozenset()
    record.add(8, ['a'])
    assert record.list_since(7) == {'a'}


def test_cleared_record_does_not_reach_back(record):
    """Guards against differences across a restored snapshot."""
    record.clear(9)
    record.add(10, ['a'])
    assert record.list_since(5) is None
    assert record.list_since(9) == {'a'}
