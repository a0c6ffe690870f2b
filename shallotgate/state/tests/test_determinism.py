import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.codec import encode_tagged
from shallotgate.generated import messages
from shallotgate.invariants import read_breaches
from shallotgate.state import TierState
from shallotgate.state.tests.builders import (
    NOW,
    domain,
    make_change,
    make_id,
    remove,
)

TAILS = st.sampled_from('123')
NAMES = st.sampled_from('abc')
TIMES = st.sampled_from([NOW, NOW + 5, NOW + 86400, NOW + 86500])
# Few values for each field, so that commands often refer to the same entries.
FIELDS = {
    'answer': st.just(b'a'),
    'caller': st.just('tellers'),
    'claim': NAMES,
    'digest': NAMES,
    'domain': st.sampled_from(['', 'a', 'b']),
    'epoch': st.integers(0, 4),
    'holder': NAMES,
    'instance': st.sampled_from(['', 'e1', 'e2']),
    'key': st.builds(make_id, TAILS),
    'learnt': st.none(),
    'lost': st.booleans(),
    'unused': st.booleans(),
    'operator': NAMES,
    'reason': NAMES,
    'start_id': TAILS,
    'target': NAMES,
    'target_start_id': TAILS,
    'time': TIMES,
}


def build(name):
    command = getattr(messages, name)
    names = [field.name for field in dataclasses.fields(command)]
    return st.builds(command, **{field: FIELDS[field] for field in names})


FIELDS['owner'] = build('Owner')
FIELDS['moves'] = st.lists(build('OwnerMove'), max_size=3)
FIELDS['grants'] = st.lists(build('OwnerGrant'), max_size=3)
FIELDS['digests'] = st.lists(NAMES, max_size=3)
FIELDS['proven'] = st.lists(NAMES, max_size=3)
EDITS = st.lists(
    st.builds(domain, NAMES, owner=st.sampled_from(['ada', 'bob']))
    | st.builds(remove, st.just('domains'), NAMES),
    min_size=1,
    max_size=2,
)
CHANGES = st.builds(
    make_change, EDITS, base=st.integers(0, 3), tail=TAILS, now=TIMES
)
OTHERS = (
    'ClaimOnce RecordOutcome ReleaseClaim MoveOwners GrantOwners '
    'ReportSuspects GrantTrial JudgeTrial LiftQuarantine AdvanceTime'
)
COMMANDS = st.one_of(CHANGES, *map(build, OTHERS.split())).map(encode_tagged)


def check_versions_rise(before, after):
    for part in ('catalogue', 'ownership', 'quarantine'):
        former = getattr(before.versions, part)
        rise = getattr(after.versions, part) - former
        assert rise >= 0
        assert rise or getattr(after, part) == getattr(before, part)
    for target, owned in after.ownership.items():
        former = before.ownership.get(target)
        assert former is None or owned.epoch >= former.epoch
        assert owned.epoch <= after.versions.ownership


def run(state, commands, start=0):
    results = []
    for index, command in enumerate(commands, start):
        before = state.read()
        results.append(encode_tagged(state.apply(index, command)))
        check_versions_rise(before, state.read())
    return results


@given(
    st.lists(COMMANDS | st.binary(max_size=4), max_size=30),
    st.integers(0, 30),
)
@settings(max_examples=300, deadline=None)
def test_members_agree_and_versions_rise(commands, cut):
    """Guards against members that diverge when one restores a snapshot.

    Also guards against versions of a part that decrease.
    """
    before = read_breaches()
    plain = TierState()
    results = run(plain, commands)
    first = TierState()
    head = run(first, commands[:cut])
    second = TierState()
    second.restore(first.snapshot())
    tail = run(second, commands[cut:], start=len(head))
    assert head + tail == results
    assert second.read() == plain.read()
    assert second.snapshot() == plain.snapshot()
    assert read_breaches() == before
