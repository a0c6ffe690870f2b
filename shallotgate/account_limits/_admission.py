"""Admission of requests of accounts, as the gateway uses it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, Protocol

from shallotgate.routes import ClientAccount

# What decided: a share that the entry held, its credit for an account that is
# far from its limit, the leader, an earlier answer of the leader that still
# applies, or the entry's own part without a leader.
Decider = Literal['share', 'credit', 'leader', 'earlier_answer', 'fallback']


@dataclass(frozen=True)
class QuotaDecision:
    """Whether a request may be sent."""

    is_admitted: bool
    decided_by: Decider
    # Seconds until the account has room at this entry.
    retry_after_s: float = 0


# Called once with the decision.
DecisionCallback = Callable[[QuotaDecision], None]


class AccountAdmission(Protocol):
    """Admits requests within the limits of their accounts."""

    def request(
        self, account: ClientAccount, callback: DecisionCallback
    ) -> None:
        """Request a place; the callback is called exactly once.

        It may be called before this method returns.
        """

    def give_back(self, account: ClientAccount, admitted_at: float) -> None:
        """Return the place of a request that no target ran."""

    def get_usage(self, account: ClientAccount) -> float:
        """Return how much of its limit an account has asked for lately.

        1 is all of it; 0 if the account has no limit or nothing is known.
        """
