"""Log lines and metrics about the limits of accounts, on an entry."""

from shallotgate.account_limits import QuotaDecision
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics
from shallotgate.routes import ClientAccount

_LOGGER = get_logger('quotas')
_METRIC = 'account_requests_total'
# An account is not refused any more if it was not for this time, in seconds.
_QUIET_S = 5.0


class QuotaReporter:
    """Counts decisions, and logs when an account starts being refused here."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Monotonic time of the last refusal of each account that is refused.
        self._refused_at: dict[str, float] = {}

    def record(
        self, account: ClientAccount, decision: QuotaDecision, now: float
    ) -> None:
        """Record a decision; ``now`` is in monotonic seconds."""
        self._metrics.count(
            _METRIC,
            account=account.name,
            outcome='admitted' if decision.is_admitted else 'refused',
            decided_by=decision.decided_by,
        )
        refused_at = self._refused_at.get(account.name)
        if not decision.is_admitted:
            self._refused_at[account.name] = now
            if refused_at is None:
                self._log('Account refused.', account, decision)
        elif refused_at is not None and now - refused_at > _QUIET_S:
            self._refused_at.pop(account.name)
            self._log('Account not refused any more.', account, decision)

    def record_returned(self, account: ClientAccount) -> None:
        """Record that no target ran an admitted request."""
        self._metrics.count(_METRIC, account=account.name, outcome='returned')

    def _log(
        self, text: str, account: ClientAccount, decision: QuotaDecision
    ) -> None:
        _LOGGER.info(
            text,
            extra={
                'account': account.name,
                'rate_per_s': account.rate_per_s,
                'burst': account.burst,
                'decided_by': decision.decided_by,
                'retry_after_s': round(decision.retry_after_s, 3),
            },
        )
