"""Allocation of the limits of accounts to entries; runs on the leader."""

import threading
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from shallotgate.account_limits._ledger import AccountLedger
from shallotgate.account_limits._limits import WINDOW_S, is_limited
from shallotgate.account_limits._refusals import RefusalLog
from shallotgate.generated.messages import ShareGrant, ShareRequest
from shallotgate.routes import ClientAccount

# Accounts that nobody has asked for during this time are forgotten, in seconds.
# Their leases have expired and their buckets are full.
_IDLE_S = 30.0
# Interval at which the accounts are listed anew, in seconds.
_LIST_INTERVAL_S = 0.5
_UNDECIDED = ShareGrant(places=0, decided=False)


@dataclass(frozen=True)
class AccountLists:
    """Accounts that entries must not serve freely without the leader."""

    # A surge would exceed the limit.
    busy: Sequence[str] = ()
    # They are near their limit or above it.
    exceeding: Sequence[str] = ()


class ShareAllocator:
    """Grants shares of the limits of accounts to entries.

    Thread-safe; ``now`` is in monotonic seconds.

    >>> allocator = ShareAllocator()
    >>> allocator.activate(now=0)
    >>> accounts = {'a': ClientAccount('a', rate_per_s=1, burst=2)}
    >>> request = ShareRequest(account='a', waiting=9)
    >>> allocator.grant('entry', request, accounts, 0, now=10).places
    8
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Monotonic time since which this member leads; None if it does not.
        self._active_since: float | None = None
        # Monotonic time from which on buckets fill.
        self._filling_since = float('-inf')
        self._ledgers: dict[str, AccountLedger] = {}
        self._refusals = RefusalLog()
        self._lists = AccountLists()
        self._listed_at = float('-inf')
        self._evicted_at = float('-inf')

    def activate(self, now: float) -> None:
        """Start granting as leader, with almost empty buckets.

        What the former leader granted is learnt from the entries.
        """
        with self._lock:
            self._active_since = now
            self._filling_since = now
            self._ledgers.clear()
            self._refusals.clear()
            self._listed_at = float('-inf')

    def deactivate(self) -> None:
        """Stop granting."""
        with self._lock:
            self._active_since = None

    def grant(
        self,
        entry: str,
        request: ShareRequest,
        accounts: Mapping[str, ClientAccount],
        silent_share: float,
        now: float,
    ) -> ShareGrant:
        """Return the share of an entry.

        ``silent_share`` is the part of the entries, 0 to 1, that have not been
        heard from lately. While it is 1, entries use their own part.
        """
        account = accounts.get(request.account)
        with self._lock:
            since = self._active_since
            if since is None or account is None or not is_limited(account):
                return _UNDECIDED
            self._evict_idle(now)
            is_settled = silent_share < 1
            if not is_settled:
                self._filling_since = now
            ledger = self._ledgers.get(account.name)
            if ledger is None:
                ledger = AccountLedger(account, since, self._filling_since)
                self._ledgers[account.name] = ledger
            ledger.advance(account, silent_share, now)
            ledger.record(request, now)
            rate = ledger.lease(entry, request, now, is_settled=is_settled)
            # The lease has changed the rate of the bucket.
            ledger.advance(account, silent_share, now)
            grant = ledger.grant(entry, request, now)
            is_refused = grant.places < request.waiting
            if is_settled:
                self._refusals.record(ledger, is_refused=is_refused, now=now)
            return replace(
                grant,
                rate_per_s=rate,
                decided=grant.decided and (is_settled or not is_refused),
            )

    def list_accounts(self, now: float) -> AccountLists | None:
        """Return the accounts that need the leader.

        None if this member has not led for long enough to know.
        """
        with self._lock:
            since = self._active_since
            if since is None or now - since < WINDOW_S:
                return None
            if now - self._listed_at >= _LIST_INTERVAL_S:
                self._listed_at = now
                ledgers = self._ledgers.items()
                self._lists = AccountLists(
                    [name for name, one in ledgers if not one.is_calm(now)],
                    [name for name, one in ledgers if one.is_near_limit(now)],
                )
            return self._lists

    def get_usage(self, now: float) -> dict[str, float]:
        """Return the demand of the active accounts as parts of their limits."""
        with self._lock:
            return {
                name: ledger.get_usage(now)
                for name, ledger in self._ledgers.items()
            }

    def _evict_idle(self, now: float) -> None:
        if now - self._evicted_at < _IDLE_S:
            return
        self._evicted_at = now
        for name, ledger in list(self._ledgers.items()):
            if now - ledger.used_at > _IDLE_S:
                self._ledgers.pop(name)
