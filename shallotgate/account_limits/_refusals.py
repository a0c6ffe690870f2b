"""Log lines about accounts that are refused, on the leader."""

from shallotgate.account_limits._ledger import AccountLedger
from shallotgate.logs import get_logger

_LOGGER = get_logger('quotas')
# An account is within its limit again if it was not refused for this time, in
# seconds.
_QUIET_S = 2.0


class RefusalLog:
    """Logs when an account starts and stops being refused."""

    def __init__(self) -> None:
        # Monotonic time of the last refusal of each account that is refused.
        self._refused_at: dict[str, float] = {}

    def clear(self) -> None:
        """Forget all accounts, for a new leadership."""
        self._refused_at.clear()

    def record(
        self, ledger: AccountLedger, *, is_refused: bool, now: float
    ) -> None:
        """Record the answer to a question about an account."""
        name = ledger.account.name
        refused_at = self._refused_at.get(name)
        if is_refused:
            self._refused_at[name] = now
            if refused_at is None:
                self._log('Account exceeds its limit.', ledger, now)
        elif refused_at is not None and now - refused_at > _QUIET_S:
            self._refused_at.pop(name)
            self._log('Account is within its limit again.', ledger, now)

    def _log(self, text: str, ledger: AccountLedger, now: float) -> None:
        account = ledger.account
        _LOGGER.info(
            text,
            extra={
                'account': account.name,
                'rate_per_s': account.rate_per_s,
                'burst': account.burst,
                'leased_per_s': round(ledger.leased_per_s, 2),
                'usage': round(ledger.get_usage(now), 2),
            },
        )
