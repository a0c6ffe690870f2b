"""Composition root: wires, starts and stops the components."""

import threading
import time

from shallotgate.daemon._base import make_base
from shallotgate.daemon._control import ControlRole
from shallotgate.daemon._entry import EntryRole
from shallotgate.daemon._operators import make_operator_server
from shallotgate.generated.settings import Settings
from shallotgate.invariants import configure_invariants
from shallotgate.logs import get_logger

_LOGGER = get_logger('daemon')
_POLL_INTERVAL_S = 0.05
# A process that can't release its targets exits after this time; their next
# owners then wait until its lease has expired.
_RELEASE_TIMEOUT_S = 10
_MS_PER_S = 1000


class Process:
    """One ``shallotgated`` process with its roles."""

    def __init__(self, settings: Settings) -> None:
        configure_invariants(abort_on_breach=settings.abort_on_breach)
        self._base = make_base(settings)
        self._control = None
        self._entry = None
        if 'control' in settings.roles:
            self._control = ControlRole(self._base)
        if 'entry' in settings.roles:
            self._entry = EntryRole(
                self._base,
                entries=settings.entry_instances,
            )
        self._operators = make_operator_server(
            self._base,
            self._entry,
            self.get_unready_reason,
        )
        self._leaving = threading.Event()
        self._is_ready_announced = False

    def start(self) -> None:
        """Start all components; readiness follows asynchronously."""
        base = self._base
        if self._control:
            self._control.subscribe()
        if self._entry:
            self._entry.subscribe()
        base.timers.start()
        base.mailbox.start()
        if self._control:
            self._control.start()
        base.session.start()
        if self._entry:
            self._entry.start()
        self._operators.start()
        base.timers.call_every(_POLL_INTERVAL_S, self._announce_ready)
        _LOGGER.info(
            'Started.',
            extra={'start_id': base.start_id, 'roles': base.settings.roles},
        )

    def get_unready_reason(self) -> str:
        """Return why the process is not ready; empty if it is."""
        if self._leaving.is_set():
            return 'leaving'
        if self._entry is not None:
            return self._entry.get_unready_reason()
        if self._base.session.lease.remaining_s() <= 0:
            return 'no lease'
        return ''

    def stop(self) -> None:
        """Leave the tier without aborting requests."""
        _LOGGER.info('Leaving.')
        self._leaving.set()
        base = self._base
        base.session.set_readiness('leaving')
        if self._entry:
            self._stop_entry(self._entry)
        if self._control:
            self._control.stop()
        base.session.stop()
        self._operators.stop()
        base.timers.stop()
        base.mailbox.stop()
        _LOGGER.info('Stopped.')

    def _stop_entry(self, entry: EntryRole) -> None:
        entry.leave()
        # The balancer still sends requests until its next readiness check.
        time.sleep(self._base.settings.linger_ms / _MS_PER_S)
        entry.finish()
        self._wait_released()
        entry.stop()

    def _announce_ready(self) -> None:
        if self._is_ready_announced or self._leaving.is_set():
            return
        if self._base.session.lease.remaining_s() > 0:
            self._is_ready_announced = True
            self._base.session.set_readiness('ready')

    def _wait_released(self) -> None:
        deadline = time.monotonic() + _RELEASE_TIMEOUT_S
        while self._count_owned() and time.monotonic() < deadline:
            time.sleep(_POLL_INTERVAL_S)

    def _count_owned(self) -> int:
        ownership = self._base.view.current().ownership
        return sum(
            owned.instance == self._base.settings.instance
            and owned.start_id == self._base.start_id
            for owned in ownership.values()
        )
