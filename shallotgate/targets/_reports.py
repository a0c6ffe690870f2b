"""Incremental reports of target states to entries."""

import math
import operator
import threading
from collections.abc import Callable, Mapping, Sequence

from shallotgate.generated.messages import OwnerReport, TargetState

# Interval of full reports. They correct states that are out of date because a
# reply was lost; a lost report is detected by its sequence number and
# requested again.
FULL_REPORT_PERIOD_S = 600.0
# Moving averages that changed by less than this are not sent.
_RELATIVE_TOLERANCE = 0.1
_TOLERANCE_MS = 0.5
# Fields of which any change is sent.
_get_exact_fields = operator.attrgetter(
    'epoch',
    'limit',
    'in_flight',
    'queued',
    'cold',
    'draining',
    'lost',
    'versions',
)


class ReportSubscriber:
    """Target states as last sent to one start of one entry.

    ``send`` is called while the lock is held, so that the entry receives the
    states in the order in which they are recorded here. It returns whether the
    message was accepted for sending.
    """

    def __init__(
        self,
        start_id: str,
        send: Callable[[object], bool],
    ) -> None:
        self.start_id = start_id
        # Monotonic time of the last attempt or subscription of the entry.
        self.last_used_at = float('-inf')
        self._send = send
        self._lock = threading.Lock()
        self._sent_states: dict[str, TargetState] = {}
        self._sequence = 0
        self._last_full_at = float('-inf')

    def request_full_report(self) -> None:
        """Make the next report a full one."""
        self._last_full_at = float('-inf')

    def send_reply(self, reply: object, state: TargetState | None) -> None:
        """Send a reply that contains the state of its target."""
        with self._lock:
            is_sent = self._send(reply)
            # A target that was not in a report yet must be in the next one;
            # otherwise the entry could not tell that this instance owns it.
            if (
                is_sent
                and state is not None
                and state.target in self._sent_states
            ):
                self._sent_states[state.target] = state

    def send_report(self, states: Sequence[TargetState], now: float) -> None:
        """Send the changed states, or all states if a full report is due."""
        with self._lock:
            is_full = now >= self._last_full_at + FULL_REPORT_PERIOD_S
            current = {state.target: state for state in states}
            self._sequence += 1
            report = OwnerReport(
                states=states if is_full else self._list_changed(current),
                sequence=self._sequence,
                full=is_full,
                removed=()
                if is_full
                else sorted(self._sent_states.keys() - current.keys()),
            )
            if not self._send(report):
                # The entry detects the gap as well, but its request for a full
                # report would only add to the full queue.
                self._last_full_at = float('-inf')
                return
            if is_full:
                self._last_full_at = now
            self._record_sent(report, current)

    def _record_sent(
        self,
        report: OwnerReport,
        current: Mapping[str, TargetState],
    ) -> None:
        if report.full:
            self._sent_states = dict(current)
            return
        self._sent_states.update(
            (state.target, state) for state in report.states
        )
        for target in report.removed:
            self._sent_states.pop(target)

    def _list_changed(
        self,
        current: Mapping[str, TargetState],
    ) -> list[TargetState]:
        return [
            state
            for target, state in current.items()
            if is_changed(self._sent_states.get(target), state)
        ]


def is_changed(before: TargetState | None, after: TargetState) -> bool:
    """Return whether a state differs enough from the last one to be sent."""
    if before is None:
        return True
    if _get_exact_fields(before) != _get_exact_fields(after):
        return True
    return not (
        _is_close(before.latency_ms, after.latency_ms)
        and _is_close(before.queue_ms, after.queue_ms)
    )


def _is_close(before: float, after: float) -> bool:
    return before == after or math.isclose(
        before,
        after,
        rel_tol=_RELATIVE_TOLERANCE,
        abs_tol=_TOLERANCE_MS,
    )
