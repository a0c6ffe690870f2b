"""Paces of all targets, as decided by the leader."""

import threading
from collections.abc import Iterable, Iterator

from shallotgate.generated.messages import (
    ListedTarget,
    ObservedReplies,
    TargetPaces,
)
from shallotgate.logs import get_logger
from shallotgate.pacing._ramp import ReplySums, TargetRamp

_LOGGER = get_logger('pacing')
# Stands in messages for the pace of a target whose ramp has ended.
NO_PACE = -1.0
# Changes of a share up to this part are not published.
_MIN_CHANGE = 0.1
_DIGITS = 3


class PaceBoard:
    """Ramps of the targets of services whose targets report their speed.

    Thread-safe; ``now`` is always in monotonic seconds.
    """

    def __init__(self, first_revision: int) -> None:
        """Start at a revision that differs from those of other leaders."""
        self._lock = threading.Lock()
        self._revision = first_revision
        self._listed: dict[str, ListedTarget] = {}
        # Whether the next list is the first of a leadership: targets that are
        # new in it may have started long ago.
        self._is_first_list = True
        # Services of which a target has reported its speed.
        self._reporting: set[str] = set()
        self._ramps: dict[str, TargetRamp] = {}
        # Shares last told; those of ended ramps stay, so that all entries
        # learn of the end.
        self._published: dict[str, float] = {}

    def reset(self) -> None:
        """Forget everything, for a new leadership.

        Entries let the paces that they hold grow by themselves.
        """
        with self._lock:
            self._is_first_list = True
            self._ramps.clear()
            self._published.clear()
            self._revision += 1

    def apply_listing(self, listed: Iterable[ListedTarget], now: float) -> None:
        """Begin the ramps of the targets that are new since the last list."""
        with self._lock:
            known = self._listed
            self._listed = {each.target: each for each in listed}
            for name in self._ramps.keys() - self._listed.keys():
                self._ramps.pop(name)
                self._published.pop(name, None)
            is_first = self._is_first_list
            self._is_first_list = False
            if is_first:
                return
            for each in self._listed.values():
                is_reporting = each.service in self._reporting
                if is_reporting and _has_started(known.get(each.target), each):
                    self._get_ramp(each).start(now)
                    self._publish(each.target, 'has started')

    def record_replies(self, observed: ObservedReplies, now: float) -> None:
        """Add the replies that an entry observed."""
        with self._lock:
            for name, sums in _iter_sums(observed):
                listed = self._listed.get(name)
                if listed is None:
                    continue
                if sums.reports:
                    self._reporting.add(listed.service)
                if listed.service in self._reporting:
                    self._record(listed, sums, now)

    def make_update(self, known_revision: int) -> TargetPaces | None:
        """Return all paces, or None if the follower is up to date."""
        with self._lock:
            if known_revision == self._revision:
                return None
            return TargetPaces(
                revision=self._revision,
                targets=list(self._published),
                shares=list(self._published.values()),
            )

    def list_active(self) -> frozenset[str]:
        """Return the targets whose ramps have not ended."""
        with self._lock:
            return frozenset(
                name for name, ramp in self._ramps.items() if ramp.is_active
            )

    def _record(
        self, listed: ListedTarget, sums: ReplySums, now: float
    ) -> None:
        ramp = self._get_ramp(listed)
        was_active = ramp.is_active
        share = ramp.share
        ramp.record(sums, now)
        if was_active and not ramp.is_active:
            self._publish(listed.target, 'takes its full share')
        elif ramp.is_active and not was_active:
            self._publish(listed.target, 'is down')
        elif abs(ramp.share - share) > share * _MIN_CHANGE:
            self._publish(listed.target)

    def _get_ramp(self, listed: ListedTarget) -> TargetRamp:
        ramp = self._ramps.get(listed.target)
        if ramp is None:
            ramp = TargetRamp(listed.slots)
            self._ramps[listed.target] = ramp
        return ramp

    def _publish(self, name: str, change: str = '') -> None:
        ramp = self._ramps[name]
        share = round(ramp.share, _DIGITS) if ramp.is_active else NO_PACE
        self._published[name] = share
        self._revision += 1
        if change:
            _LOGGER.info(
                'Paced target %s.',
                change,
                extra={
                    'target': name,
                    'share': share,
                    'revision': self._revision,
                },
            )


def _has_started(known: ListedTarget | None, listed: ListedTarget) -> bool:
    if listed.leaving:
        return False
    if known is None or known.leaving:
        return True
    return known.address != listed.address


def _iter_sums(observed: ObservedReplies) -> Iterator[tuple[str, ReplySums]]:
    """Yield the sums by target; older entries report no loads."""
    none = [0 for _ in observed.targets]
    for name, *sums in zip(
        observed.targets,
        observed.replies,
        observed.failures,
        observed.lost or none,
        observed.slowness,
        observed.reports or none,
        observed.speeds or none,
        observed.waiting or none,
        strict=True,
    ):
        yield name, ReplySums(*sums)
