"""Share of one entry of the limit of one account."""

from collections import deque

from shallotgate.account_limits._credit import Credit
from shallotgate.account_limits._demand import EntryDemand
from shallotgate.account_limits._limits import (
    LEASE_FACTOR,
    LEASE_S,
    MIN_ACTIVE_PER_S,
    PLACE_LIFETIME_S,
)
from shallotgate.account_limits._line import RetryLine
from shallotgate.generated.messages import ShareGrant, ShareRequest
from shallotgate.routes import ClientAccount
from shallotgate.target_limits import TokenBucket

# Places that are kept, as a multiple of those that are usually needed until the
# next question.
_PREFETCH_FACTOR = 1.5
# Places that expire within this time are not counted as kept, in seconds.
_EXPIRING_S = 0.2
# Longest time for which an answer without room applies to further requests, in
# seconds. It bounds the questions; others may return what they do not need.
_MAX_REFUSED_S = 0.1
# The usage is taken as unknown after this time, in seconds, and the part that
# is not leased.
_USAGE_TTL_S = 10.0
_OPEN_SHARE_TTL_S = 60.0


class AccountShare:
    """What an entry holds of a limit, and what it needs.

    It holds a rate, which is a lease, and places that expire. ``now`` is in
    monotonic seconds.
    """

    def __init__(self, account: ClientAccount, now: float) -> None:
        self.account = account
        self.demand = EntryDemand()
        self._rate_per_s: float = 0
        self._lease_until = float('-inf')
        self._bucket = TokenBucket(0, 0, now)
        # Expiry and number of the places, the oldest first.
        self._places: deque[tuple[float, int]] = deque()
        # What the lease yielded beyond what it saves up, in requests.
        self._overflow: float = 0
        self._advanced_at = now
        # Not stated yet: places that no target used, and requests.
        self._returned = 0
        self._received = 0
        # Whether the leader may believe that this entry holds a rate.
        self._is_rate_stated = False
        self._refused_until = float('-inf')
        self.line = RetryLine()
        self._usage: float = 0
        self._open_share: float = 0
        self._usage_at = float('-inf')
        self.credit = Credit()

    def count(self, now: float) -> None:
        """Count a request of the account."""
        self.demand.add(now)
        self._received += 1

    def take(self, now: float) -> bool:
        """Use up a place if one is held."""
        self._expire(now)
        if self._bucket.level >= 1:
            self._bucket.level -= 1
            return True
        if not self._places:
            return False
        expires_at, count = self._places[0]
        if count > 1:
            self._places[0] = (expires_at, count - 1)
        else:
            self._places.popleft()
        return True

    def is_refused(self, now: float) -> bool:
        """Return whether the last answer still says that there is no room."""
        return now < self._refused_until

    def get_lease_wait_s(self, now: float) -> float:
        """Return the seconds until the lease has room; infinite without."""
        self._expire(now)
        if not self._rate_per_s:
            return float('inf')
        return max(1 - self._bucket.level, 0) / self._rate_per_s

    def give_back(self, admitted_at: float, now: float) -> None:
        """Return a place that no target used.

        One that was taken long ago is not: used again, it would shift too many
        requests into a later window.
        """
        if now - admitted_at <= PLACE_LIFETIME_S:
            self._returned += 1

    def read_usage(self, now: float) -> float:
        """Return the usage that the leader stated lately; 0 if none."""
        return self._usage if now - self._usage_at < _USAGE_TTL_S else 0

    def read_open_share(self, now: float) -> float:
        """Return the part of the limit that was not leased; 0 if unknown."""
        is_known = now - self._usage_at < _OPEN_SHARE_TTL_S
        return self._open_share if is_known else 0

    def needs_renewal(self, now: float) -> bool:
        """Return whether anything is to be stated, kept or given up."""
        self._expire(now)
        is_holding = self._places or self._rate_per_s
        is_unstated = (
            self._returned or self.credit.unreported or self._is_rate_stated
        )
        is_active = self.demand.read(now) >= MIN_ACTIVE_PER_S
        return bool(is_holding or is_unstated or is_active)

    def make_request(self, waiting: int, now: float) -> ShareRequest:
        """Return what to ask the leader."""
        self._expire(now)
        demand = self.demand.read(now)
        # Given up at once, so that the leader can grant it to others.
        kept_per_s = min(self._rate_per_s, demand * LEASE_FACTOR)
        self._set_rate(kept_per_s, self._lease_until, now)
        unused = int(self._overflow)
        self._overflow -= unused
        request = ShareRequest(
            account=self.account.name,
            waiting=waiting,
            prefetch=self._count_missing(demand, now),
            demand_per_s=demand,
            rate_per_s=self._rate_per_s,
            lease_s=max(self._lease_until - now, 0) if self._rate_per_s else 0,
            places=sum(count for _, count in self._places),
            returned=self._returned + unused,
            received=self._received,
            credited=self.credit.drain(),
        )
        # Not stated again if no answer comes: the leader may have counted it.
        self._returned = 0
        self._received = 0
        self._is_rate_stated = bool(self._rate_per_s)
        return request

    def apply(
        self, waiting: int, grant: ShareGrant, asked_at: float, now: float
    ) -> int:
        """Take over an answer; return how many waiting requests are admitted.

        All times count from the question on, because the leader counts from
        later on.
        """
        self._expire(now)
        self._usage = grant.usage
        self._open_share = grant.open_share
        self._usage_at = now
        self.credit.renew()
        self._set_rate(grant.rate_per_s, asked_at + LEASE_S, now)
        expires_at = asked_at + PLACE_LIFETIME_S
        if expires_at <= now:
            self._returned += grant.places
            return 0
        admitted = min(grant.places, waiting)
        if grant.places > admitted:
            self._places.append((expires_at, grant.places - admitted))
        if admitted < waiting and grant.decided:
            self.line.open(now + grant.wait_s, grant.spacing_s)
            self._refused_until = now + min(grant.wait_s, _MAX_REFUSED_S)
        return admitted

    def set_limit(self, account: ClientAccount, now: float) -> None:
        """Scale what is held to another limit."""
        former = self.account.rate_per_s
        self.account = account
        if account.rate_per_s >= former:
            return
        self._expire(now)
        factor = account.rate_per_s / former
        self._set_rate(self._rate_per_s * factor, self._lease_until, now)
        self._places = deque(
            (expires_at, int(count * factor))
            for expires_at, count in self._places
            if count * factor >= 1
        )

    def _count_missing(self, demand: float, now: float) -> int:
        """Return how many places to prefetch."""
        if demand < MIN_ACTIVE_PER_S:
            return 0
        open_per_s = max(demand * _PREFETCH_FACTOR - self._rate_per_s, 0)
        if self._rate_per_s and not open_per_s:
            return 0
        kept = sum(
            count
            for expires_at, count in self._places
            if expires_at - now > _EXPIRING_S
        )
        return max(int(open_per_s * PLACE_LIFETIME_S) + 1 - kept, 0)

    def _set_rate(self, per_s: float, until: float, now: float) -> None:
        if not self._rate_per_s:
            # The bucket of an entry without a lease has not filled.
            self._bucket = TokenBucket(0, 0, now)
        self._rate_per_s = per_s
        self._lease_until = until
        # A lease of less than a request in that time is given to one entry.
        capacity = max(per_s * PLACE_LIFETIME_S, 1) if per_s else 0
        self._bucket.set_rate(per_s, capacity)
        if per_s:
            self._is_rate_stated = True

    def _expire(self, now: float) -> None:
        while self._places and self._places[0][0] <= now:
            self._returned += self._places.popleft()[1]
        if self._rate_per_s and now >= self._lease_until:
            self._rate_per_s = 0
            self._bucket.set_rate(0, 0)
        self._advance_lease(now)

    def _advance_lease(self, now: float) -> None:
        """Add what the lease has yielded; the rest is left to other entries."""
        elapsed_s = now - self._advanced_at
        self._advanced_at = now
        bucket = self._bucket
        yielded = bucket.level + elapsed_s * self._rate_per_s - bucket.capacity
        # More than a second of it would not help: the leader saves little.
        self._overflow = min(
            self._overflow + max(yielded, 0), max(self._rate_per_s, 1)
        )
        bucket.advance_to(now)
