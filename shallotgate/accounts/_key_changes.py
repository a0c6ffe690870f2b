"""Accounts whose keys differ between two routing tables."""

from dataclasses import dataclass

from shallotgate.routes import ClientAccount, RoutingTable


@dataclass(frozen=True)
class KeyChanges:
    """Names of accounts, without their keys, in the order of the tables."""

    # Accounts that the older table does not have.
    added: tuple[str, ...] = ()
    # Accounts that the newer table does not have.
    removed: tuple[str, ...] = ()
    # Accounts that have got a key.
    keys_added: tuple[str, ...] = ()
    # Accounts that have lost a key.
    keys_revoked: tuple[str, ...] = ()


def compare_keys(older: RoutingTable | None, newer: RoutingTable) -> KeyChanges:
    """Return the differences between the accounts of two tables."""
    before = _list_keys(older.accounts if older else ())
    after = _list_keys(newer.accounts)
    retained = [name for name in after if name in before]
    return KeyChanges(
        added=tuple(name for name in after if name not in before),
        removed=tuple(name for name in before if name not in after),
        keys_added=tuple(
            name for name in retained if after[name] - before[name]
        ),
        keys_revoked=tuple(
            name for name in retained if before[name] - after[name]
        ),
    )


def _list_keys(
    accounts: tuple[ClientAccount, ...],
) -> dict[str, frozenset[str]]:
    return {account.name: frozenset(account.keys) for account in accounts}
