"""Permits to use candidates."""

import math

from shallotgate.rollouts._ledger import ExposureLedger

# Time in seconds, from its question, for which an entry may use a permit. It
# covers a question that is lost, and bounds what an entry without a leader
# still sends to candidates.
PERMIT_S = 1.0
# Interval in seconds at which entries ask.
ASK_INTERVAL_S = 0.4
# Requests of an entry in the life of its permits, as a multiple of the usual
# number: its callers send at random.
_BURST_FACTOR = 2.0
# Permits of an entry that is to send everything to candidates, and the least
# number of them.
_FULL_FACTOR = 3.0
_MIN_FULL = 8
# Weight of the newest rate in the average of an entry.
_NEWEST_WEIGHT = 0.4
# Credit in permits that is kept at most, as seconds of the share.
_MAX_CREDIT_S = 1.0
_MIN_CREDIT = 3.0
# Starts of entries that are served during one order. Each costs memory.
_MAX_SOURCES = 4096


class PermitGranter:
    """Gives each entry its permits, so that candidates get their share.

    ``now`` is in monotonic seconds.
    """

    def __init__(self, ledger: ExposureLedger, now: float) -> None:
        self._ledger = ledger
        # Share of the requests that candidates get; 0 for none.
        self.share: float = 0
        # Requests that candidates may get in total.
        self.allowance: float = 0
        # Permits that may be granted by the share and are not yet.
        self._credit: float = 1
        self._started_at = now
        self._first_requests = ledger.requests
        # Last question and requests a second of each entry.
        self._rates: dict[str, tuple[float, float]] = {}

    def get_rate(self, now: float) -> float:
        """Return the requests a second of all entries to the service."""
        added = self._ledger.requests - self._first_requests
        return added / max(now - self._started_at, ASK_INTERVAL_S)

    def grant(self, source: str, sums: tuple[int, int, int], now: float) -> int:
        """Return the permits that an entry holds from now on.

        ``sums`` are its requests, its exposure and the permits that it holds.
        """
        requests, exposed, held = sums
        if source not in self._ledger and len(self._ledger) >= _MAX_SOURCES:
            return 0
        added = self._ledger.record(source, requests, exposed, held)
        rate = self._update_rate(source, added, now)
        count = self._choose_count(added, held, rate, now)
        self._ledger.reserve(source, count)
        return count

    def _update_rate(self, source: str, added: int, now: float) -> float:
        asked_at, former = self._rates.get(source, (now - ASK_INTERVAL_S, 0))
        newest = added / max(now - asked_at, ASK_INTERVAL_S / 2)
        rate = former + (newest - former) * _NEWEST_WEIGHT
        self._rates[source] = (now, rate)
        return rate

    def _choose_count(
        self, added: int, held: int, rate: float, now: float
    ) -> int:
        if not self.share:
            return 0
        if self.share >= 1:
            return max(math.ceil(rate * PERMIT_S * _FULL_FACTOR), _MIN_FULL)
        most_credit = self.get_rate(now) * self.share * _MAX_CREDIT_S
        self._credit = min(
            self._credit + added * self.share, max(most_credit, _MIN_CREDIT)
        )
        most = math.ceil(rate * PERMIT_S * self.share * _BURST_FACTOR)
        count = min(
            max(most, 1) - held,
            math.floor(
                min(self._credit, self.allowance - self._ledger.exposed)
            ),
        )
        count = max(count, 0)
        self._credit -= count
        return held + count
