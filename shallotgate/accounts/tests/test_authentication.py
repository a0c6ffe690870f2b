"""Results of the authentication of requests."""

import pytest

from shallotgate.accounts import KeyIndex, compare_keys
from shallotgate.routes import ClientAccount, RoutingTable

ALPHA = ClientAccount('alpha', ('key-a1', 'key-ä2'))
BETA = ClientAccount('beta', ('key-b',))
TABLE = RoutingTable(1, accounts=(ALPHA, BETA))
IN_CONTACT_S = 1.9
CUT_OFF_S = 2.1


def authenticate(key, table=TABLE, is_public=False, unconfirmed_s=0.0):
    return KeyIndex(table).authenticate(
        key.encode(), is_public=is_public, unconfirmed_s=unconfirmed_s
    )


@pytest.mark.parametrize('is_public', [True, False])
@pytest.mark.parametrize('unconfirmed_s', [0, CUT_OFF_S, float('inf')])
def test_key_of_the_table_is_known(is_public, unconfirmed_s):
    """Guards against a partitioned entry that serves no account."""
    for account in TABLE.accounts:
        for key in account.keys:
            result = authenticate(key, TABLE, is_public, unconfirmed_s)
            assert (result.status, result.account) == ('known', account)
            assert not result.is_refused


@pytest.mark.parametrize('key', ['', 'key-c', 'KEY-B', 'key-b ', 'alpha'])
@pytest.mark.parametrize(
    ('is_public', 'unconfirmed_s', 'status'),
    [
        (True, 0, 'anonymous'),
        (True, CUT_OFF_S, 'anonymous'),
        (False, IN_CONTACT_S, 'unknown'),
        (False, CUT_OFF_S, 'undecided'),
        (False, float('inf'), 'undecided'),
    ],
)
def test_other_key_is_refused_by_the_age_of_the_table(
    key, is_public, unconfirmed_s, status
):
    """Guards against 401 for a key that only a newer table contains."""
    result = authenticate(key, TABLE, is_public, unconfirmed_s)
    assert (result.status, result.account) == (status, None)
    assert result.has_key is bool(key)
    assert result.is_refused is (status != 'anonymous')


@pytest.mark.parametrize('key', ['', 'key-a1'])
def test_without_accounts_all_requests_are_anonymous(key):
    result = authenticate(key, RoutingTable(1), unconfirmed_s=CUT_OFF_S)
    assert result.status == 'anonymous'


def test_shared_key_has_the_first_account():
    """Guards against entries that disagree on a table nobody checked."""
    table = RoutingTable(1, accounts=(BETA, ClientAccount('c', BETA.keys)))
    assert authenticate('key-b', table).account is BETA


def test_no_key_is_in_a_representation():
    """Guards against keys in log lines and error messages."""
    result = authenticate('key-b')
    for shown in (result, KeyIndex(TABLE), TABLE, ALPHA):
        assert 'key-' not in repr(shown)


def test_changes_of_keys_are_named_by_account():
    newer = RoutingTable(
        2,
        accounts=(
            ClientAccount('alpha', ('key-a1',)),
            ClientAccount('gamma', ('key-b',)),
        ),
    )
    changes = compare_keys(TABLE, newer)
    assert changes.added == ('gamma',)
    assert changes.removed == ('beta',)
    assert changes.keys_revoked == ('alpha',)
    assert changes.keys_added == ()
    assert compare_keys(newer, TABLE).keys_added == ('alpha',)
    assert compare_keys(None, TABLE).added == ('alpha', 'beta')
