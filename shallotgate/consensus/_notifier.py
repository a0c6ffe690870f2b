"""Notification of leadership changes."""

import queue
import threading
from collections.abc import Callable

from shallotgate.logs import get_logger

_LOGGER = get_logger('consensus')
_THREAD_JOIN_TIMEOUT_S = 2

LeadershipCallback = Callable[[bool], None]


class LeadershipNotifier:
    """Calls subscribers on a dedicated thread, so that they may propose."""

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[bool | None] = queue.SimpleQueue()
        self._callbacks: list[LeadershipCallback] = []
        self._thread = threading.Thread(
            target=self._run,
            name='leadership',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Deliver the queued notifications and stop the thread."""
        self._events.put(None)
        self._thread.join(_THREAD_JOIN_TIMEOUT_S)

    def subscribe(self, callback: LeadershipCallback) -> None:
        """Add a subscriber."""
        self._callbacks.append(callback)

    def notify(self, *, is_leading: bool) -> None:
        """Queue a notification of gained or lost leadership."""
        self._events.put(is_leading)

    def _run(self) -> None:
        while True:
            is_leading = self._events.get()
            if is_leading is None:
                return
            for callback in self._callbacks:
                self._call(callback, is_leading)

    def _call(self, callback: LeadershipCallback, is_leading: bool) -> None:
        try:
            callback(is_leading)
        except Exception:
            _LOGGER.exception(
                'A callback for a leadership change raised an error.'
            )
