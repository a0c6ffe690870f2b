"""Validation of the client accounts of a routing table."""

import math
from collections.abc import Iterable, Iterator

from shallotgate.routes._table import ClientAccount


def iter_account_faults(
    accounts: Iterable[ClientAccount],
) -> Iterator[tuple[str, str]]:
    """Yield the name of the account and the reason of each fault.

    No reason contains a key.
    """
    names: set[str] = set()
    owners: dict[str, str] = {}
    for account in accounts:
        if account.name in names:
            yield account.name, 'two accounts have the same name'
        names.add(account.name)
        yield from _iter_own_faults(account)
        yield from _iter_shared_keys(account, owners)


def _iter_shared_keys(
    account: ClientAccount,
    owners: dict[str, str],
) -> Iterator[tuple[str, str]]:
    others = {owners.setdefault(key, account.name) for key in account.keys}
    for other in sorted(others - {account.name}):
        yield account.name, f'shares a key with {other}'


def _iter_own_faults(account: ClientAccount) -> Iterator[tuple[str, str]]:
    if not _is_header_value(account.name):
        yield account.name, 'the name cannot be sent in a header'
    if not all(map(_is_header_value, account.keys)):
        yield account.name, 'a key cannot be sent in a header'
    for limit in (account.rate_per_s, account.burst):
        if not 0 <= limit < math.inf:
            yield account.name, 'the limits must be finite and not negative'


def _is_header_value(text: str) -> bool:
    """Return whether a header can carry a text unchanged."""
    return bool(text) and text.isprintable() and text == text.strip()
