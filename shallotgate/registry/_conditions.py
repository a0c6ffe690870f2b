"""Target conditions aggregated over all entries."""

import math
import threading
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

from shallotgate.generated.messages import ObservedReplies, TargetConditions
from shallotgate.logs import get_logger

_LOGGER = get_logger('conditions')
# Time constant of the exponential decay of replies. Detects a slow target
# within a few tenths of a second, and ignores a pause of 0.15 s.
_DECAY_S = 0.5
# Replies of normal latency added to the statistics of each target, so that
# a single slow reply has little weight.
_PRIOR_REPLIES = 2.0
# Thresholds of a degraded target, above the normal variance.
_SLOW_FACTOR = 1.7
_FAILING_SHARE = 0.15
# Thresholds of a change that entries are told at once. A pause of a target that
# delays a few requests stays below; it ends before they could avoid it.
_URGENT_FACTOR = 2.0
_URGENT_FAILING_SHARE = 0.3
# Targets that degrade at once, at least and as a share of those with recent
# replies, from which on the cause is common and not a pause of each.
_URGENT_COUNT = 4
_URGENT_COUNT_SHARE = 0.02
# Decayed number of replies required to update the condition of a target.
_MIN_REPLIES = 2.0
# A degraded target without new replies is probed after this delay, which
# doubles on each failed probe.
_PROBE_DELAY_S = 2.5
_MAX_PROBE_DELAY_S = 20.0
# A target that degrades later than this after a probe starts with the initial
# delay again.
_RELAPSE_S = 5.0
# Statistics without a new reply are evicted after this time, when they have
# decayed to nearly zero.
_STATS_RETENTION_S = 10.0
# Minimum interval between publications, as an urgent one sends a message to
# every entry.
_PUBLISH_INTERVAL_S = 0.15
# Relative change of a slowness factor, and absolute change of a failure rate,
# up to which the condition is not published again.
_MIN_CHANGE = 0.3
# Retained publications: an entry that is further behind gets all conditions.
_MAX_RETAINED = 64


@dataclass(frozen=True)
class _Condition:
    # Reply latency relative to normal.
    factor: float
    # Failure rate, 0 to 1.
    failures: float

    @property
    def is_severe(self) -> bool:
        """Whether entries should avoid the target at once."""
        return (
            self.factor >= _URGENT_FACTOR
            or self.failures >= _URGENT_FAILING_SHARE
        )


@dataclass
class _Degradation:
    """A degraded target and when to probe it."""

    condition: _Condition
    # Monotonic time of the newest reply that showed it.
    observed_at: float
    # Time without such a reply after which the target is probed.
    probe_delay_s: float


@dataclass
class _ReplyStats:
    """Decaying sums over the recent attempts on a target."""

    updated_at: float
    replies: float = 0
    slowness: float = 0
    failures: float = 0

    def decay(self, now: float) -> None:
        """Decay the sums to the given monotonic time."""
        weight = math.exp((self.updated_at - now) / _DECAY_S)
        self.updated_at = now
        self.replies *= weight
        self.slowness *= weight
        self.failures *= weight

    def estimate_condition(self) -> _Condition:
        """Return the condition estimated from the sums."""
        successes = self.replies - self.failures
        return _Condition(
            (self.slowness + _PRIOR_REPLIES) / (successes + _PRIOR_REPLIES),
            self.failures / (self.replies + _PRIOR_REPLIES),
        )


