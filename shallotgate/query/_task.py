"""State of one query and the dependencies shared by all queries."""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from shallotgate.generated.answers import (
    Answer,
    AnswerFinding,
    MissingShard,
    QueryRequest,
    ShardCoverage,
)
from shallotgate.generated.catalogue import ClassPolicy
from shallotgate.generated.settings import Policy
from shallotgate.membership import CommandPort, Lease, TierView
from shallotgate.metrics import Metrics
from shallotgate.query._commit_retrier import CommitRetrier
from shallotgate.query._digests import DigestTable
from shallotgate.routing import (
    AllGroups,
    AttemptPort,
    Budget,
    LatencyTracker,
    ReplicaChooser,
    ReportScope,
)

MS_PER_S = 1000
# Retries allowed per 10 s window regardless of the number of attempts.
_MIN_RETRIES_PER_WINDOW = 10


@dataclass
class QueryDependencies:
    """Parts that all queries of an instance share."""

    view: TierView
    lease: Lease
    port: AttemptPort
    commands: CommandPort
    chooser: ReplicaChooser
    latency: LatencyTracker
    metrics: Metrics
    policy: Policy
    # Failure domain of this instance, and the id of its current start.
    domain: str
    start_id: str
    # Maximum duration of one attempt.
    max_attempt_ms: float = 5000
    # Bound on queued plus running queries.
    max_queries: int = 512
    # Digests of content that a target has run successfully.
    proven_digests: DigestTable[bool] = field(default_factory=DigestTable)
    # Targets that were lost while running the content, by digest.
    suspect_digests: DigestTable[tuple[str, ...]] = field(
        default_factory=DigestTable
    )
    # Tracks the groups in use, whose owners' reports are subscribed to.
    report_scope: ReportScope = field(default_factory=AllGroups)
    commit_retrier: CommitRetrier = field(default_factory=CommitRetrier)
    hedge_budget: Budget = field(init=False)
    retry_budget: Budget = field(init=False)

    def __post_init__(self) -> None:
        self.hedge_budget = Budget(self.policy.hedge_budget)
        self.retry_budget = Budget(
            self.policy.retry_budget, minimum=_MIN_RETRIES_PER_WINDOW
        )


@dataclass(frozen=True)
class Task:
    """A validated request with its deadlines."""

    request_id: str
    request: QueryRequest
    caller: str
    policy: ClassPolicy
    digest: str
    # The query as canonical JSON.
    body: bytes
    # Monotonic times.
    started_at: float
    # The query stops waiting for replies at this time.
    deadline: float
    # In latency mode, the query answers at this time with the shards it has.
    soft_deadline: float
    # Effective deadline in milliseconds after the start.
    deadline_ms: int

    def remaining_s(self) -> float:
        """Return the time until the deadline in seconds."""
        return self.deadline - time.monotonic()

    def make_answer(
        self,
        outcome: str,
        reason: str,
        *,
        attempts: int = 0,
        missing: Sequence[MissingShard] = (),
        findings: Sequence[AnswerFinding] = (),
    ) -> Answer:
        """Return an answer without matches."""
        coverage = None
        if missing:
            coverage = ShardCoverage(
                asked=len(missing),
                answered=0,
                missing=missing,
            )
        return Answer(
            request_id=self.request_id,
            outcome=outcome,  # type: ignore[arg-type]
            reason=reason,
            shards=coverage,
            deadline_ms=self.deadline_ms,
            elapsed_ms=self.compute_elapsed_ms(),
            attempts=attempts,
            findings=findings,
        )

    def compute_elapsed_ms(self) -> float:
        """Return the time since the start in milliseconds."""
        elapsed_ms = (time.monotonic() - self.started_at) * MS_PER_S
        return round(elapsed_ms, 3)


@dataclass(slots=True)
class Usage:
    """Counters of one query's attempts, for its answer and the metrics."""

    sent: int = 0
    # Attempts that a target may have run, including those without a reply.
    may_have_run: int = 0
    # Attempts that a target ran and answered with an error.
    failed: int = 0
    hedges: int = 0
    retries: int = 0
    discarded: int = 0
    restarts: int = 0
    # Sum over phases of the longest service time on a target, without
    # queueing; 0 if not reported by owners.
    service_ms: float = 0
    # Whether a target was lost in the current phase.
    lost_in_phase: bool = False
    # Targets that were lost while running an attempt of this query.
    lost_targets: list[str] = field(default_factory=list)

    def derive_outcome(self) -> str:
        """Return the outcome of a query without any answered shard."""
        if not self.may_have_run:
            return 'refused'
        return 'failed' if self.failed == self.may_have_run else 'unknown'
