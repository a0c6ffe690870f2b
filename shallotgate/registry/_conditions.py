"""Conditions of targets as all entries together see them."""

import math
import threading
from dataclasses import dataclass

from shallotgate.generated.messages import ObservedReplies, TargetConditions
from shallotgate.logs import get_logger

_LOGGER = get_logger('conditions')
# Seconds after which a reply counts for 1/e: a target that turns slow shows
# within a few tenths of a second, and a pause of 0.15 s does not.
_MEMORY_S = 0.5
# Replies of the usual time that each target is assumed to have given, so that
# a single slow one says little.
_ASSUMED = 2.0
# From these values on a condition is told: normal spread stays below.
_SLOW_FACTOR = 1.7
_FAILING_SHARE = 0.15
# Replies that are needed to judge a target anew.
_MIN_EVIDENCE = 2.0
# A target without new replies keeps its condition for this many seconds, then
# it is tried again. The time doubles when the trial fails.
_HOLD_S = 2.5
_MAX_HOLD_S = 20.0
# A target that was well for this many seconds begins with the short time anew.
_RELAPSE_S = 5.0
# Sums without a new reply for this many seconds are dropped: they count for
# nothing by then.
_FORGET_S = 10.0
# Least time between two publications, in seconds: each is a message to each
# entry.
_PUBLISH_S = 0.15
# A value that moved by less than this part is not told again.
_SAME_PART = 0.3


@dataclass(frozen=True)
class _Condition:
    # Time of a reply as a multiple of the usual one.
    factor: float
    # Share of attempts that fail, 0 to 1.
    failures: float


@dataclass
class _Spell:
    """A time in which a target is not well."""

    condition: _Condition
    # Monotonic time of the newest evidence.
    seen_at: float
    # Seconds without evidence after which it is tried again.
    hold_s: float


@dataclass
class _Evidence:
    """Sums over recent attempts on one target, at a monotonic time."""

    at: float
    replies: float = 0
    slowness: float = 0
    failures: float = 0

    def fade(self, now: float) -> None:
        """Let the sums count for less."""
        kept = math.exp((self.at - now) / _MEMORY_S)
        self.at = now
        self.replies *= kept
        self.slowness *= kept
        self.failures *= kept

    def judge(self) -> _Condition:
        """Return the condition that the sums show."""
        good = self.replies - self.failures
        return _Condition(
            (self.slowness + _ASSUMED) / (good + _ASSUMED),
            self.failures / (self.replies + _ASSUMED),
        )


class ConditionTracker:
    """Collects what entries saw and tells which targets are not well.

    Used from several threads. ``now`` is in monotonic seconds throughout.
    """

    def __init__(self, first_revision: int) -> None:
        """Count revisions from a number that no other leader uses."""
        self._lock = threading.Lock()
        self._evidence: dict[str, _Evidence] = {}
        # Conditions that differ from normal.
        self._current: dict[str, _Spell] = {}
        # Holds of targets that are tried again, with the time of the trial.
        self._tried: dict[str, tuple[float, float]] = {}
        self._told: dict[str, _Condition] = {}
        self._published_at = float('-inf')
        self.revision = first_revision

    def record_replies(self, observed: ObservedReplies, now: float) -> None:
        """Add what one entry saw."""
        with self._lock:
            for target, replies, slowness, failures in zip(
                observed.targets,
                observed.replies,
                observed.slowness,
                observed.failures,
                strict=True,
            ):
                evidence = self._evidence.setdefault(target, _Evidence(now))
                evidence.fade(now)
                evidence.replies += replies
                evidence.slowness += slowness
                evidence.failures += failures
                self._judge(target, evidence, now)

    def publish(self, now: float) -> bool:
        """Take up a new revision if something changed; returns whether."""
        with self._lock:
            if now - self._published_at < _PUBLISH_S:
                return False
            self._forget(now)
            current = {
                target: spell.condition
                for target, spell in self._current.items()
            }
            if not _differ(self._told, current):
                return False
            self._log_changes(current)
            self._told = current
            self._published_at = now
            self.revision += 1
            return True

    def make_update(self, known_revision: int) -> TargetConditions | None:
        """Return the conditions, None if the follower has them already."""
        with self._lock:
            if known_revision == self.revision:
                return None
            told = self._told.values()
            return TargetConditions(
                revision=self.revision,
                targets=list(self._told),
                factors=[round(each.factor, 2) for each in told],
                failures=[round(each.failures, 2) for each in told],
            )

    def _judge(self, target: str, evidence: _Evidence, now: float) -> None:
        if evidence.replies < _MIN_EVIDENCE:
            return
        condition = evidence.judge()
        is_notable = (
            condition.factor >= _SLOW_FACTOR
            or condition.failures >= _FAILING_SHARE
        )
        spell = self._current.get(target)
        if is_notable and spell is None:
            hold_s = self._choose_hold_s(target, now)
            self._current[target] = _Spell(condition, now, hold_s)
        elif is_notable and spell is not None:
            spell.condition = condition
            spell.seen_at = now
        else:
            self._current.pop(target, None)

    def _choose_hold_s(self, target: str, now: float) -> float:
        hold_s, tried_at = self._tried.pop(target, (0, now))
        if hold_s and now - tried_at < _RELAPSE_S:
            return min(hold_s * 2, _MAX_HOLD_S)
        return _HOLD_S

    def _forget(self, now: float) -> None:
        """Let targets be tried again, and drop what is old."""
        for target, spell in list(self._current.items()):
            if now - spell.seen_at > spell.hold_s:
                self._current.pop(target)
                self._tried[target] = (spell.hold_s, now)
        for target, evidence in list(self._evidence.items()):
            if now - evidence.at > _FORGET_S:
                self._evidence.pop(target)
        for target, (_, tried_at) in list(self._tried.items()):
            if now - tried_at > _RELAPSE_S:
                self._tried.pop(target)

    def _log_changes(self, current: dict[str, _Condition]) -> None:
        for target in current.keys() - self._told.keys():
            _LOGGER.info(
                'Target is not well.',
                extra={
                    'target': target,
                    'revision': self.revision + 1,
                    'factor': round(current[target].factor, 2),
                    'failures': round(current[target].failures, 2),
                },
            )
        for target in self._told.keys() - current.keys():
            _LOGGER.info(
                'Target is well or to be tried again.',
                extra={'target': target, 'revision': self.revision + 1},
            )


def _differ(
    told: dict[str, _Condition],
    current: dict[str, _Condition],
) -> bool:
    """Return whether the conditions changed by more than a little."""
    if told.keys() != current.keys():
        return True
    return any(
        abs(condition.factor - told[target].factor)
        > _SAME_PART * told[target].factor
        or abs(condition.failures - told[target].failures) > _SAME_PART
        for target, condition in current.items()
    )
