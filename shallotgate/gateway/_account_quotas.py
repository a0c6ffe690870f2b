"""Client for the limits of accounts."""

import asyncio
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from shallotgate.account_limits import (
    AccountShares,
    DecisionCallback,
    QuotaDecision,
)
from shallotgate.gateway._leader_exchange import LeaderExchange, Patience
from shallotgate.gateway._quota_reporter import QuotaReporter
from shallotgate.generated.messages import (
    AskShares,
    GrantShares,
    ShareRequest,
)
from shallotgate.routes import ClientAccount

# A leader answers within a few milliseconds, a busy one within some tens.
_PATIENCE = Patience(timeout_s=0.1, backoff_s=0.2)
# A request that this entry may admit on its own waits for the leader no longer
# than this, in seconds: the shortest latency objectives are some 45 ms. One
# that would be refused waits for the leader's decision.
_MAX_WAIT_S = 0.03
# Interval at which held shares are renewed, in seconds: shorter than the life
# of a place.
_RENEWAL_S = 0.4
# The same in seconds for each entry of the tier. Limits a leader to 1,000
# renewals a second: it spends 52 us on each account in them.
_RENEWAL_PER_ENTRY_S = 0.001


@dataclass(frozen=True)
class _Question:
    number: int
    # Monotonic time.
    asked_at: float
    requests: Sequence[ShareRequest]


class QuotaClient:
    """Holds this entry's shares and renews them, on the event loop.

    Implements ``AccountAdmission``.
    """

    def __init__(
        self,
        send: Callable[[AskShares], bool],
        count_entries: Callable[[], int],
        generator: random.Random,
        reporter: QuotaReporter,
    ) -> None:
        """``send`` sends a message to the leader; False if none is known."""
        self._send = send
        self._count_entries = count_entries
        self._shares = AccountShares(generator)
        self._reporter = reporter
        # Accounts of waiting requests; None stands for a renewal.
        self._exchange: LeaderExchange[
            ClientAccount | None, QuotaDecision | None
        ] = LeaderExchange(self._send_question, count_entries, _PATIENCE)
        self._question = _Question(0, 0, ())
        self._renewal: asyncio.TimerHandle | None = None

    def request(
        self, account: ClientAccount, callback: DecisionCallback
    ) -> None:
        """Request a place; the callback is called exactly once.

        It may be called before this method returns.
        """
        now = time.monotonic()
        self._shares.entries = self._count_entries()
        decision = self._shares.decide(account, now)
        if decision is None:
            self._ask(account, callback)
        else:
            self._reporter.record(account, decision, now)
            callback(decision)
        if decision is not None and decision.decided_by == 'credit':
            # The leader learns of it at once, and the entry of the usage.
            self._exchange.ask(None, _ignore)
        if self._renewal is None:
            self._set_renewal()

    def give_back(self, account: ClientAccount, admitted_at: float) -> None:
        """Return the place of a request that no target ran."""
        self._shares.give_back(account, admitted_at, time.monotonic())
        self._reporter.record_returned(account)

    def get_usage(self, account: ClientAccount) -> float:
        """Return how much of its limit an account has asked for lately.

        1 is all of it; 0 if the account has no limit or nothing is known.
        """
        return self._shares.get_usage(account, time.monotonic())

    def get_used_share(self, account: str, now: float) -> float:
        """Return the usage of an account by its name, for ``AccountUsage``."""
        return self._shares.get_used_share(account, now)

    def set_limits(self, accounts: Sequence[ClientAccount]) -> None:
        """Apply the limits of another table to what is held."""
        self._shares.set_limits(accounts, time.monotonic())

    def handle_grant(self, answer: GrantShares) -> None:
        """Take over an answer and call back the waiting requests."""
        question = self._question
        waiting = self._exchange.finish(answer.number)
        decisions: Mapping[str, Sequence[QuotaDecision]] = {}
        if waiting and answer.leading:
            decisions = self._shares.apply(
                question.requests, answer, question.asked_at, time.monotonic()
            )
        queues = {name: deque(each) for name, each in decisions.items()}
        for each in waiting:
            queue = queues.get(each.item.name) if each.item else None
            each.callback(queue.popleft() if queue else None)

    def _ask(self, account: ClientAccount, callback: DecisionCallback) -> None:
        """Ask the leader, and decide alone if it takes too long."""
        loop = asyncio.get_running_loop()
        is_concluded = False

        def conclude(decision: QuotaDecision) -> None:  # noqa: WPS430
            nonlocal is_concluded  # noqa: WPS420
            is_concluded = True
            timer.cancel()
            self._reporter.record(account, decision, time.monotonic())
            callback(decision)

        def handle_late() -> None:  # noqa: WPS430
            decision = self._decide_alone(account)
            if decision.is_admitted:
                conclude(decision)

        def handle_answer(  # noqa: WPS430
            decision: QuotaDecision | None,
        ) -> None:
            if not is_concluded:
                conclude(decision or self._decide_alone(account))
            elif decision and decision.is_admitted:
                now = time.monotonic()
                self._shares.give_back(account, admitted_at=now, now=now)

        timer = loop.call_later(_MAX_WAIT_S, handle_late)
        self._exchange.ask(account, handle_answer)

    def _decide_alone(self, account: ClientAccount) -> QuotaDecision:
        return self._shares.decide_alone(
            account, self._count_entries(), time.monotonic()
        )

    def _send_question(
        self, number: int, accounts: Sequence[ClientAccount | None]
    ) -> bool:
        now = time.monotonic()
        counts = Counter(each.name for each in accounts if each is not None)
        requests = self._shares.make_requests(counts, now)
        self._question = _Question(number, now, requests)
        return self._send(AskShares(number=number, requests=requests))

    def _set_renewal(self) -> None:
        interval_s = max(
            _RENEWAL_S, self._count_entries() * _RENEWAL_PER_ENTRY_S
        )
        loop = asyncio.get_running_loop()
        self._renewal = loop.call_later(interval_s, self._renew)

    def _renew(self) -> None:
        self._renewal = None
        now = time.monotonic()
        if not self._shares.needs_renewal(now):
            return
        # A question since the last renewal has stated everything already.
        if now - self._question.asked_at >= _RENEWAL_S / 2:
            self._exchange.ask(None, _ignore)
        self._set_renewal()


def _ignore(decision: QuotaDecision | None) -> None:
    """Ignore the answer: it has been taken over."""
