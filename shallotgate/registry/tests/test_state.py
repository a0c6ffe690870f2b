import msgspec
import pytest

from shallotgate.codec import encode_tagged
from shallotgate.generated.messages import (
    PublishTable,
    RecordVersions,
    SetDomainOut,
    StartRollout,
    StoreContents,
    StoredContent,
)
from shallotgate.registry import RegistryState


def publish(state, version, document=b'd'):
    command = PublishTable(version=version, document=document)
    return state.apply(1, encode_tagged(command))


@pytest.fixture
def state():
    return RegistryState()


@pytest.mark.parametrize('version', [4, 5])
def test_version_that_is_not_higher_changes_nothing(state, version):
    """Guards against replacing the content of the active version."""
    publish(state, 5, b'first')
    outcome = publish(state, version, b'other')
    assert (outcome.version, outcome.changed) == (5, False)
    assert state.read().document == b'first'


def test_versions_may_skip_numbers(state):
    publish(state, 5)
    assert publish(state, 90).changed
    assert state.read().version == 90


def test_snapshot_holds_everything(state):
    """Guards against accepted state that log compaction loses."""
    publish(state, 5, b'first')
    command = SetDomainOut(domain='a', out=True)
    state.apply(9, encode_tagged(command))
    restored = RegistryState()
    restored.restore(state.snapshot())
    assert restored.read() == state.read()
    assert restored.read().domains_out == ('a',)


def test_snapshot_holds_rollouts_and_versions(state):
    versions = RecordVersions(services=['s'], versions=['v1'])
    state.apply(3, encode_tagged(versions))
    order = StartRollout(service='s', target_version='v2', duration_s=30)
    assert state.apply(4, encode_tagged(order)).status == 'started'
    restored = RegistryState()
    restored.restore(state.snapshot())
    assert restored.read() == state.read()
    assert restored.read().rollouts.find('s').previous_version == 'v1'


def test_snapshot_of_a_build_without_rollouts_loads(state):
    """Guards against members that cannot start after an upgrade."""
    former = {
        'version': 5,
        'document': b'first',
        'domains_revision': 9,
        'domains_out': ['a'],
    }
    state.restore(msgspec.msgpack.encode(former))
    assert state.read().version == 5
    assert state.read().rollouts.orders == ()


def test_repeated_order_keeps_the_revision(state):
    """Guards against unchanged domains that are sent to entries again."""
    command = encode_tagged(SetDomainOut(domain='a', out=True))
    state.apply(9, command)
    state.apply(10, command)
    assert state.read().domains_revision == 9
    state.apply(11, encode_tagged(SetDomainOut(domain='a', out=False)))
    assert state.read().domains_out == ()
    assert state.read().domains_revision == 11


def test_change_decided_on_an_older_revision_is_dropped(state):
    """Guards against an order that arrives after a later one was accepted."""
    set_out(state, 9, is_out=True)
    set_out(state, 10, is_out=False, base_revision=9)
    set_out(state, 11, is_out=True, base_revision=10)
    outcome = set_out(state, 12, is_out=False, base_revision=9)
    assert (outcome.revision, outcome.accepted) == (11, False)
    assert state.read().domains_out == ('a',)


def test_change_that_is_in_force_is_accepted_on_any_revision(state):
    """Guards against refusing an order that is sent again."""
    set_out(state, 9, is_out=True)
    outcome = set_out(state, 10, is_out=True, base_revision=3)
    assert (outcome.revision, outcome.accepted) == (9, True)


def set_out(state, index, is_out, base_revision=-1):
    command = SetDomainOut(domain='a', out=is_out, base_revision=base_revision)
    return state.apply(index, encode_tagged(command))


def store(state, trials=0, forgotten=()):
    content = StoredContent(
        digest='d', targets=['t'], requests=2, trials=trials, refused=True
    )
    contents = [] if forgotten else [content]
    command = StoreContents(contents=contents, forgotten=list(forgotten))
    return state.apply(1, encode_tagged(command))


def test_record_of_a_former_leader_returns_no_trial(state):
    """Guards against a trial that counts no more once it was spent."""
    store(state, trials=2)
    store(state, trials=1)
    assert state.read().contents['d'].trials == 2


def test_contents_are_part_of_snapshots(state):
    """Guards against a member that learns of no refusal from a snapshot."""
    empty = state.snapshot()
    store(state, trials=1)
    other = RegistryState()
    other.restore(state.snapshot())
    assert other.read() == state.read()
    assert store(state, forgotten=['d']).changed
    assert not store(state, forgotten=['d']).changed
    assert state.snapshot() == empty


def test_snapshot_of_a_build_without_contents_is_read(state):
    """Guards against a member that does not start after an update."""
    former = msgspec.msgpack.encode({'version': 3, 'document': b'd'})
    state.restore(former)
    assert (state.read().version, state.read().contents) == (3, {})
