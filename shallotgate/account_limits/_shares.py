"""Shares of one entry of the limits of all accounts."""

import random
from collections.abc import Mapping, Sequence

from shallotgate.account_limits._admission import QuotaDecision
from shallotgate.account_limits._fallback import AccountState, QuotaFallback
from shallotgate.account_limits._limits import (
    CREDIT_USAGE,
    PLACE_LIFETIME_S,
    is_calm,
    is_limited,
)
from shallotgate.account_limits._share import AccountShare
from shallotgate.generated.messages import (
    GrantShares,
    ShareGrant,
    ShareRequest,
)
from shallotgate.routes import ClientAccount

# Time after which what the leader said of accounts is not relied on, in
# seconds.
_LISTS_TTL_S = 60.0
# Shares that were not used for this time are forgotten, in seconds.
_IDLE_S = 30.0
# Range of the factor on times to wait without the leader, so that callers do
# not come back at the same moment.
_SPREAD = (1.0, 1.25)
_ADMITTED = QuotaDecision(is_admitted=True, decided_by='share')
_CREDITED = QuotaDecision(is_admitted=True, decided_by='credit')
_GRANTED = QuotaDecision(is_admitted=True, decided_by='leader')


class AccountShares:
    """Decides on requests of accounts at one entry.

    Without I/O; ``now`` is in monotonic seconds.

    >>> shares = AccountShares(random.Random(1))
    >>> shares.decide(ClientAccount('a', rate_per_s=1), now=0) is None
    True
    >>> [request] = shares.make_requests({'a': 1}, now=0)
    >>> answer = GrantShares(
    ...     number=1, leading=True, grants=[ShareGrant(places=2)])
    >>> shares.apply([request], answer, asked_at=0, now=0.01)
    {'a': [QuotaDecision(is_admitted=True, decided_by='leader', \
retry_after_s=0)]}
    >>> shares.decide(ClientAccount('a', rate_per_s=1), now=0.1)
    QuotaDecision(is_admitted=True, decided_by='share', retry_after_s=0)
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._shares: dict[str, AccountShare] = {}
        self._used_at: dict[str, float] = {}
        self._fallback = QuotaFallback(generator)
        # Accounts that are not calm, and those near their limit, as the leader
        # last stated them.
        self._busy: frozenset[str] = frozenset()
        self._exceeding: frozenset[str] = frozenset()
        self._listed_at = float('-inf')
        # Number of entries that share the limits; 0 if it is unknown.
        self.entries = 0
        # Time since which the leader has not decided; None if it has.
        self._alone_since: float | None = None

    def set_limits(self, accounts: Sequence[ClientAccount], now: float) -> None:
        """Apply the limits of another table to what is held."""
        by_name = {each.name: each for each in accounts if is_limited(each)}
        for name, share in list(self._shares.items()):
            account = by_name.get(name)
            if account is None:
                self._shares.pop(name)
            else:
                share.set_limit(account, now)

    def decide(
        self, account: ClientAccount, now: float
    ) -> QuotaDecision | None:
        """Count a request and decide on it; None to ask the leader."""
        share = self._get(account, now)
        share.count(now)
        if share.take(now):
            return _ADMITTED
        if share.is_refused(now):
            return QuotaDecision(
                is_admitted=False,
                decided_by='earlier_answer',
                retry_after_s=share.line.take(now),
            )
        if self._is_creditworthy(share, now) and share.credit.take():
            return _CREDITED
        return None

    def decide_alone(
        self, account: ClientAccount, entries: int, now: float
    ) -> QuotaDecision:
        """Decide on a request for which the leader has not decided.

        ``entries`` share the limit; 0 if the number is unknown.
        """
        share = self._get(account, now)
        if self._alone_since is None:
            self._alone_since = now
        if share.take(now):
            return _ADMITTED
        wait_s = self._fallback.admit(
            account, entries, now, self._get_state(share, now)
        )
        if wait_s:
            wait_s = min(wait_s, share.get_lease_wait_s(now))
            wait_s *= self._generator.uniform(*_SPREAD)
        return QuotaDecision(
            is_admitted=not wait_s, decided_by='fallback', retry_after_s=wait_s
        )

    def make_requests(
        self, waiting: Mapping[str, int], now: float
    ) -> list[ShareRequest]:
        """Return what to ask the leader, for all active accounts."""
        self._evict_idle(now)
        return [
            share.make_request(waiting.get(name, 0), now)
            for name, share in self._shares.items()
            if name in waiting or share.needs_renewal(now)
        ]

    def apply(
        self,
        requests: Sequence[ShareRequest],
        answer: GrantShares,
        asked_at: float,
        now: float,
    ) -> dict[str, list[QuotaDecision]]:
        """Take over an answer of the leader.

        Returns the decisions on the waiting requests by account; those on which
        the leader has not decided are left out.
        """
        if all(grant.decided for grant in answer.grants):
            self._alone_since = None
            self._fallback.reset(now)
        if answer.lists_known:
            self._busy = frozenset(answer.busy)
            self._exceeding = frozenset(answer.exceeding)
            self._listed_at = now
        decisions: dict[str, list[QuotaDecision]] = {}
        for request, grant in zip(requests, answer.grants, strict=False):
            share = self._shares.get(request.account)
            if share is not None:
                decisions[request.account] = _conclude(
                    share, request.waiting, grant, (asked_at, now)
                )
        return decisions

    def needs_renewal(self, now: float) -> bool:
        """Return whether the leader is to be asked without a request."""
        return any(share.needs_renewal(now) for share in self._shares.values())

    def give_back(
        self, account: ClientAccount, admitted_at: float, now: float
    ) -> None:
        """Return the place of a request that no target ran."""
        share = self._shares.get(account.name)
        if share is not None:
            share.give_back(admitted_at, now)

    def get_usage(self, account: ClientAccount, now: float) -> float:
        """Return how much of its limit an account has asked for lately."""
        return self.get_used_share(account.name, now)

    def get_used_share(self, account: str, now: float) -> float:
        """Return the same by the name of the account."""
        share = self._shares.get(account)
        return share.read_usage(now) if share else 0

    def _is_creditworthy(self, share: AccountShare, now: float) -> bool:
        """Return whether the account was not near its limit lately."""
        account = share.account
        if share.read_usage(now) >= CREDIT_USAGE:
            return False
        if now - self._listed_at >= _LISTS_TTL_S:
            return False
        if account.name in self._exceeding:
            return False
        is_busy = account.name in self._busy
        if not is_busy and is_calm(account, 0, 0):
            return True
        return self._fallback.may_credit(account, self.entries, now)

    def _get(self, account: ClientAccount, now: float) -> AccountShare:
        share = self._shares.get(account.name)
        if share is None:
            share = AccountShare(account, now)
            self._shares[account.name] = share
        self._used_at[account.name] = now
        return share

    def _get_state(self, share: AccountShare, now: float) -> AccountState:
        account = share.account
        open_share = share.read_open_share(now)
        if now - self._listed_at >= _LISTS_TTL_S:
            return AccountState(
                open_share=open_share,
                alone_since=self._alone_since,
            )
        is_busy = account.name in self._busy
        return AccountState(
            is_calm=not is_busy and is_calm(account, 0, 0),
            is_near_limit=account.name in self._exceeding,
            open_share=open_share,
            alone_since=self._alone_since,
        )

    def _evict_idle(self, now: float) -> None:
        for name, used_at in list(self._used_at.items()):
            share = self._shares.get(name)
            is_idle = now - used_at > _IDLE_S
            if share is None or (is_idle and not share.needs_renewal(now)):
                self._shares.pop(name, None)
                self._used_at.pop(name)


def _conclude(
    share: AccountShare,
    waiting: int,
    grant: ShareGrant,
    times: tuple[float, float],
) -> list[QuotaDecision]:
    """Apply a grant; return the decisions on the waiting requests.

    ``times`` are those of question and answer.
    """
    asked_at, now = times
    admitted = share.apply(waiting, grant, asked_at, now)
    decisions = [_GRANTED for _ in range(admitted)]
    if not grant.decided or now - asked_at >= PLACE_LIFETIME_S:
        return decisions
    refused = [
        QuotaDecision(
            is_admitted=False,
            decided_by='leader',
            retry_after_s=share.line.take(now),
        )
        for _ in range(waiting - admitted)
    ]
    return decisions + refused
