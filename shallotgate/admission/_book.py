"""Outlooks of all services for all kinds of requests."""

from collections.abc import Collection, Iterable, Sequence

from shallotgate.admission._kinds import KindIndex, RequestKind
from shallotgate.admission._load import LoadReport
from shallotgate.admission._outlook import ShardOutlook
from shallotgate.admission._room import WorkNeed
from shallotgate.admission._services import ServiceRecord, ShardState
from shallotgate.admission._work import WorkDuration


class OutlookBook:
    """Keeps what replies report, for services whose targets state a speed."""

    def __init__(self) -> None:
        self.kinds = KindIndex()
        self._works: dict[str, WorkDuration] = {}
        self._records: dict[str, ServiceRecord] = {}

    def apply_kinds(
        self,
        kinds: Sequence[RequestKind],
        account_priorities: Collection[int],
    ) -> None:
        """Replace the kinds; forget services that none of them uses."""
        self.kinds = KindIndex(kinds, account_priorities)
        self._works = {
            kind.name: self._works.get(kind.name, WorkDuration())
            for kind in kinds
        }
        for service in self._records.keys() - self.kinds.services:
            self._records.pop(service)

    def record_reply(
        self,
        kind: str,
        service: str,
        target: str,
        report: LoadReport,
        duration_ms: float,
        now: float,
    ) -> None:
        """Record the load in a reply and the duration of the attempt."""
        work = self._works.get(kind)
        if work is None or service not in self.kinds.services:
            return
        work.record(
            duration_ms, waiting=report.waiting, slowness=report.slowness
        )
        record = self._records.setdefault(service, ServiceRecord())
        record.record(target, report, work.usual_ms, now)

    def record_silence(
        self, service: str, target: str, elapsed_ms: float, now: float
    ) -> None:
        """Record an attempt that was given up without a reply."""
        record = self._records.get(service)
        if record is not None:
            record.record_silence(target, elapsed_ms, now)

    def knows_any(self, services: Iterable[str]) -> bool:
        """Return whether targets of any service report their speed."""
        return any(service in self._records for service in services)

    def get_record(self, service: str) -> ServiceRecord:
        """Return what is known of a service, which may be nothing."""
        return self._records.get(service) or ServiceRecord()

    def get_usual_ms(self, kind: str) -> float:
        """Return the usual duration of a kind's work, 0 if it is unknown."""
        work = self._works.get(kind)
        return work.usual_ms if work else 0

    def list_needs(self, service: str) -> Sequence[WorkNeed]:
        """Return the needs of the kinds whose duration is known."""
        return [
            WorkNeed(usual_ms, kind.objective_ms)
            for kind in self.kinds.list_kinds(service)
            if (usual_ms := self.get_usual_ms(kind.name))
        ]

    def estimate(
        self, kind: str, state: ShardState, now: float
    ) -> ShardOutlook:
        """Return the outlook of a shard for a kind of request."""
        return self.get_record(state.service).estimate(
            state,
            self.list_needs(state.service),
            self.get_usual_ms(kind),
            now,
        )
