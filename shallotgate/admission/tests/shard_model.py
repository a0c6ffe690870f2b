"""Model of one shard whose requests come from many entries."""

import heapq
import random
from dataclasses import dataclass

from shallotgate.admission import (
    AdmissionControl,
    AdmissionRequest,
    LoadReport,
    OutlookBook,
    RequestKind,
    ShardState,
    TargetState,
)

KINDS = (
    RequestKind('urgent', 0, ('s',), 1, objective_ms=171),
    RequestKind('usual', 1, ('s',), 1, objective_ms=171),
)
WORK_MS = 16
USUAL = LoadReport(0, 0, slots=4, duration_percent=100)
_MS_PER_S = 1000


class Entry:
    """An entry that has seen replies of usual speed from target ``t0``."""

    def __init__(self, seed=1, kinds=KINDS, now=0):
        self.book = OutlookBook()
        self.control = AdmissionControl(self.book, random.Random(seed))
        self.control.apply_kinds(kinds)
        self.kinds = kinds
        for kind in kinds:
            for service in kind.services:
                self.record(USUAL, now, service=service, kind=kind.name)

    def record(self, report, now, *, target='t0', service='s', kind='usual'):
        """Record a reply with a load report."""
        duration_ms = WORK_MS * report.slowness
        self.book.record_reply(kind, service, target, report, duration_ms, now)

    def ask(self, now, *, kind='usual', priority=1, **more):
        """Return a request for all services of the kind."""
        names = next(each for each in self.kinds if each.name == kind).services
        fields = {
            'shards': [make_shard(name) for name in names],
            'deadline': now + 1.5,
            'answer_by': now + 0.16,
            **more,
        }
        return AdmissionRequest(kind, priority, **fields)

    def decide(self, now, **more):
        """Decide on a request for all services of the kind."""
        return self.control.decide(self.ask(now, **more), now)


def make_shard(service='s', targets=1, stall_ms=0.0, ready_s=None):
    return ShardState(
        service,
        [TargetState(f't{number}', stall_ms) for number in range(targets)],
        ready_s,
    )


@dataclass(frozen=True)
class Served:
    """A request of the model."""

    sent_at: float
    kind: str
    # None if it was refused.
    duration_ms: float | None


def play_shard(*, entries, per_s, seconds, slowness, slots=8):
    """Return the requests to one shard; ``per_s`` is the rate by kind.

    The shard's targets are one queue in order of arrival. Entries decide
    alone, each on a share of the requests.
    """
    generator = random.Random(5)
    crowd = [Entry(seed) for seed in range(entries)]
    percent = slowness * 100
    free_at = [0.0] * slots
    in_progress = []
    served = []
    now = 0.0
    while now < seconds:
        now += generator.expovariate(sum(per_s.values()))
        while in_progress and in_progress[0][0] <= now:
            ended_at, _, entry = heapq.heappop(in_progress)
            running = min(len(in_progress), slots)
            waiting = len(in_progress) - running
            entry.record(LoadReport(running, waiting, slots, percent), ended_at)
        entry = generator.choice(crowd)
        kind = generator.choices(list(per_s), per_s.values())[0]
        priority = 0 if kind == 'urgent' else 1
        if not entry.decide(now, kind=kind, priority=priority).is_admitted:
            served.append(Served(now, kind, None))
            continue
        started_at = max(heapq.heappop(free_at), now)
        ended_at = started_at + WORK_MS * slowness / _MS_PER_S
        heapq.heappush(free_at, ended_at)
        heapq.heappush(in_progress, (ended_at, len(served), entry))
        served.append(Served(now, kind, (ended_at - now) * _MS_PER_S))
    return served


def read_refused_part(requests):
    return sum(one.duration_ms is None for one in requests) / len(requests)
