from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.codec import encode_tagged
from shallotgate.generated.messages import (
    AdvanceTime,
    GrantOwners,
    GrantTrial,
    JudgeTrial,
    LiftQuarantine,
    MoveOwners,
    Owner,
    OwnerGrant,
    OwnerMove,
    RecordOutcome,
    ReleaseClaim,
    ReportSuspects,
)
from shallotgate.invariants import read_breaches
from shallotgate.state import TierState
from shallotgate.state.tests.builders import (
    NOW,
    domain,
    make_change,
    make_claim,
    make_id,
    remove,
)

TAILS = st.sampled_from('123')
CLAIMS = st.sampled_from(['c1', 'c2'])
DIGESTS = st.sampled_from('de')
TARGETS = st.sampled_from(['t1', 't2'])
NAMES = st.sampled_from('abc')
TIMES = st.sampled_from([NOW, NOW + 5, NOW + 86400, NOW + 86500])
EPOCHS = st.integers(0, 4)
OWNERS = st.builds(
    Owner, instance=st.sampled_from(['', 'e1', 'e2']), start_id=TAILS
)
EDITS = st.lists(
    st.one_of(
        st.builds(domain, NAMES, owner=st.sampled_from(['ada', 'bob'])),
        st.builds(remove, st.just('domains'), NAMES),
    ),
    min_size=1,
    max_size=2,
)
KEYS = {'key': st.builds(make_id, TAILS), 'caller': st.just('tellers')}
COMMANDS = st.one_of(
    st.builds(
        make_change, EDITS, base=st.integers(0, 3), tail=TAILS, now=TIMES
    ),
    st.builds(make_claim, CLAIMS, tail=TAILS, now=TIMES, digest=DIGESTS),
    st.builds(
        RecordOutcome, **KEYS, claim=CLAIMS, answer=st.just(b'a'), time=TIMES
    ),
    st.builds(ReleaseClaim, **KEYS, claim=CLAIMS, time=TIMES),
    st.builds(
        MoveOwners,
        moves=st.lists(st.builds(OwnerMove, target=TARGETS, epoch=EPOCHS)),
        time=TIMES,
    ),
    st.builds(
        GrantOwners,
        grants=st.lists(
            st.builds(OwnerGrant, target=TARGETS, epoch=EPOCHS, owner=OWNERS)
        ),
        time=TIMES,
    ),
    st.builds(
        ReportSuspects,
        target=TARGETS,
        target_start_id=TAILS,
        digests=st.lists(DIGESTS),
        time=TIMES,
    ),
    st.builds(
        GrantTrial, digest=DIGESTS, target=TARGETS, holder=CLAIMS, time=TIMES
    ),
    st.builds(
        JudgeTrial,
        digest=DIGESTS,
        holder=CLAIMS,
        lost=st.booleans(),
        time=TIMES,
    ),
    st.builds(
        LiftQuarantine,
        digest=DIGESTS,
        operator=NAMES,
        reason=NAMES,
        time=TIMES,
    ),
    st.builds(AdvanceTime, time=TIMES),
).map(encode_tagged)


def run(state, commands, start=0):
    return [
        encode_tagged(state.apply(index, command))
        for index, command in enumerate(commands, start)
    ]


@given(
    st.lists(COMMANDS | st.binary(max_size=4), max_size=30),
    st.integers(0, 30),
)
@settings(max_examples=300, deadline=None)
def test_members_agree_whatever_they_restored(commands, cut):
    """Guards against members that differ after a snapshot in the middle."""
    before = read_breaches()
    plain = TierState()
    results = run(plain, commands)
    first = TierState()
    head = run(first, commands[:cut])
    second = TierState()
    second.restore(first.snapshot())
    tail = run(second, commands[cut:], start=len(commands[:cut]))
    assert head + tail == results
    assert second.read() == plain.read() or not commands
    assert second.snapshot() == plain.snapshot()
    assert read_breaches() == before


@given(st.lists(COMMANDS, max_size=30))
@settings(max_examples=100, deadline=None)
def test_versions_and_epochs_only_rise(commands):
    """Guards against an instance that sees an older part after a newer one."""
    state = TierState()
    for index, command in enumerate(commands):
        before = state.read()
        state.apply(index, command)
        after = state.read()
        for part in ('catalogue', 'ownership', 'quarantine'):
            rise = getattr(after.versions, part) - getattr(
                before.versions, part
            )
            assert rise >= 0
            assert rise or getattr(after, part) == getattr(before, part)
        for target, owned in after.ownership.items():
            former = before.ownership.get(target)
            assert former is None or owned.epoch >= former.epoch
            assert owned.epoch <= after.versions.ownership