class ConditionTracker:
    """Aggregates the replies seen by entries and tracks degraded targets.

    Thread-safe. ``now`` is always in monotonic seconds.
    """

    def __init__(self, first_revision: int) -> None:
        """Start at a revision that differs from those of other leaders."""
        self._lock = threading.Lock()
        self._stats: dict[str, _ReplyStats] = {}
        # Degraded targets by name.
        self._current: dict[str, _Degradation] = {}
        # Last probe delay and probe time by target.
        self._probed: dict[str, tuple[float, float]] = {}
        self._published: dict[str, _Condition] = {}
        # Former publications by revision.
        self._history: OrderedDict[int, dict[str, _Condition]] = OrderedDict()
        self._published_at = float('-inf')
        self._first_revision = first_revision
        # Newest revision that followers are told at once.
        self._urgent_revision = first_revision
        self.revision = first_revision

    def reset(self) -> None:
        """Forget everything, for a new leadership.

        Another leader may have told the entries of newer conditions.
        """
        with self._lock:
            self._stats.clear()
            self._current.clear()
            self._probed.clear()
            self._published = {}
            self._history.clear()
            self.revision += 1
            self._first_revision = self.revision
            self._urgent_revision = self.revision

    def record_replies(
        self,
        observed: ObservedReplies,
        now: float,
        paced: Collection[str] = (),
    ) -> None:
        """Add the replies observed by an entry.

        Slowness of the targets in ``paced`` counts for their pace only: one
        that is avoided because it is cold would not become warm.
        """
        with self._lock:
            for target, replies, slowness, failures in zip(
                observed.targets,
                observed.replies,
                observed.slowness,
                observed.failures,
                strict=True,
            ):
                stats = self._stats.setdefault(target, _ReplyStats(now))
                stats.decay(now)
                stats.replies += replies
                good = replies - failures
                stats.slowness += good if target in paced else slowness
                stats.failures += failures
                self._update_condition(target, stats, now)

    def publish(self, now: float) -> bool:
        """Advance the revision if conditions changed.

        Returns whether followers should be told at once: a target became
        severely degraded, or many degraded together. They learn all other
        changes with the next reply.
        """
        with self._lock:
            if now - self._published_at < _PUBLISH_INTERVAL_S:
                return False
            self._evict_stale(now)
            current = {
                target: degradation.condition
                for target, degradation in self._current.items()
            }
            if not _has_changed(self._published, current):
                return False
            self._log_changes(current)
            is_urgent = self._has_urgent_change(current)
            self._history[self.revision] = self._published
            while len(self._history) > _MAX_RETAINED:
                self._history.popitem(last=False)
            self._published = current
            self._published_at = now
            self.revision += 1
            if is_urgent:
                self._urgent_revision = self.revision
            return is_urgent

    def is_urgent(self, known_revision: int) -> bool:
        """Return whether a follower lacks a change that is told at once.

        One with a revision of another leader lacks all of them.
        """
        with self._lock:
            is_own = self._first_revision <= known_revision <= self.revision
            return not is_own or known_revision < self._urgent_revision

    def make_update(
        self, known_revision: int, *, merges: bool = False
    ) -> TargetConditions | None:
        """Return the conditions, or None if the follower is up to date.

        ``merges`` tells whether the follower takes a difference.
        """
        with self._lock:
            if known_revision == self.revision:
                return None
            base = self._history.get(known_revision) if merges else None
            known = base or {}
            changed = {
                target: condition
                for target, condition in self._published.items()
                if known.get(target) != condition
            }
            return TargetConditions(
                revision=self.revision,
                targets=list(changed),
                factors=[round(each.factor, 2) for each in changed.values()],
                failures=[round(each.failures, 2) for each in changed.values()],
                base_revision=-1 if base is None else known_revision,
                recovered=[
                    target for target in known if target not in self._published
                ],
            )

    def _has_urgent_change(self, current: dict[str, _Condition]) -> bool:
        degraded = current.keys() - self._published.keys()
        least = max(_URGENT_COUNT, len(self._stats) * _URGENT_COUNT_SHARE)
        return len(degraded) >= least or any(
            condition.is_severe and not self._is_published_severe(target)
            for target, condition in current.items()
        )

    def _is_published_severe(self, target: str) -> bool:
        published = self._published.get(target)
        return published is not None and published.is_severe

    def _update_condition(
        self, target: str, stats: _ReplyStats, now: float
    ) -> None:
        if stats.replies < _MIN_REPLIES:
            return
        condition = stats.estimate_condition()
        is_degraded = (
            condition.factor >= _SLOW_FACTOR
            or condition.failures >= _FAILING_SHARE
        )
        degradation = self._current.get(target)
        if is_degraded and degradation is None:
            probe_delay_s = self._choose_probe_delay_s(target, now)
            self._current[target] = _Degradation(condition, now, probe_delay_s)
        elif is_degraded and degradation is not None:
            degradation.condition = condition
            degradation.observed_at = now
        else:
            self._current.pop(target, None)

    def _choose_probe_delay_s(self, target: str, now: float) -> float:
        probe_delay_s, probed_at = self._probed.pop(target, (0, now))
        if probe_delay_s and now - probed_at < _RELAPSE_S:
            return min(probe_delay_s * 2, _MAX_PROBE_DELAY_S)
        return _PROBE_DELAY_S

    def _evict_stale(self, now: float) -> None:
        """Release targets for a probe and evict stale statistics."""
        for target, degradation in list(self._current.items()):
            if now - degradation.observed_at > degradation.probe_delay_s:
                self._current.pop(target)
                self._probed[target] = (degradation.probe_delay_s, now)
        for target, stats in list(self._stats.items()):
            if now - stats.updated_at > _STATS_RETENTION_S:
                self._stats.pop(target)
        for target, (_, probed_at) in list(self._probed.items()):
            if now - probed_at > _RELAPSE_S:
                self._probed.pop(target)

    def _log_changes(self, current: dict[str, _Condition]) -> None:
        for target in current.keys() - self._published.keys():
            _LOGGER.info(
                'Target is not well.',
                extra={
                    'target': target,
                    'revision': self.revision + 1,
                    'factor': round(current[target].factor, 2),
                    'failures': round(current[target].failures, 2),
                },
            )
        for target in self._published.keys() - current.keys():
            _LOGGER.info(
                'Target has recovered or is due for a probe.',
                extra={'target': target, 'revision': self.revision + 1},
            )


def _has_changed(
    published: dict[str, _Condition],
    current: dict[str, _Condition],
) -> bool:
    """Return whether the conditions changed significantly."""
    if published.keys() != current.keys():
        return True
    return any(
        abs(condition.factor - published[target].factor)
        > _MIN_CHANGE * published[target].factor
        or abs(condition.failures - published[target].failures) > _MIN_CHANGE
        for target, condition in current.items()
    )
