"""Account of the leader for the limit of one client account."""

from dataclasses import dataclass

from shallotgate.account_limits._demand import DemandEstimate
from shallotgate.account_limits._limits import (
    FALLBACK_SHARE,
    INITIAL_PLACES,
    LEASE_FACTOR,
    LEASE_MARGIN_S,
    LEASE_S,
    LEASED_SHARE,
    MIN_ACTIVE_PER_S,
    MIN_LEASED_PER_S,
    PLACE_LIFETIME_S,
    WINDOW_S,
    get_capacity,
    is_calm,
    is_near_limit,
)
from shallotgate.account_limits._line import RetryLine
from shallotgate.extras import SlidingWindowCounter
from shallotgate.generated.messages import ShareGrant, ShareRequest
from shallotgate.routes import ClientAccount
from shallotgate.target_limits import TokenBucket

# Time for which the wish of an entry without a lease counts, in seconds: longer
# than its interval between two questions.
_WANT_S = 4.0
# Part of the saved places that is left to requests that wait.
_KEPT_SHARE = 0.5
# An entry that receives this part of the requests of an account gets a lease
# however few there are: it can be the only one, so nothing is left unused.
_DOMINANT_SHARE = 0.5
# Time constant of the usual demand, in seconds: longer than a surge.
_USUAL_S = 15.0
# Least time over which the usage is measured, in seconds.
_MIN_MEASURED_S = 1.0


@dataclass(frozen=True)
class _Lease:
    # Rate that the entry wants, and the highest one that it may hold until it
    # states another: an answer may not have arrived.
    wanted: float
    reserved: float
    # Monotonic time.
    expires_at: float


