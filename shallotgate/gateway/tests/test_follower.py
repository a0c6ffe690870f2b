"""Updates that an entry receives from the leader."""

import threading
import zlib
from dataclasses import replace

import pytest

from shallotgate.document_differences import make_difference
from shallotgate.errors import CallTimeoutError
from shallotgate.gateway import TierFollower
from shallotgate.generated.messages import (
    FollowTier,
    TableUpdate,
    TierUpdate,
)
from shallotgate.routes import RoutingTable

LIMIT_S = 5


class FakeMailbox:
    """Answers each call with the next prepared update."""

    def __init__(self, updates):
        self.updates = list(updates)
        self.positions = []
        self.is_drained = threading.Event()

    def call(self, peer, message, timeout_s):
        self.positions.append(message)
        if not self.updates:
            self.is_drained.set()
            raise CallTimeoutError('no more updates')
        return self.updates.pop(0)


class FakeCodec:
    """Table whose document is its version."""

    def decode_table(self, document):
        return RoutingTable(int(document))


class Entry:
    """Position of an entry whose first applications may fail."""

    def __init__(self, failures=0):
        self.version = -1
        self.failures = failures

    def read_position(self):
        return FollowTier(domain='a', table_version=self.version)

    def apply(self, update, table):
        if self.failures:
            self.failures -= 1
            raise ValueError('the update cannot be applied')
        if table is not None:
            self.version = table.version


def make_update(version, base_version=-1):
    document = b'%d' % version
    if base_version < 0:
        compressed = zlib.compress(document)
    else:
        compressor = zlib.compressobj(zdict=b'%d' % base_version)
        compressed = compressor.compress(document) + compressor.flush()
    table = TableUpdate(
        version=version, base_version=base_version, document=compressed
    )
    return TierUpdate(status='current', table=table)


def make_difference_update(version, base_version):
    table = TableUpdate(
        version=version,
        base_version=base_version,
        document=b'',
        difference=make_difference(b'%d' % base_version, b'%d' % version),
    )
    return TierUpdate(status='current', table=table)


def run(entry, *updates):
    """Let an entry receive updates; return the versions that it stated."""
    mailbox = FakeMailbox(updates)
    follower = TierFollower(
        mailbox, FakeCodec(), ['leader'], entry.read_position, entry.apply
    )
    follower.start()
    assert mailbox.is_drained.wait(LIMIT_S)
    follower.stop()
    return [position.table_version for position in mailbox.positions]


# The first is that of a leader of the previous build.
@pytest.mark.parametrize('make_next', [make_update, make_difference_update])
def test_difference_is_applied_to_the_table_held(make_next):
    entry = Entry()
    assert run(entry, make_update(5), make_next(6, 5))[:3] == [-1, 5, 6]


def make_damaged_update(version, base_version):
    difference = replace(make_difference(b'', b'%d' % version), checksum=0)
    table = TableUpdate(
        version=version,
        base_version=base_version,
        document=b'',
        difference=difference,
    )
    return TierUpdate(status='current', table=table)


@pytest.mark.parametrize(
    'make_next', [make_update, make_difference_update, make_damaged_update]
)
def test_whole_table_is_requested_after_a_difference_that_does_not_fit(
    make_next,
):
    """Guards against an entry that fails at the same difference for ever."""
    entry = Entry()
    entry.version = 4
    versions = run(entry, make_next(5, 4), make_update(5), make_update(6, 5))
    assert versions[:4] == [4, -1, 5, 6]


@pytest.mark.parametrize('failures', [1, 2])
def test_failed_application_does_not_end_the_updates(failures):
    """Guards against an entry that stays at the table before a failed update.

    The document of the failed update is the base of no later difference.
    """
    entry = Entry(failures)
    whole = [make_update(5) for _ in range(failures)]
    versions = run(entry, *whole, make_update(6), make_update(7, 6))
    assert versions[-1] == 7


@pytest.mark.parametrize(
    ('waited_s', 'age_s'), [(0.01, 0), (0.9, 0), (1.6, 0), (9.0, 7.4)]
)
def test_reply_that_was_read_late_counts_as_old(monkeypatch, waited_s, age_s):
    """Guards against a reply from before a freeze that confirms the table."""
    now = [100.0]

    class FrozenMailbox(FakeMailbox):
        def call(self, peer, message, timeout_s):
            reply = super().call(peer, message, timeout_s)
            now[0] += waited_s
            return reply

    monkeypatch.setattr('time.monotonic', lambda: now[0])
    entry = Entry()
    follower = TierFollower(
        FrozenMailbox([make_update(5)]),
        FakeCodec(),
        ['leader'],
        entry.read_position,
        entry.apply,
    )
    follower._poll('leader')
    assert now[0] - follower.last_reply_at == pytest.approx(age_s)
