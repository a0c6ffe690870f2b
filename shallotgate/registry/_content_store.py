"""Keeps what is known of contents that crash targets in the log."""

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from shallotgate.codec import encode_tagged
from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import ShallotgateError
from shallotgate.generated.messages import StoreContents, StoredContent
from shallotgate.logs import get_logger
from shallotgate.registry._state import RegistryState

_LOGGER = get_logger('crashes')
# Time-out of a commit in seconds. What is not committed is reported again.
_COMMIT_TIMEOUT_S = 1.0
# Contents in one record of the log, which keeps it below 100 KB.
_MAX_BATCH = 128

SavedCallback = Callable[[bool], None]


class ContentStore(Protocol):
    """Store that outlives the processes."""

    def read(self) -> Sequence[StoredContent]:
        """Return all contents that are stored."""

    def save(
        self,
        digest: str,
        content: StoredContent | None,
        on_saved: SavedCallback,
    ) -> None:
        """Store a content, or forget it without one.

        Calls back with whether it is stored; does not wait for that.
        """


class ReplicatedContents:
    """Stores contents in the log of the control group, in batches.

    When targets crash, reports of many contents come at once; those that come
    during a commit go into the next.
    """

    def __init__(self, log: ReplicatedLog, state: RegistryState) -> None:
        self._log = log
        self._state = state
        self._changed = threading.Condition()
        # Newest content by digest, and who waits for it.
        self._pending: dict[str, StoredContent | None] = {}
        self._callbacks: dict[str, list[SavedCallback]] = {}
        self._is_stopped = False
        self._is_failing = False
        self._thread = threading.Thread(
            target=self._run, name='contents', daemon=True
        )

    def start(self) -> None:
        """Start the thread that commits."""
        self._thread.start()

    def stop(self) -> None:
        """Stop committing; what is pending is not stored."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()

    def read(self) -> Sequence[StoredContent]:
        """Return all contents that are stored."""
        return tuple(self._state.read().contents.values())

    def save(
        self,
        digest: str,
        content: StoredContent | None,
        on_saved: SavedCallback,
    ) -> None:
        """Store a content with the next commit."""
        with self._changed:
            self._pending[digest] = content
            self._callbacks.setdefault(digest, []).append(on_saved)
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(self._has_work)
                if self._is_stopped:
                    return
                digests = list(self._pending)[:_MAX_BATCH]
                batch = {
                    digest: self._pending.pop(digest) for digest in digests
                }
                callbacks = [self._callbacks.pop(digest) for digest in digests]
            is_saved = self._commit(batch)
            for waiting in callbacks:
                for on_saved in waiting:
                    on_saved(is_saved)

    def _has_work(self) -> bool:
        return self._is_stopped or bool(self._pending)

    def _commit(self, batch: Mapping[str, StoredContent | None]) -> bool:
        command = StoreContents(
            contents=[content for content in batch.values() if content],
            forgotten=[digest for digest in batch if batch[digest] is None],
        )
        try:
            self._log.propose(encode_tagged(command), _COMMIT_TIMEOUT_S)
        except ShallotgateError as error:
            # Logged once, because entries report until it succeeds.
            if not self._is_failing:
                _LOGGER.warning('Contents were not stored: %s.', error)
            self._is_failing = True
            return False
        self._is_failing = False
        return True
