"""Processing of the incremental reports of owners."""

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
from shallotgate.routing._index_map import IndexMap
from shallotgate.routing._observations import TargetObservations
from shallotgate.transport import Delivery, Mailbox


@dataclass
class _ReportStream:
    """State of the reports from one start of an owner."""

    start_id: str
    # Sequence number of the last report received without a gap; 0 if none.
    sequence: int = 0
    # Epoch of each reported target.
    epochs: dict[str, int] = field(default_factory=dict)


class OwnerReportReader:
    """Applies the reports of owners.

    A report also confirms all states that the owner reported earlier, which
    distinguishes a silent owner from one whose targets did not change. After
    a lost report, no states are confirmed until a full report arrives.
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
        self._streams: dict[str, _ReportStream] = {}

    def handle_report(self, delivery: Delivery) -> None:
        """Apply a report; called on the receiving thread of the mailbox."""
        report: OwnerReport = delivery.message
        self._accept_states(report.states, delivery.age_s)
        stream = self._streams.get(delivery.sender)
        if stream is None or stream.start_id != delivery.start_id:
            stream = _ReportStream(delivery.start_id)
            self._streams[delivery.sender] = stream
        if not self._track_sequence(stream, report):
            self._metrics.count('reports_missed_total')
            self._request_full_report(delivery.sender)
        elif not self._confirm_unchanged(stream, report, delivery.age_s):
            self._request_full_report(delivery.sender)

    def _track_sequence(
        self, stream: _ReportStream, report: OwnerReport
    ) -> bool:
        """Update the sequence; return False if a report is missing."""
        if report.full:
            stream.epochs.clear()
        elif not stream.sequence or report.sequence != stream.sequence + 1:
            stream.sequence = 0
            return False
        stream.sequence = report.sequence
        stream.epochs.update(
            (state.target, state.epoch) for state in report.states
        )
        for target in report.removed:
            stream.epochs.pop(target, None)
        return True

    def _confirm_unchanged(
        self,
        stream: _ReportStream,
        report: OwnerReport,
        age_s: float,
    ) -> bool:
        """Confirm unchanged states; return whether all of them are known."""
        places = self._view.current().places
        reported = {state.target for state in report.states}
        is_complete = True
        for target, epoch in stream.epochs.items():
            place = places.get(target)
            if place is None or target in reported:
                continue
            state = self._observations.confirm_state(target, epoch, age_s)
            if state is None:
                is_complete = False
            elif not self._index_map.refresh_target(
                place.service.group, target
            ):
                self._index_map.update_target(
                    place.service.group,
                    target,
                    state.versions,
                )
        return is_complete

    def _request_full_report(self, owner: str) -> None:
        # If sending fails, the next report triggers another request.
        with contextlib.suppress(PeerUnreachableError):
            self._mailbox.send(owner, SubscribeReports(full=True))
