from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.state import _crosschecks
from shallotgate.state._catalogue import CatalogueTable
from shallotgate.state._crosschecks import list_cross_faults
from shallotgate.state._references import References
from shallotgate.state.tests.builders import (
    NOW,
    Driver,
    domain,
    make_change,
    make_service,
    put,
    remove,
    target,
)


def test_change_checks_only_what_it_touches(monkeypatch):
    """Guards against checks whose cost grows with the size of the catalogue."""
    driver = Driver()
    services = [
        make_service(f's{number}', target(f't{number}', number + 1))
        for number in range(50)
    ]
    driver.apply(make_change([domain('a'), *services]))
    checked = []
    check = _crosschecks._check_target

    def check_and_record(one):
        checked.append(one.name)
        return check(one)

    monkeypatch.setattr(_crosschecks, '_check_target', check_and_record)
    edits = [
        make_service('s3', target('t3', 99)),
        remove('services', 's4'),
        make_service('new', target('t4', 4)),
    ]
    verdict = driver.apply(make_change(edits, base=1, tail='2'))
    assert verdict.outcome == 'accepted'
    assert checked == ['t3', 't4']


NAMES = st.sampled_from('abc')
CLASS_SPEC = {'owner': 'ada', 'mode': 'latency', 'deadline_ms': 200}
EDITS = st.one_of(
    st.builds(remove, st.sampled_from(['callers', 'services']), NAMES),
    st.builds(remove, st.sampled_from(['classes', 'domains']), NAMES),
    NAMES.map(domain),
    st.builds(
        lambda name, limit: put(
            'classes', name, soft_limit_ms=limit, **CLASS_SPEC
        ),
        NAMES,
        st.sampled_from([100, 100, 100, 300]),
    ),
    st.builds(
        lambda name, key, classes: put(
            'callers', name, owner='ada', key_sha256=key * 64, classes=classes
        ),
        NAMES,
        NAMES,
        st.lists(NAMES, max_size=2),
    ),
    st.builds(
        make_service,
        NAMES,
        st.builds(target, st.sampled_from('tu'), st.integers(1, 4), NAMES),
        st.builds(target, st.sampled_from('uvw'), st.integers(3, 9), NAMES),
    ),
)


class WholeCheck(References):
    """Forces a check of the whole catalogue for each change."""

    def is_valid(self, changed_keys, edited):
        return False


@given(st.lists(st.lists(EDITS, min_size=1, max_size=4), max_size=12))
@settings(max_examples=300, deadline=None)
def test_check_of_a_change_finds_what_a_whole_check_finds(changes):
    """Guards against incremental checks that miss faults of other entries."""
    start = [domain(name) for name in 'abc']
    start += [put('classes', name, **CLASS_SPEC) for name in 'abc']
    table = CatalogueTable()
    whole = CatalogueTable()
    whole._references = WholeCheck()
    for number, edits in enumerate([start, *changes]):
        version = table.published.version
        command = make_change(edits, version, tail=str(number))
        verdict = table.change(command, NOW)
        assert verdict == whole.change(command, NOW)
        assert not list(list_cross_faults(table.published))
        fresh = References()
        fresh.load(table.published)
        assert vars(table._references) == vars(fresh)
