"""Bytes and CPU time of owners' reports for one reader, each second."""

import time
from dataclasses import replace

from shallotgate.generated.messages import (
    OwnerReport,
    SubscribeReports,
    TargetState,
)
from shallotgate.membership import EMPTY_VIEW, TierView, list_places
from shallotgate.metrics import Metrics
from shallotgate.routing import IndexMap, TargetObservations
from shallotgate.routing._owner_reports import OwnerReportReader
from shallotgate.targets._reports import ReportSubscriber
from shallotgate.transport import Delivery
from shallotgate.transport._envelope import decode_envelope, encode_envelope
from testkit.slopes._content import StateBuilder, make_target_state

# Targets of one owner at the size to design for.
TARGETS = 39
_SHARES = (0, 0.1, 0.5, 1)
_REPEATS = 200
_US_PER_S = 1_000_000


class _Link:
    """An owner's log and an entry's reader without a network."""

    def __init__(self) -> None:
        self.log = ReportSubscriber('start', self._send)
        self.encoded = b''
        builder = StateBuilder()
        builder.fill(TARGETS * 3, owners=0)
        catalogue = builder.state.read().catalogue
        view = TierView()
        view.replace(
            replace(
                EMPTY_VIEW,
                catalogue=catalogue,
                versions=builder.state.read().versions,
                places=list_places(catalogue),
            ),
        )
        self._observations = TargetObservations()
        self._index_map = IndexMap()
        self._groups = {
            name: place.service.group
            for name, place in list_places(catalogue).items()
        }
        self._reader = OwnerReportReader(
            self,  # type: ignore[arg-type]
            view,
            self._observations,
            self._index_map,
            Metrics(),
            self._accept,
        )

    def send(self, peer: str, message: object) -> None:
        """Fail where the reader asks for a repair."""
        if isinstance(message, SubscribeReports):
            raise TypeError('a repair without a loss')

    def receive(self) -> None:
        """Decode and take over the last message."""
        report = decode_envelope(self.encoded)[1]
        self._reader.handle_report(Delivery('entry-1', 'start', '', 0, report))

    def _send(self, message: object) -> bool:
        self.encoded = encode_envelope('entry-1', 'start', message).content
        return isinstance(message, OwnerReport)

    def _accept(self, states: object, age_s: float) -> None:
        for state in states:  # type: ignore[attr-defined]
            self._observations.apply_state(state, age_s)
            self._index_map.update_target(
                self._groups[state.target],
                state.target,
                state.versions,
            )


def measure_reports() -> dict[str, object]:
    """Return figures of a report by the share of targets that changed."""
    return {str(share): _measure(share) for share in _SHARES}


def _measure(share: float) -> dict[str, float]:
    link = _Link()
    changed = round(share * TARGETS)
    link.log.send_report(_make_states(0, 0), float(0))
    full_bytes = len(link.encoded)
    link.receive()
    send_s = float(0)
    receive_s = float(0)
    for number in range(1, _REPEATS + 1):
        states = _make_states(changed, number)
        start = time.process_time()
        link.log.send_report(states, float(1))
        sent = time.process_time()
        link.receive()
        send_s += sent - start
        receive_s += time.process_time() - sent
    return {
        'full_bytes': full_bytes,
        'bytes': len(link.encoded),
        'owner_us': round(send_s / _REPEATS * _US_PER_S, 1),
        'entry_us': round(receive_s / _REPEATS * _US_PER_S, 1),
    }


def _make_states(changed: int, number: int) -> list[TargetState]:
    """Return states of which the first ones differ in each report."""
    return [
        replace(
            make_target_state(target),
            in_flight=number % 2 if target < changed else 2,
        )
        for target in range(TARGETS)
    ]