class AccountLedger:
    """Token bucket, leases and demand of one account on the leader."""

    def __init__(
        self,
        account: ClientAccount,
        leading_since: float,
        filling_since: float,
    ) -> None:
        """Start with what has been saved up since a time."""
        self._account = account
        self._since = leading_since
        self._leases: dict[str, _Lease] = {}
        # Places that entries keep for later requests, and their expiry.
        self._kept: dict[str, tuple[int, float]] = {}
        self._received = SlidingWindowCounter(WINDOW_S)
        self._usual = DemandEstimate(_USUAL_S)
        self._line = RetryLine()
        # Rate at which the bucket fills.
        self._open_per_s = account.rate_per_s
        self._bucket = TokenBucket(
            account.rate_per_s, get_capacity(account), filling_since
        )
        self._bucket.level = min(INITIAL_PLACES, get_capacity(account))
        self.used_at = leading_since

    @property
    def account(self) -> ClientAccount:
        """The account, with its limit."""
        return self._account

    @property
    def leased_per_s(self) -> float:
        """Sum of the rates that entries may hold."""
        return sum(lease.reserved for lease in self._leases.values())

    def is_calm(self, now: float) -> bool:
        """Return whether even a surge would stay within the allowance."""
        self._received.advance_to(now)
        usual_per_s = self._usual.read_since(self._since, now)
        return is_calm(self._account, usual_per_s, self._received.requests)

    def is_near_limit(self, now: float) -> bool:
        """Return whether the account is near its limit or above it."""
        self._received.advance_to(now)
        return is_near_limit(self._account, self._received.requests)

    def get_usage(self, now: float) -> float:
        """Return the demand as a part of the limit."""
        self._received.advance_to(now)
        measured_s = min(max(now - self._since, _MIN_MEASURED_S), WINDOW_S)
        limit = self._account.rate_per_s * measured_s + self._account.burst
        return self._received.requests / limit

    def advance(
        self, account: ClientAccount, silent_share: float, now: float
    ) -> None:
        """Apply the limit of the newest table, and fill the bucket.

        ``silent_share`` is the part of the entries that have not been heard
        from and may use their part of the limit on their own.
        """
        # Before the rate changes: it applied until now.
        self._bucket.advance_to(now)
        self._account = account
        self.used_at = now
        self._leases = {
            entry: lease
            for entry, lease in self._leases.items()
            if lease.expires_at > now
        }
        unleased = account.rate_per_s - self.leased_per_s
        silent_per_s = (
            silent_share * self._get_open_share() * account.rate_per_s
        )
        self._open_per_s = max(unleased - silent_per_s, 0)
        # Kept places count as saved: they may all be used at the moment at
        # which the bucket is full.
        self._kept = {
            entry: kept for entry, kept in self._kept.items() if kept[1] > now
        }
        kept_count = sum(count for count, _ in self._kept.values())
        capacity = max(get_capacity(account) - kept_count, 0)
        self._bucket.set_rate(self._open_per_s, capacity)

    def record(self, request: ShareRequest, now: float) -> None:
        """Record what an entry has received and returned."""
        received = max(request.received, 0)
        self._received.add(now, requests=received)
        self._usual.add(now, received)
        returned = max(request.returned, 0)
        bucket = self._bucket
        level = bucket.level + returned - max(request.credited, 0)
        # What was admitted on credit may exceed what is left; it is paid back
        # before anything else is granted. A new leader has little left, and may
        # hear of credit that was given before it led.
        if now - self._since < WINDOW_S:
            level = max(level, min(bucket.level, 0))
        bucket.level = min(level, bucket.capacity)

    def lease(
        self,
        entry: str,
        request: ShareRequest,
        now: float,
        *,
        is_settled: bool,
    ) -> float:
        """Return the rate that an entry may use from now on.

        It is its part of the demand of all entries, as far as others have given
        up theirs. A leader that does not know yet what others hold only renews.
        """
        others = [
            lease for name, lease in self._leases.items() if name != entry
        ]
        wanted = request.demand_per_s * LEASE_FACTOR
        if not self._is_leasable(request):
            wanted = 0
        leasable = self._account.rate_per_s * LEASED_SHARE
        total = wanted + sum(lease.wanted for lease in others)
        fair = wanted * min(leasable / total, 1) if total else 0
        free = leasable - sum(lease.reserved for lease in others)
        rate = max(min(fair, free), 0)
        if not is_settled:
            rate = min(rate, request.rate_per_s)
        self._reserve(entry, _Lease(wanted, rate, now), request)
        return rate

    def grant(
        self, entry: str, request: ShareRequest, now: float
    ) -> ShareGrant:
        """Return places for the requests that wait, and for later ones.

        Later ones get none from the part of the bucket that is kept for
        requests that wait.
        """
        places = self._take(request.waiting, 0)
        wait_s: float = 0
        spacing_s: float = 0
        if places < request.waiting and self._open_per_s:
            spacing_s = 1 / self._open_per_s
            wait_s = self._book(request.waiting - places, spacing_s, now)
        kept = get_capacity(self._account) * _KEPT_SHARE
        prefetched = self._take(request.prefetch, kept)
        places += prefetched
        self._kept[entry] = (
            max(request.places, 0) + prefetched,
            now + PLACE_LIFETIME_S,
        )
        return ShareGrant(
            places=places,
            wait_s=wait_s,
            spacing_s=spacing_s,
            usage=self.get_usage(now),
            open_share=self._get_open_share(),
            decided=bool(self._open_per_s) or places >= request.waiting,
        )

    def _get_open_share(self) -> float:
        """Return the part of the limit that entries use without a leader."""
        leased_share = self.leased_per_s / self._account.rate_per_s
        return max(1 - leased_share, FALLBACK_SHARE)

    def _is_leasable(self, request: ShareRequest) -> bool:
        if request.demand_per_s >= MIN_LEASED_PER_S:
            return True
        needed = self._received.requests / WINDOW_S * _DOMINANT_SHARE
        return request.demand_per_s > max(needed, MIN_ACTIVE_PER_S)

    def _reserve(
        self, entry: str, lease: _Lease, request: ShareRequest
    ) -> None:
        """Reserve the greater of what an entry gets and what it holds."""
        now = lease.expires_at
        self._leases.pop(entry, None)
        reserved = max(lease.reserved, request.rate_per_s)
        if not reserved and not lease.wanted:
            return
        lease_s = LEASE_S if lease.reserved else max(request.lease_s, _WANT_S)
        self._leases[entry] = _Lease(
            lease.wanted, reserved, now + lease_s + LEASE_MARGIN_S
        )

    def _take(self, count: int, kept: float) -> int:
        # The tolerance is for the rounding errors of the level.
        spare = int(self._bucket.level - kept + 1e-9)
        taken = max(min(count, spare), 0)
        self._bucket.level -= taken
        return taken

    def _book(self, count: int, spacing_s: float, now: float) -> float:
        """Return the seconds until the first of some further places."""
        missing = max(1 - self._bucket.level, 0)
        self._line.open(now + missing * spacing_s, spacing_s)
        first_s = self._line.take(now)
        for _ in range(count - 1):
            self._line.take(now)
        return first_s
