from hypothesis import given
from hypothesis import strategies as st

from shallotgate.membership._chunks import ChunkedMapping

NAMES = st.text('abc', max_size=3)
ENTRIES = st.dictionaries(NAMES, st.integers())


@given(ENTRIES, ENTRIES, st.lists(NAMES))
def test_edited_mapping_equals_a_dict(entries, put, removed):
    """Guards against an edit that loses entries or changes the original."""
    before = ChunkedMapping(entries)
    after = before.edit(put, removed)
    kept = {
        name: entry for name, entry in entries.items() if name not in removed
    }
    wanted = {**kept, **put}
    assert after == wanted
    assert before == entries
    assert len(after) == len(wanted)
    assert sorted(after) == sorted(wanted)
    assert sorted(after.values()) == sorted(wanted.values())
    assert all(after[name] == entry for name, entry in wanted.items())
    assert after.get('absent') is None
