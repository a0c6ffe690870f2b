"""Thread that modifies the durable state of a member."""

import queue
import threading
from collections.abc import Callable
from functools import partial

from shallotgate.consensus._disk_guard import DiskGuard
from shallotgate.errors import SyncFailedError
from shallotgate.logs import get_logger
from shallotgate.transport import Handler, Mailbox

_LOGGER = get_logger('consensus')
_THREAD_JOIN_TIMEOUT_S = 5

Event = Callable[[], None]


class Worker:
    """Runs queued events sequentially on a dedicated thread."""

    def __init__(self, guard: DiskGuard) -> None:
        self.guard = guard
        self._events: queue.SimpleQueue[Event | None] = queue.SimpleQueue()
        self._is_running = False
        self._thread = threading.Thread(
            target=self._run,
            name='consensus',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._is_running = True
        self._thread.start()

    def stop(self) -> None:
        """Run the queued events and stop the thread."""
        if not self._is_running:
            return
        self._is_running = False
        self._events.put(None)
        self._thread.join(_THREAD_JOIN_TIMEOUT_S)

    def post(self, event: Event) -> None:
        """Queue an event.

        It is dropped if the worker is not running or the disk takes no writes.
        """
        if self._is_running and not self.guard.is_suspended:
            self._events.put(event)

    def subscribe(
        self,
        mailbox: Mailbox,
        message_type: type,
        handler: Handler,
    ) -> None:
        """Handle messages of a type on this thread instead of the mailbox's."""
        mailbox.subscribe(
            message_type,
            lambda delivery: self.post(partial(handler, delivery)),
        )

    def _run(self) -> None:
        while True:
            event = self._events.get()
            if event is None:
                return
            with self.guard.watch():
                self._call(event)
            if self.guard.is_suspended:
                return

    def _call(self, event: Event) -> None:
        try:
            event()
        except SyncFailedError:
            raise
        except Exception:
            _LOGGER.exception(
                'An event of the consensus worker raised an error.'
            )
