"""Share of an entry in the paces of targets."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from shallotgate.generated.messages import ListedTarget, TargetPaces
from shallotgate.logs import get_logger
from shallotgate.pacing._board import NO_PACE
from shallotgate.pacing._ramp import START_SLOTS

_LOGGER = get_logger('pacing')
# Validity of a pace after the last reply of the leader, in seconds, and the
# time in which it doubles from then on: without a leader, a target that started
# well takes its full share within some seconds.
_VALID_S = 3.0
_DOUBLING_S = 2.0
_MAX_DOUBLINGS = 20
# A pace that the leader has not named for this time, in seconds, is not renewed
# by its other replies: a leader of an earlier version names none.
_MAX_TOLD_S = 60.0
# Requests that an entry may send at once, and those on credit while no other
# target is left.
_BURST = 1.0
_CREDIT = 1.0


@dataclass
class _Pace:
    # Share of the slots that all entries together use.
    share: float
    # Monotonic times of the last reply of the leader and of the last one that
    # named the target.
    told_at: float
    named_at: float
    # Requests that this entry may send, as of a monotonic time.
    tokens: float
    updated_at: float
    # Whether the leader knows the pace.
    is_told: bool


class PaceLimiter:
    """Token bucket for each paced target; used on the event loop.

    Buckets start at random levels, so that entries that learn of a target
    together do not all send at once. ``now`` is always in monotonic seconds.
    """

    def __init__(
        self, count_entries: Callable[[], int], generator: random.Random
    ) -> None:
        """``count_entries`` returns how many entries share a pace."""
        self._count_entries = count_entries
        self._generator = generator
        self._paces: dict[str, _Pace] = {}
        # Revision of the paces last received; -1 before the first.
        self.revision = -1

    def start(self, listed: ListedTarget, now: float) -> None:
        """Begin the pace of a target that has just been listed."""
        share = START_SLOTS / max(listed.slots, 1)
        self._set(listed.target, share, now, is_told=False)

    def apply(self, update: TargetPaces | None, now: float) -> None:
        """Apply paces of the leader; None renews the current ones."""
        if update is None:
            for pace in self._paces.values():
                if pace.is_told and now - pace.named_at < _MAX_TOLD_S:
                    pace.told_at = now
            return
        self.revision = update.revision
        for pace in self._paces.values():
            pace.is_told = False
        for name, share in zip(update.targets, update.shares, strict=True):
            if share == NO_PACE:
                self._paces.pop(name, None)
            else:
                self._set(name, share, now, is_told=True)

    def remove(self, target: str) -> None:
        """Forget a target that is gone."""
        self._paces.pop(target, None)

    def allows(
        self,
        listed: ListedTarget,
        work_s: float,
        now: float,
        *,
        is_last: bool = False,
    ) -> bool:
        """Return whether a request may be sent to the target now.

        ``work_s`` is the usual duration of its work; ``is_last`` is whether no
        other target is left.
        """
        pace = self._paces.get(listed.target)
        if pace is None:
            return True
        if self._grow(pace, now) >= 1:
            self._paces.pop(listed.target)
            _LOGGER.info(
                'Pace ended without a leader.',
                extra={'target': listed.target, 'told_share': pace.share},
            )
            return True
        self._refill(pace, listed.slots / work_s, now)
        needed = _BURST - _CREDIT if is_last else _BURST
        return pace.tokens >= needed

    def record_sent(self, listed: ListedTarget) -> None:
        """Record a request sent to the target."""
        pace = self._paces.get(listed.target)
        if pace is not None:
            pace.tokens = max(pace.tokens - 1, -_CREDIT)

    def _set(
        self, name: str, share: float, now: float, *, is_told: bool
    ) -> None:
        known = self._paces.get(name)
        self._paces[name] = _Pace(
            share=share,
            told_at=now,
            named_at=now,
            tokens=known.tokens if known else self._generator.random(),
            updated_at=known.updated_at if known else now,
            is_told=is_told,
        )

    def _grow(self, pace: _Pace, now: float) -> float:
        """Return the share, which grows by itself without a leader."""
        overdue_s = max(now - pace.told_at - _VALID_S, 0)
        doublings = min(overdue_s / _DOUBLING_S, _MAX_DOUBLINGS)
        return pace.share * math.exp2(doublings)

    def _refill(self, pace: _Pace, capacity_per_s: float, now: float) -> None:
        entries = max(self._count_entries(), 1)
        per_s = self._grow(pace, now) * capacity_per_s / entries
        gained = (now - pace.updated_at) * per_s
        pace.tokens = min(pace.tokens + gained, _BURST)
        pace.updated_at = now
