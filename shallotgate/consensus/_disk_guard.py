"""Suspension of a member whose disk refuses writes."""

import os
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from shallotgate.errors import SyncFailedError
from shallotgate.logs import get_logger
from shallotgate.storage import DataFolder

_LOGGER = get_logger('consensus')
# Exit status of a process after a failed write; EX_IOERR of sysexits.h.
SYNC_FAILED_EXIT_STATUS = 74
# Interval between two attempts to write to the disk, in seconds.
_PROBE_INTERVAL_S = 0.5


class DiskGuard:
    """Keeps a member out of its group while its disk takes no writes.

    After a failed write or sync it is unknown what the disk holds, and a
    second sync may report success for pages that were dropped. Only a new
    process reads the files anew. It is started once a write succeeds: before
    that it would fail at its first vote and end again.
    """

    def __init__(
        self,
        folder: DataFolder,
        on_suspend: Callable[[], None],
    ) -> None:
        """``on_suspend`` gives up leadership; it must not write."""
        self._folder = folder
        self._on_suspend = on_suspend
        self._stopped = threading.Event()
        self.is_suspended = False

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Suspend the member if a write or sync fails within the block.

        Returns from a suspension only if the member is stopped.
        """
        try:
            yield
        except SyncFailedError:
            _LOGGER.exception(
                'A write to disk failed; the member is suspended until the '
                'disk takes writes again.'
            )
            self.is_suspended = True
            self._on_suspend()
            self._exit_when_writable()

    def stop(self) -> None:
        """End a suspension without ending the process."""
        self._stopped.set()

    def _exit_when_writable(self) -> None:
        while not self._stopped.wait(_PROBE_INTERVAL_S):
            try:
                self._folder.probe()
            except SyncFailedError as error:
                _LOGGER.info('The disk still refuses writes: %s.', error)
                continue
            _LOGGER.warning(
                'The disk takes writes again; the process exits to read its '
                'files anew.'
            )
            # sys.exit would only end this thread.
            os._exit(SYNC_FAILED_EXIT_STATUS)
