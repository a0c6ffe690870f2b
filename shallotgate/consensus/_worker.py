"""Thread that changes the durable state of a member."""

import os
import queue
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

from shallotgate.errors import SyncFailedError
from shallotgate.logs import get_logger
from shallotgate.transport import Handler, Mailbox

_LOGGER = get_logger('consensus')
# Exit status of a process whose disk failed to sync. The value is that of
# EX_IOERR in sysexits.h.
SYNC_FAILED_EXIT_STATUS = 74
_JOIN_S = 5

Event = Callable[[], None]


@contextmanager
def exit_on_failed_sync() -> Iterator[None]:
    """End the process if a sync fails within the block.

    After a failed sync the kernel may have dropped the data, and a second
    sync would report success.
    """
    try:
        yield
    except SyncFailedError:
        _LOGGER.exception('A sync failed; the process ends.')
        # sys.exit would end only this thread.
        os._exit(SYNC_FAILED_EXIT_STATUS)


class Worker:
    """Runs events one after the other on its own thread."""

    def __init__(self) -> None:
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
        """Finish the events that are queued and stop."""
        if not self._is_running:
            return
        self._is_running = False
        self._events.put(None)
        self._thread.join(_JOIN_S)

    def post(self, event: Event) -> None:
        """Queue an event; dropped while the worker is not running."""
        if self._is_running:
            self._events.put(event)

    def subscribe(
        self,
        mailbox: Mailbox,
        message_type: type,
        handler: Handler,
    ) -> None:
        """Handle messages of a type on this thread, not on the mailbox's."""
        mailbox.subscribe(
            message_type,
            lambda delivery: self.post(partial(handler, delivery)),
        )

    def _run(self) -> None:
        while True:
            event = self._events.get()
            if event is None:
                return
            with exit_on_failed_sync():
                self._call(event)

    def _call(self, event: Event) -> None:
        try:
            event()
        except SyncFailedError:
            raise
        except Exception:
            _LOGGER.exception('An event failed.')
