"""Thread that modifies the durable state of a member."""

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
# Exit status of a process after a failed sync; EX_IOERR of sysexits.h.
SYNC_FAILED_EXIT_STATUS = 74
_THREAD_JOIN_TIMEOUT_S = 5

Event = Callable[[], None]


@contextmanager
def exit_on_failed_sync() -> Iterator[None]:
    """Exit the process if a sync fails within the block.

    After a failed sync, the kernel may have dropped the dirty pages, and a
    second sync would report success.
    """
    try:
        yield
    except SyncFailedError:
        _LOGGER.exception('A sync to disk failed; the process exits.')
        # sys.exit would only end this thread.
        os._exit(SYNC_FAILED_EXIT_STATUS)


class Worker:
    """Runs queued events sequentially on a dedicated thread."""

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
        """Run the queued events and stop the thread."""
        if not self._is_running:
            return
        self._is_running = False
        self._events.put(None)
        self._thread.join(_THREAD_JOIN_TIMEOUT_S)

    def post(self, event: Event) -> None:
        """Queue an event; it is dropped if the worker is not running."""
        if self._is_running:
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
            with exit_on_failed_sync():
                self._call(event)

    def _call(self, event: Event) -> None:
        try:
            event()
        except SyncFailedError:
            raise
        except Exception:
            _LOGGER.exception(
                'An event of the consensus worker raised an error.'
            )
