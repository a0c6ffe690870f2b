"""Polls the platform's list of targets on the leader."""

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from shallotgate.errors import ShallotgateError
from shallotgate.generated.messages import ListedTarget, ListingUpdate
from shallotgate.logs import get_logger
from shallotgate.registry._listed_targets import ListedTargetFilter

_LOGGER = get_logger('listing')
# Changes retained, so that a follower that lags slightly needs no full list.
_MAX_RETAINED_CHANGES = 64
_LEADERSHIP_POLL_S = 0.05


class TargetListing(Protocol):
    """Source of the platform's list of targets."""

    def read(self) -> Sequence[ListedTarget]:
        """Return all targets; raises ``ShallotgateError``."""


@dataclass(frozen=True)
class _Change:
    revision: int
    targets: Sequence[ListedTarget]
    gone: Sequence[str]


class ListingPoller:
    """Polls the list while this member leads, and tracks its changes.

    What was read in a former leadership is not served: another leader may have
    told the entries of a newer list in between.
    """

    def __init__(
        self,
        make_listing: Callable[[], TargetListing],
        source: str,
        period_s: float,
        get_leading_term: Callable[[], int | None],
    ) -> None:
        """``source`` identifies this process start in revisions.

        ``make_listing`` is called on the polling thread: importing an HTTP
        client takes a quarter of the start-up time of a member, and an election
        does not need it.
        ``get_leading_term`` returns None if this member does not lead.
        """
        self._make_listing = make_listing
        self._source = source
        self._period_s = period_s
        self._get_leading_term = get_leading_term
        self._lock = threading.Lock()
        # Term in which the targets were read.
        self._term: int | None = None
        self._targets: Mapping[str, ListedTarget] = {}
        self._target_list: Sequence[ListedTarget] = ()
        self._revision = 0
        self._changes: list[_Change] = []
        self._callbacks: list[Callable[[], None]] = []
        self._filter = ListedTargetFilter()
        self._is_failing = False
        # Monotonic time of the last successful read.
        self.last_read_at = float('-inf')
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='listing',
            daemon=True,
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current read."""
        self._stopped.set()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for each change; it must not block."""
        self._callbacks.append(callback)

    def make_update(self, source: str, revision: int) -> ListingUpdate | None:
        """Return the missing changes; None if there are none or no list yet."""
        term = self._get_leading_term()
        with self._lock:
            if term is None or term != self._term:
                return None
            if source == self._source:
                if revision == self._revision:
                    return None
                return self._make_difference(revision) or self._make_full()
            return self._make_full()

    def list_targets(self) -> Sequence[ListedTarget] | None:
        """Return the targets; None if this leader has not read the list."""
        term = self._get_leading_term()
        with self._lock:
            if term is None or term != self._term:
                return None
            return self._target_list

    def _run(self) -> None:
        try:
            listing = self._make_listing()
        except Exception:
            _LOGGER.exception('The list of targets cannot be read at all.')
            raise
        while not self._stopped.is_set():
            term = self._get_leading_term()
            if term is None:
                self._stopped.wait(_LEADERSHIP_POLL_S)
                continue
            started_at = time.monotonic()
            self._read(listing, term)
            remaining_s = started_at + self._period_s - time.monotonic()
            self._stopped.wait(max(remaining_s, 0))

    def _read(self, listing: TargetListing, term: int) -> None:
        try:
            targets = listing.read()
        except Exception as error:
            # Of any kind: without this thread the list is not followed.
            if not self._is_failing:
                _LOGGER.warning(
                    'List of targets cannot be read: %s.',
                    error,
                    exc_info=not isinstance(error, ShallotgateError),
                )
            self._is_failing = True
            return
        if self._is_failing:
            _LOGGER.info('List of targets is readable again.')
        self._is_failing = False
        self.last_read_at = time.monotonic()
        self._replace_targets(
            term,
            {listed.target: listed for listed in self._filter.select(targets)},
        )

    def _replace_targets(
        self, term: int, targets: Mapping[str, ListedTarget]
    ) -> None:
        if self._get_leading_term() != term:
            _LOGGER.info('List not used: the leader changed meanwhile.')
            return
        with self._lock:
            if self._term != term:
                self._forget(term)
            previous = self._targets
            changed = [
                listed
                for name, listed in targets.items()
                if name not in previous or _has_changed(previous[name], listed)
            ]
            gone = [name for name in previous if name not in targets]
            self._targets = targets
            self._target_list = tuple(targets.values())
            if self._changes and not changed and not gone:
                return
            self._revision += 1
            self._changes.append(_Change(self._revision, changed, gone))
            del self._changes[:-_MAX_RETAINED_CHANGES]
        _LOGGER.info(
            'List changed.',
            extra={
                'revision': self._revision,
                'changed': len(changed),
                'gone': len(gone),
                'targets': len(targets),
            },
        )
        for callback in self._callbacks:
            callback()

    def _forget(self, term: int) -> None:
        """Start anew in a term; requires the lock."""
        self._term = term
        self._targets = {}
        self._changes.clear()
        # No difference leads over this revision, so all get the full list.
        self._revision += 1

    def _make_full(self) -> ListingUpdate:
        return ListingUpdate(
            source=self._source,
            revision=self._revision,
            full=True,
            targets=list(self._targets.values()),
        )

    def _make_difference(self, revision: int) -> ListingUpdate | None:
        missing = [
            change for change in self._changes if change.revision > revision
        ]
        if not missing or missing[0].revision != revision + 1:
            return None
        names = {
            listed.target for change in missing for listed in change.targets
        }
        gone = {name for change in missing for name in change.gone}
        return ListingUpdate(
            source=self._source,
            revision=self._revision,
            full=False,
            targets=[
                self._targets[name] for name in names if name in self._targets
            ],
            gone=[name for name in gone if name not in self._targets],
        )


def _has_changed(previous: ListedTarget, listed: ListedTarget) -> bool:
    """Return whether more than the remaining warm-up time changed."""
    if (previous.warm_up_ms > 0) == (listed.warm_up_ms > 0):
        previous = replace(previous, warm_up_ms=listed.warm_up_ms)
    return previous != listed
