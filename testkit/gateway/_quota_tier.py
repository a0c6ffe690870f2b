"""Entries and a leader that keep the limits of accounts, without a network."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from shallotgate.account_limits import (
    QuotaDecision,
    ShareAllocator,
    get_allowance,
)
from shallotgate.gateway import QuotaClient, QuotaReporter
from shallotgate.generated.messages import (
    AskShares,
    FollowTier,
    GrantShares,
)
from shallotgate.metrics import Metrics
from shallotgate.registry import EntryCounter
from shallotgate.routes import ClientAccount

_LATENCY_S = 0.002
# Interval at which entries ask the leader for updates, in seconds.
_FOLLOW_S = 0.8
_WINDOW_S = 5.0


@dataclass(frozen=True)
class QuotaOutcome:
    """A request and what was decided on it, in loop time."""

    account: str
    sent_at: float
    decided_at: float
    decision: QuotaDecision


@dataclass
class SimulatedLeader:
    """Leader of one term."""

    allocator: ShareAllocator
    counter: EntryCounter
    questions: int = 0


class QuotaEntry:
    """An entry whose link to the leader can be cut, and that can freeze."""

    def __init__(self, name: str, tier: 'QuotaTier', seed: int) -> None:
        self.name = name
        self.is_linked = True
        self._tier = tier
        # Calls that are held back while it is frozen; None if it is not.
        self._held: list[Callable[[], None]] | None = None
        self.metrics = Metrics()
        self._seed = seed
        self.restart()

    def restart(self) -> None:
        """Forget everything, as a new process does."""
        self._client = QuotaClient(
            self._send,
            lambda: len(self._tier.entries),
            random.Random(self._seed),  # noqa: S311 - no secret
            QuotaReporter(self.metrics),
        )

    @property
    def client(self) -> QuotaClient:
        """Admission of this entry."""
        return self._client

    def request(self, account: ClientAccount) -> None:
        """Send a request of an account and record what becomes of it."""
        self._run_or_hold(lambda: self._request(account))

    def freeze(self) -> None:
        """Hold back all that arrives."""
        self._held = []

    def resume(self) -> None:
        """Handle all that was held back, at once."""
        held = self._held or []
        self._held = None
        for call in held:
            call()

    def follow(self, leader: SimulatedLeader, now: float) -> None:
        """Tell the leader that this entry is there."""
        if self.is_linked and self._held is None:
            position = FollowTier(
                domain='a',
                table_version=1,
                domains_revision=0,
                listing_source='',
                listing_revision=0,
                leaving=False,
                entries=len(self._tier.entries),
            )
            leader.counter.record_request(self.name, position, now)

    def _request(self, account: ClientAccount) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()

        def record(decision: QuotaDecision) -> None:  # noqa: WPS430
            self._tier.outcomes.append(
                QuotaOutcome(account.name, sent_at, loop.time(), decision)
            )

        self._client.request(account, record)

    def _send(self, ask: AskShares) -> bool:
        leader = self._tier.leader
        if leader is None:
            return False
        if self.is_linked and self._held is None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._tier.latency_s, self._deliver, leader, ask)
        return True

    def _deliver(self, leader: SimulatedLeader, ask: AskShares) -> None:
        if leader is not self._tier.leader:
            return
        answer = self._tier.answer(self.name, leader, ask)
        loop = asyncio.get_running_loop()
        loop.call_later(self._tier.latency_s, self._receive, answer)

    def _receive(self, answer: GrantShares) -> None:
        if self.is_linked:
            self._run_or_hold(lambda: self._client.handle_grant(answer))

    def _run_or_hold(self, call: Callable[[], None]) -> None:
        if self._held is None:
            call()
        else:
            self._held.append(call)


@dataclass
class QuotaTier:
    """Entries that share the limits of accounts."""

    accounts: dict[str, ClientAccount]
    size: int
    entries: list[QuotaEntry] = field(default_factory=list)
    leader: SimulatedLeader | None = None
    outcomes: list[QuotaOutcome] = field(default_factory=list)
    # One-way latency between an entry and the leader, in seconds.
    latency_s: float = _LATENCY_S
    # Questions that former leaders have answered.
    questions: int = 0

    def __post_init__(self) -> None:
        """Create the entries; there is no leader yet."""
        self.entries = [
            QuotaEntry(f'e{number}', self, number)
            for number in range(self.size)
        ]

    def begin_leadership(self) -> None:
        """Let a new leader begin; it knows nothing."""
        now = asyncio.get_running_loop().time()
        leader = SimulatedLeader(ShareAllocator(), EntryCounter())
        leader.allocator.activate(now)
        leader.counter.set_leading(is_leading=True, now=now)
        self.leader = leader

    def end_leadership(self) -> None:
        """Leave the entries without a leader."""
        if self.leader is not None:
            self.questions += self.leader.questions
        self.leader = None

    def answer(
        self, entry: str, leader: SimulatedLeader, ask: AskShares
    ) -> GrantShares:
        """Return the answer of a leader."""
        now = asyncio.get_running_loop().time()
        leader.questions += 1
        silent_share = leader.counter.get_silent_share(now)
        lists = leader.allocator.list_accounts(now)
        return GrantShares(
            number=ask.number,
            leading=True,
            grants=[
                leader.allocator.grant(
                    entry, request, self.accounts, silent_share, now
                )
                for request in ask.requests
            ],
            lists_known=lists is not None,
            busy=lists.busy if lists else (),
            exceeding=lists.exceeding if lists else (),
        )

    async def follow(self) -> None:
        """Let the entries ask for updates until cancelled."""
        loop = asyncio.get_running_loop()
        step_s = _FOLLOW_S / self.size
        while True:  # noqa: WPS457 - until it is cancelled
            for entry in self.entries:
                if self.leader is not None:
                    entry.follow(self.leader, loop.time())
                await asyncio.sleep(step_s)  # noqa: WPS476 - paces the entries

    async def send(
        self,
        account: str,
        per_s: float,
        seconds: float,
        entries: Sequence[QuotaEntry] = (),
        seed: int = 1,
    ) -> None:
        """Send requests with random gaps to random entries."""
        generator = random.Random(seed)  # noqa: S311 - no secret
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while True:  # noqa: WPS457 - until the time is over
            await asyncio.sleep(  # noqa: WPS476 - paces the requests
                generator.expovariate(per_s)
            )
            if loop.time() >= until:
                return
            entry = generator.choice(entries or self.entries)
            entry.request(self.accounts[account])

    def list_admitted(self, account: str) -> list[float]:
        """Return the times of the admitted requests of an account."""
        return sorted(
            outcome.decided_at
            for outcome in self.outcomes
            if outcome.account == account and outcome.decision.is_admitted
        )

    def count_refused(self, account: str, since: float = 0) -> int:
        """Return the number of refused requests of an account."""
        return sum(
            not outcome.decision.is_admitted
            for outcome in self.outcomes
            if outcome.account == account and outcome.sent_at >= since
        )

    def get_peak(self, account: str) -> float:
        """Return the most admitted requests as a part of what is allowed."""
        peak = count_peak(self.list_admitted(account))
        return peak / get_allowance(self.accounts[account])


def count_peak(times: Iterable[float]) -> int:
    """Return the most times that lie in one window of 5 s.

    >>> count_peak([0, 1, 5, 5.5, 10.6])
    3
    """
    ordered = sorted(times)
    first = 0
    peak = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] > _WINDOW_S:
            first += 1
        peak = max(peak, last - first + 1)
    return peak
