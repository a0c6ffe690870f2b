"""What an entry knows of one service from the replies of its targets."""

from collections.abc import Sequence
from dataclasses import dataclass

from shallotgate.admission._load import (
    UNKNOWN,
    LoadEstimate,
    LoadReport,
    TargetLoadAverage,
)
from shallotgate.admission._outlook import (
    ServiceWork,
    ShardOutlook,
    estimate_shard,
)
from shallotgate.admission._room import WorkNeed, find_begin

_MS_PER_S = 1000
# Weight of the newest reply in the mean duration of the work of all kinds.
_NEWEST_WEIGHT = 0.1
# Part of failed attempts from which a target counts as failing. The leader adds
# two replies to each target, so that one that always fails is reported at 0.6
# to 0.75 at 20 attempts a second.
_FAILING_SHARE = 0.55
# Targets that are kept at most: several times the replicas of a service, as
# targets that were replaced are forgotten only by this bound.
_MAX_TARGETS = 64


@dataclass(frozen=True)
class TargetState:
    """A target that may receive a request, as this entry sees it now."""

    name: str
    # Age of the oldest attempt in flight; 0 without one.
    stall_ms: float = 0
    # Part of the attempts that fail, as all entries together see it.
    failures: float = 0


@dataclass(frozen=True)
class ShardState:
    """A shard and those of its targets that may receive a request now."""

    service: str
    targets: Sequence[TargetState]
    # Seconds until one of its targets may receive requests again; None if
    # that is unknown.
    ready_s: float | None = None


class ServiceRecord:
    """Reports of the targets of one service."""

    def __init__(self) -> None:
        self._targets: dict[str, TargetLoadAverage] = {}
        self._slots = 1
        # Usual duration of the work of all kinds; 0 before the first reply.
        self.mean_ms: float = 0

    def record(
        self, target: str, report: LoadReport, usual_ms: float, now: float
    ) -> None:
        """Record a reply to a kind of request with a usual duration."""
        self._find_target(target).record(report, now)
        self._slots = max(report.slots, 1)
        if self.mean_ms:
            self.mean_ms += (usual_ms - self.mean_ms) * _NEWEST_WEIGHT
        else:
            self.mean_ms = usual_ms

    def record_silence(
        self, target: str, elapsed_ms: float, now: float
    ) -> None:
        """Record an attempt that was given up without a reply."""
        self._find_target(target).record_silence(elapsed_ms, now)

    def estimate(
        self,
        state: ShardState,
        needs: Sequence[WorkNeed],
        usual_ms: float,
        now: float,
    ) -> ShardOutlook:
        """Return the outlook for a request of a usual duration."""
        return estimate_shard(
            state.service,
            [self._estimate_target(target, now) for target in state.targets],
            ServiceWork(needs, self.mean_ms),
            usual_ms,
            is_failing=all(
                target.failures > _FAILING_SHARE for target in state.targets
            ),
        )

    def find_drain_s(
        self, shard: ShardOutlook, needs: Sequence[WorkNeed]
    ) -> float:
        """Return the seconds until the queue no longer leads to refusals."""
        begin = find_begin(needs, shard.slowness, self.mean_ms)
        rounds = max(shard.occupancy - begin, 0)
        return rounds * self.mean_ms * shard.slowness / _MS_PER_S

    def find_capacity(self, shard: ShardOutlook, targets: int) -> float:
        """Return the requests a second that the targets can process."""
        work_ms = max(self.mean_ms * shard.slowness, 1)
        return max(targets, 1) * self._slots * _MS_PER_S / work_ms

    def _estimate_target(self, target: TargetState, now: float) -> LoadEstimate:
        known = self._targets.get(target.name)
        if known is None:
            return UNKNOWN
        return known.estimate(now, target.stall_ms)

    def _find_target(self, name: str) -> TargetLoadAverage:
        known = self._targets.pop(name, None) or TargetLoadAverage()
        # At the end, so that the first one is the one unheard of for longest.
        self._targets[name] = known
        if len(self._targets) > _MAX_TARGETS:
            self._targets.pop(next(iter(self._targets)))
        return known
