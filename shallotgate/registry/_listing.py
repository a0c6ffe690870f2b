"""The leader's copy of the platform's list of targets."""

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from shallotgate.errors import ShallotgateError
from shallotgate.generated.messages import ListedTarget, ListingUpdate
from shallotgate.logs import get_logger

_LOGGER = get_logger('listing')
# Changes kept, so that a follower that is slightly behind needs no full list.
_MAX_CHANGES = 64
_LEADER_LOOK_S = 0.05


class TargetListing(Protocol):
    """The platform's list."""

    def read(self) -> Sequence[ListedTarget]:
        """Return all targets; raises ``ShallotgateError``."""


@dataclass(frozen=True)
class _Change:
    revision: int
    targets: Sequence[ListedTarget]
    gone: Sequence[str]


class ListingPoller:
    """Reads the list while this member leads, and tells what changed."""

    def __init__(
        self,
        listing: TargetListing,
        source: str,
        period_s: float,
        is_leading: Callable[[], bool],
    ) -> None:
        """``source`` names this start of the process."""
        self._listing = listing
        self._source = source
        self._period_s = period_s
        self._is_leading = is_leading
        self._lock = threading.Lock()
        self._targets: Mapping[str, ListedTarget] = {}
        self._revision = 0
        self._changes: list[_Change] = []
        self._callbacks: list[Callable[[], None]] = []
        self._is_failing = False
        # Monotonic time of the last read that succeeded.
        self.read_at = float('-inf')
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='listing',
            daemon=True,
        )

    def start(self) -> None:
        """Start to read."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the read that is under way."""
        self._stopped.set()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change; callbacks must be short."""
        self._callbacks.append(callback)

    def make_update(self, source: str, revision: int) -> ListingUpdate | None:
        """Return what a follower lacks, None if nothing or nothing is known."""
        with self._lock:
            if not self._revision:
                return None
            if source == self._source:
                if revision == self._revision:
                    return None
                return self._make_difference(revision) or self._make_full()
            return self._make_full()

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self._is_leading():
                self._stopped.wait(_LEADER_LOOK_S)
                continue
            begun_at = time.monotonic()
            self._read()
            left_s = begun_at + self._period_s - time.monotonic()
            self._stopped.wait(max(left_s, 0))

    def _read(self) -> None:
        try:
            targets = self._listing.read()
        except ShallotgateError as error:
            if not self._is_failing:
                _LOGGER.warning('The list can not be read: %s.', error)
            self._is_failing = True
            return
        if self._is_failing:
            _LOGGER.info('The list can be read again.')
        self._is_failing = False
        self.read_at = time.monotonic()
        self._take({listed.target: listed for listed in targets})

    def _take(self, targets: Mapping[str, ListedTarget]) -> None:
        with self._lock:
            former = self._targets
            changed = [
                listed
                for name, listed in targets.items()
                if name not in former or _differ(former[name], listed)
            ]
            gone = [name for name in former if name not in targets]
            self._targets = targets
            if self._revision and not changed and not gone:
                return
            self._revision += 1
            self._changes.append(_Change(self._revision, changed, gone))
            del self._changes[:-_MAX_CHANGES]
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

    def _make_full(self) -> ListingUpdate:
        return ListingUpdate(
            source=self._source,
            revision=self._revision,
            full=True,
            targets=list(self._targets.values()),
        )

    def _make_difference(self, revision: int) -> ListingUpdate | None:
        missing = [one for one in self._changes if one.revision > revision]
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


def _differ(former: ListedTarget, listed: ListedTarget) -> bool:
    """Return whether more than the time left of the warm-up changed."""
    if (former.warm_up_ms > 0) == (listed.warm_up_ms > 0):
        former = replace(former, warm_up_ms=listed.warm_up_ms)
    return former != listed
