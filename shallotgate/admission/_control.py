"""Admission of requests by the outlook of the shards that they need."""

import math
import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Literal

from shallotgate.admission._book import OutlookBook
from shallotgate.admission._kinds import RequestKind
from shallotgate.admission._odds import compute_refused_part
from shallotgate.admission._outlook import (
    ShardOutlook,
    find_deciding,
    find_pressed,
)
from shallotgate.admission._returns import ReturnTimes, ReturnWindow
from shallotgate.admission._services import ShardState
from shallotgate.admission._usage import AccountUsage, MeanUsage, NoUsage

_MS_PER_S = 1000
# No second attempt is sent to a shard whose replicas all have more requests
# than slots: it would wait as long as the first one and keep others waiting.
_FULL_OCCUPANCY = 1.0
# Part of the requests that is refused while too few shards have a target that
# does not fail. The others show when targets have recovered.
_FAILING_PART = 0.75
# Part of the room that is open to callers who return.
_RETURN_SHARE = 0.25
# Reasons for which the end of a pause or a back-off gives the time to return.
_NO_QUEUE_REASONS = ('no_target', 'failing')


@dataclass(frozen=True)
class AdmissionRequest:
    """A request whose admission is decided; times are monotonic seconds."""

    kind: str
    priority: int
    shards: Sequence[ShardState]
    deadline: float
    # Latest time of an answer within the objective.
    answer_by: float
    # Name of the caller's account; empty if there is none.
    account: str = ''

    @property
    def services(self) -> list[str]:
        """Services that are asked."""
        return [shard.service for shard in self.shards]


@dataclass(frozen=True)
class Decision:
    """Admission or refusal of a request, with the inputs."""

    reason: Literal['', 'no_target', 'deadline', 'failing', 'pressure']
    # The shard that decided.
    shard: ShardOutlook
    # Probability of a refusal because of the pressure.
    refused_part: float = 0
    # Used part of the account's limit, less the mean of all requests.
    usage_difference: float = 0

    @property
    def is_admitted(self) -> bool:
        """Whether the request may be sent."""
        return not self.reason


class AdmissionControl:
    """Decides on the requests of one entry from what replies reported.

    It has no state of other entries: each refuses the same part of its own
    requests, as all of them hear of the same targets.
    """

    def __init__(self, book: OutlookBook, generator: random.Random) -> None:
        self.usage: AccountUsage = NoUsage()
        # Entries that share the targets; 0 if it is unknown.
        self.entries = 0
        self._book = book
        self._draw = generator.random
        self._mean_usage = MeanUsage()
        self._returns = ReturnTimes(generator)

    def apply_kinds(
        self,
        kinds: Sequence[RequestKind],
        account_priorities: Collection[int] = (),
    ) -> None:
        """Replace the kinds of requests; accounts may use all of them."""
        self._book.apply_kinds(kinds, account_priorities)
        self._returns.retain(self._book.kinds.services)

    def decide(self, request: AdmissionRequest, now: float) -> Decision | None:
        """Admit or refuse a request; None if no target reports its speed."""
        kind = self._book.kinds.by_name.get(request.kind)
        if kind is None or not self._book.knows_any(request.services):
            return None
        shards = self._estimate(request, now)
        deciding = find_deciding(shards, kind.needed)
        if deciding.expected_ms == math.inf:
            return Decision('no_target', deciding)
        if deciding.expected_ms > (request.deadline - now) * _MS_PER_S:
            return Decision('deadline', deciding)
        if deciding.is_failing and self._draw() < _FAILING_PART:
            return Decision('failing', deciding, _FAILING_PART)
        return self._decide_by_pressure(request, kind, shards, now)

    def allows_extra(self, state: ShardState, now: float) -> bool:
        """Return whether a hedge or repetition may be sent to a shard."""
        if not self._book.knows_any((state.service,)):
            return True
        shard = self._book.estimate('', state, now)
        return shard.occupancy <= _FULL_OCCUPANCY

    def choose_return(
        self, request: AdmissionRequest, decision: Decision | None, now: float
    ) -> float | None:
        """Return the delay in seconds after which a refused caller returns.

        Without a decision, a request that was admitted did not run. Returns
        None if no target reports its speed.
        """
        kind = self._book.kinds.by_name.get(request.kind)
        if kind is None or not self._book.knows_any(request.services):
            return None
        if decision is None or decision.reason in _NO_QUEUE_REASONS:
            ready_s = _find_ready_s(request.shards, kind.needed)
            shard = find_deciding(self._estimate(request, now), kind.needed)
        else:
            shard = decision.shard
            ready_s = self._find_drain_s(shard)
        return self._returns.choose(
            shard.service,
            ReturnWindow(
                request.deadline - now,
                request.answer_by - now,
                ready_s,
                self._find_interval_s(shard, request),
                self._book.get_usual_ms(kind.name) * shard.slowness / _MS_PER_S,
            ),
            now,
        )

    def _estimate(
        self, request: AdmissionRequest, now: float
    ) -> list[ShardOutlook]:
        return [
            self._book.estimate(request.kind, state, now)
            for state in request.shards
        ]

    def _decide_by_pressure(
        self,
        request: AdmissionRequest,
        kind: RequestKind,
        shards: Sequence[ShardOutlook],
        now: float,
    ) -> Decision:
        kinds = self._book.kinds
        pressed = find_pressed(
            shards, kinds.find_needed(kind, request.priority)
        )
        difference = self._mean_usage.compare(
            self.usage.get_used_share(request.account, now)
        )
        refused_part = compute_refused_part(
            pressed.pressure,
            kinds.find_rank(pressed.service, request.priority),
            difference,
        )
        is_refused = self._draw() < refused_part
        return Decision(
            'pressure' if is_refused else '', pressed, refused_part, difference
        )

    def _find_drain_s(self, shard: ShardOutlook) -> float | None:
        record = self._book.get_record(shard.service)
        needs = self._book.list_needs(shard.service)
        return record.find_drain_s(shard, needs) or None

    def _find_interval_s(
        self, shard: ShardOutlook, request: AdmissionRequest
    ) -> float:
        targets = sum(
            len(state.targets)
            for state in request.shards
            if state.service == shard.service
        )
        record = self._book.get_record(shard.service)
        per_s = record.find_capacity(shard, targets) * _RETURN_SHARE
        return max(self.entries, 1) / per_s


def _find_ready_s(shards: Sequence[ShardState], needed: int) -> float | None:
    """Return when enough shards have a target, in seconds, if it is known."""
    moments = sorted(_get_ready_s(shard) for shard in shards)
    ready_s = moments[min(needed, len(moments)) - 1]
    return ready_s if 0 < ready_s < math.inf else None


def _get_ready_s(shard: ShardState) -> float:
    if shard.targets:
        return 0
    return math.inf if shard.ready_s is None else shard.ready_s
