"""Application of an update at an entry."""

import asyncio

import pytest

from shallotgate.generated.messages import (
    DomainsUpdate,
    ListingUpdate,
    TableUpdate,
    TierUpdate,
)
from shallotgate.generated.node import NodeSettings
from shallotgate.node import EntryNode
from shallotgate.routes import RoutingTable

SETTINGS = NodeSettings(
    name='entry', domain='a', peer_address='127.0.0.1:1', seeds=['127.0.0.1:2']
)


def test_table_takes_effect_despite_a_list_that_cannot_be_applied(monkeypatch):
    """Guards against an entry that stays at an old table for one target."""
    node = EntryNode(SETTINGS, None, None)

    def fail(listing):
        raise ValueError('odd target')

    monkeypatch.setattr(node._directory, 'update', fail)
    update = TierUpdate(
        status='current',
        domains=DomainsUpdate(revision=3, out=['b']),
        listing=ListingUpdate(source='l', revision=1, full=True),
    )
    with pytest.raises(ValueError, match='odd target'):
        asyncio.run(node._apply(update, RoutingTable(7)))
    assert node._gateway.version == 7
    assert node._directory.domains_out == {'b'}


def test_table_is_confirmed_by_replies_that_the_entry_has_applied():
    """Guards against 401 for a new key because the entry lacks its table.

    A table that can't be decoded is still missing.
    """
    node = EntryNode(SETTINGS, None, None)
    missing = TableUpdate(version=8, document=b'')
    confirmed = []
    node._gateway.authenticator.confirm_table = confirmed.append
    for at, update, table in (
        (1, TierUpdate(status='current'), None),
        (2, TierUpdate(status='current', table=missing), RoutingTable(8)),
        (3, TierUpdate(status='current', table=missing), None),
    ):
        node._follower.last_reply_at = at
        asyncio.run(node._apply(update, table))
    assert confirmed == [1, 2]
