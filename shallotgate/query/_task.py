"""One admitted request and the parts that answer it."""

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
from shallotgate.query._screening import DigestTable
from shallotgate.query._settler import Settler
from shallotgate.routing import (
    AllGroups,
    AttemptPort,
    Budget,
    LatencyTracker,
    ReplicaChooser,
    ReportInterest,
)

MS_PER_S = 1000
# Retries in 10 s that a quiet entry may send whatever their share.
_RETRY_FLOOR = 10


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
    # Failure domain and start id of this instance.
    domain: str
    start_id: str
    # Longest time of one attempt in milliseconds.
    max_attempt_ms: float = 5000
    # Queries that may wait and run at once.
    max_queries: int = 512
    # Digests that completed on a target.
    proven: DigestTable[bool] = field(default_factory=DigestTable)
    # Names of targets that were lost while they ran a digest.
    suspects: DigestTable[tuple[str, ...]] = field(default_factory=DigestTable)
    # Told which groups are in use, so that their owners' reports are asked.
    interest: ReportInterest = field(default_factory=AllGroups)
    settler: Settler = field(default_factory=Settler)
    hedges: Budget = field(init=False)
    retries: Budget = field(init=False)

    def __post_init__(self) -> None:
        self.hedges = Budget(self.policy.hedge_budget)
        self.retries = Budget(self.policy.retry_budget, floor=_RETRY_FLOOR)


@dataclass(frozen=True)
class Task:
    """One request that passed the check."""

    request_id: str
    request: QueryRequest
    caller: str
    policy: ClassPolicy
    digest: str
    # The query as JSON.
    body: bytes
    # Monotonic times.
    started_at: float
    # Replies after this time are not waited for.
    deadline: float
    # Classes of mode latency answer now with what they have.
    soft_limit: float
    # Deadline applied in milliseconds.
    deadline_ms: int

    def remaining_s(self) -> float:
        """Return the time to the deadline in seconds."""
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
            elapsed_ms=self.read_elapsed_ms(),
            attempts=attempts,
            findings=findings,
        )

    def read_elapsed_ms(self) -> float:
        """Return the time spent in milliseconds."""
        elapsed_ms = (time.monotonic() - self.started_at) * MS_PER_S
        return round(elapsed_ms, 3)


@dataclass(slots=True)
class Usage:
    """Attempts of one query, for its answer and the metrics."""

    sent: int = 0
    # Attempts that a target may have run, with or without a reply.
    may_have_run: int = 0
    # Attempts that a target ran and answered with an error.
    failed: int = 0
    hedges: int = 0
    retries: int = 0
    discarded: int = 0
    restarts: int = 0
    # Time on targets, without any wait, of the slowest attempt of each phase;
    # 0 if no owner told it.
    service_ms: float = 0
    # Whether a target was lost since the present shards were opened.
    lost_in_phase: bool = False
    # Targets lost while they ran an attempt of this query.
    lost_targets: list[str] = field(default_factory=list)

    def judge(self) -> str:
        """Return the outcome of a query without any shard's answer."""
        if not self.may_have_run:
            return 'refused'
        return 'failed' if self.failed == self.may_have_run else 'unknown'
