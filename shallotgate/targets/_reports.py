"""What each entry was told of the owned targets."""

import math
import operator
import threading
from collections.abc import Callable, Mapping, Sequence

from shallotgate.generated.messages import OwnerReport, TargetState

# A whole report repairs what a lost reply left out of date; a lost report is
# noticed by its number and asked for again.
FULL_PERIOD_S = 600.0
# Smoothed times that moved less than this are not worth a message.
_TOLERANCE = 0.1
_TOLERANCE_MS = 0.5
# Fields of which any change is worth a message.
_read_exact = operator.attrgetter(
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
    """States as one start of one entry knows them.

    Messages are sent through ``send`` while the lock is held, so that the
    entry receives states in the order in which they are noted here. ``send``
    returns whether the message was taken.
    """

    def __init__(
        self,
        start_id: str,
        send: Callable[[object], bool],
    ) -> None:
        self.start_id = start_id
        # Monotonic time of its last attempt or subscription.
        self.used_at = float('-inf')
        self._send = send
        self._lock = threading.Lock()
        self._known: dict[str, TargetState] = {}
        self._sequence = 0
        self._full_at = float('-inf')

    def ask_full(self) -> None:
        """Make the next report list all targets."""
        self._full_at = float('-inf')

    def send_reply(self, reply: object, state: TargetState | None) -> None:
        """Send a reply that holds the state of its target."""
        with self._lock:
            is_sent = self._send(reply)
            # Without an earlier report the next one must name the target, or
            # the entry could not tell that it belongs to this owner.
            if is_sent and state is not None and state.target in self._known:
                self._known[state.target] = state

    def send_report(self, states: Sequence[TargetState], now: float) -> None:
        """Send what changed, or all if that is due."""
        with self._lock:
            is_full = now >= self._full_at + FULL_PERIOD_S
            present = {state.target: state for state in states}
            self._sequence += 1
            report = OwnerReport(
                states=states if is_full else self._list_changed(present),
                sequence=self._sequence,
                full=is_full,
                removed=()
                if is_full
                else sorted(self._known.keys() - present.keys()),
            )
            if not self._send(report):
                # The entry sees the gap too, but a full queue is not mended
                # by one more message that asks for a repair.
                self._full_at = float('-inf')
                return
            if is_full:
                self._full_at = now
            self._note(report, present)

    def _note(
        self,
        report: OwnerReport,
        present: Mapping[str, TargetState],
    ) -> None:
        if report.full:
            self._known = dict(present)
            return
        self._known.update((state.target, state) for state in report.states)
        for target in report.removed:
            self._known.pop(target)

    def _list_changed(
        self,
        present: Mapping[str, TargetState],
    ) -> list[TargetState]:
        return [
            state
            for target, state in present.items()
            if is_changed(self._known.get(target), state)
        ]


def is_changed(before: TargetState | None, after: TargetState) -> bool:
    """Return whether a state is worth sending after another one."""
    if before is None:
        return True
    if _read_exact(before) != _read_exact(after):
        return True
    return not (
        _is_near(before.latency_ms, after.latency_ms)
        and _is_near(before.queue_ms, after.queue_ms)
    )


def _is_near(before: float, after: float) -> bool:
    return before == after or math.isclose(
        before,
        after,
        rel_tol=_TOLERANCE,
        abs_tol=_TOLERANCE_MS,
    )
