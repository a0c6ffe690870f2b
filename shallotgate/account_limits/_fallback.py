"""Requests of accounts that an entry admits without an answer of the leader."""

import random
from dataclasses import dataclass

from shallotgate.account_limits._limits import (
    FALLBACK_SHARE,
    get_fallback_places,
)
from shallotgate.generated.messages import PermitRequest
from shallotgate.routes import ClientAccount
from shallotgate.target_limits import DENIED, FallbackShare, TokenBucket

# Time after which an entry may again use one of the places that all entries
# together may use at once, in seconds: longer than any usual time without a
# leader.
_REDRAW_S = 30.0
# Requests of a calm account that an entry admits at once without the leader.
_CALM_PLACES = 2
# Time to wait if nothing is known of when there is room, in seconds.
_UNKNOWN_WAIT_S = 0.5


@dataclass(frozen=True)
class AccountState:
    """What the leader has said of an account lately."""

    # Whether even a surge would stay within its allowance.
    is_calm: bool = False
    is_near_limit: bool = True
    # Part of its limit that was not leased to entries.
    open_share: float = 0
    # Monotonic time since which this entry has had no leader.
    alone_since: float | None = None


class QuotaFallback:
    """Admits requests at this entry's part of a small share of the limits.

    Accounts that are calm, so that even a surge stays within their allowance,
    are admitted up to their rate. Of the others, all entries together admit
    some requests at once, and the part of the rate that was not leased.
    ``now`` is in monotonic seconds.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._even = FallbackShare(generator, FALLBACK_SHARE)
        # Of accounts that are calm.
        self._buckets: dict[str, TokenBucket] = {}
        # Times at which it was drawn whether this entry may use a place, and
        # whether it may.
        self._drawn_at: dict[str, float] = {}
        # The same for credit: the time, and whether this entry may give it.
        self._credit_draws: dict[str, tuple[float, bool]] = {}

    def reset(self, now: float) -> None:
        """Forget what has no effect any more: the leader answers again.

        Draws are kept: a leader that comes and goes would otherwise give each
        entry a place each time.
        """
        self._even.reset()
        self._buckets.clear()
        self._drawn_at = {
            name: drawn_at
            for name, drawn_at in self._drawn_at.items()
            if now - drawn_at < _REDRAW_S
        }

    def may_credit(
        self, account: ClientAccount, entries: int, now: float
    ) -> bool:
        """Return whether this entry may admit a request on credit.

        If the leader is lost, as many entries have done so as would otherwise
        use a place without it.
        """
        drawn_at, is_allowed = self._credit_draws.get(
            account.name, (float('-inf'), False)
        )
        if entries and now - drawn_at >= _REDRAW_S:
            places = get_fallback_places(account, is_near_limit=False)
            is_allowed = self._generator.random() < places / entries
            self._credit_draws[account.name] = (now, is_allowed)
        return is_allowed

    def admit(
        self,
        account: ClientAccount,
        entries: int,
        now: float,
        state: AccountState,
    ) -> float:
        """Return the seconds to wait; 0 if the request is admitted.

        ``entries`` share the limit; 0 if the number is unknown.
        """
        if state.is_calm:
            return self._admit_calm(account, now)
        places = get_fallback_places(account, is_near_limit=state.is_near_limit)
        drawn_at, _ = self._credit_draws.get(
            account.name, (float('-inf'), False)
        )
        may_draw = entries and now - drawn_at >= _REDRAW_S
        if may_draw and self._draw(account.name, places / entries, now):
            return 0
        request = PermitRequest(
            scope='', priority=0, needed=1, choices=[[account.name]]
        )
        factor = max(state.open_share / FALLBACK_SHARE, 1)
        limits = {account.name: account.rate_per_s * factor}
        granted = self._even.grant(
            request, limits, entries, now, state.alone_since
        )
        if granted[0] != DENIED:
            return 0
        wait_s = self._even.get_wait_s(account.name, now)
        return _UNKNOWN_WAIT_S if wait_s is None else wait_s

    def _admit_calm(self, account: ClientAccount, now: float) -> float:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = TokenBucket(account.rate_per_s, _CALM_PLACES, now)
            bucket.level = _CALM_PLACES
            self._buckets[account.name] = bucket
        bucket.advance_to(now)
        bucket.set_rate(account.rate_per_s, _CALM_PLACES)
        if bucket.level >= 1:
            bucket.level -= 1
            return 0
        return (1 - bucket.level) / account.rate_per_s

    def _draw(self, name: str, chance: float, now: float) -> bool:
        drawn_at = self._drawn_at.get(name, float('-inf'))
        if now - drawn_at < _REDRAW_S:
            return False
        self._drawn_at[name] = now
        return self._generator.random() < chance
