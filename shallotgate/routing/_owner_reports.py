"""Reports of owners, which name only what changed."""

import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from shallotgate.errors import PeerUnreachableError
from shallotgate.generated.messages import (
    OwnerReport,
    SubscribeReports,
    TargetState,
)
from shallotgate.membership import TierView
from shallotgate.metrics import Metrics
from shallotgate.routing._index import IndexMap
from shallotgate.routing._observations import TargetObservations
from shallotgate.transport import Delivery, Mailbox


@dataclass
class _Source:
    """One start of an owner and what it reports."""

    start_id: str
    # Number of its last report without a gap before it; 0 for none.
    sequence: int = 0
    # Epoch of each target that it reports.
    epochs: dict[str, int] = field(default_factory=dict)


class OwnerReportReader:
    """Takes over the reports of owners.

    A report confirms all states that the owner reported before, so that a
    silent owner is told from one whose targets did not change. After a lost
    report nothing is confirmed until a full one has come.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        view: TierView,
        observations: TargetObservations,
        index_map: IndexMap,
        metrics: Metrics,
        apply_states: Callable[[Iterable[TargetState], float], None],
    ) -> None:
        self._mailbox = mailbox
        self._view = view
        self._observations = observations
        self._index_map = index_map
        self._metrics = metrics
        self._accept_states = apply_states
        # By instance.
        self._sources: dict[str, _Source] = {}

    def handle_report(self, delivery: Delivery) -> None:
        """Take over a report; on the mailbox's receiving thread."""
        report: OwnerReport = delivery.message
        self._accept_states(report.states, delivery.age_s)
        source = self._sources.get(delivery.sender)
        if source is None or source.start_id != delivery.start_id:
            source = _Source(delivery.start_id)
            self._sources[delivery.sender] = source
        if not self._follow(source, report):
            self._metrics.count('reports_missed_total')
            self._ask_full(delivery.sender)
        elif not self._confirm(source, report, delivery.age_s):
            self._ask_full(delivery.sender)

    def _follow(self, source: _Source, report: OwnerReport) -> bool:
        """Return whether no report is missing."""
        if report.full:
            source.epochs.clear()
        elif not source.sequence or report.sequence != source.sequence + 1:
            source.sequence = 0
            return False
        source.sequence = report.sequence
        source.epochs.update(
            (state.target, state.epoch) for state in report.states
        )
        for target in report.removed:
            source.epochs.pop(target, None)
        return True

    def _confirm(
        self,
        source: _Source,
        report: OwnerReport,
        age_s: float,
    ) -> bool:
        """Confirm unchanged states; return whether all of them are known."""
        places = self._view.current().places
        told = {state.target for state in report.states}
        is_complete = True
        for target, epoch in source.epochs.items():
            place = places.get(target)
            if place is None or target in told:
                continue
            state = self._observations.confirm_state(target, epoch, age_s)
            if state is None:
                is_complete = False
            elif not self._index_map.confirm(place.service.group, target):
                self._index_map.update_target(
                    place.service.group,
                    target,
                    state.versions,
                )
        return is_complete

    def _ask_full(self, owner: str) -> None:
        # Where it fails, the next report leads here again.
        with contextlib.suppress(PeerUnreachableError):
            self._mailbox.send(owner, SubscribeReports(full=True))
