"""Limits that targets state, as known to the leader."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from shallotgate.extras import SlidingWindowCounter
from shallotgate.generated.messages import ObservedReplies, TargetLimits
from shallotgate.logs import get_logger

_LOGGER = get_logger('limits')
# Window over which replies are compared with the limit, in seconds, and the
# multiple and number above which a target got too much: delays shift requests
# between windows.
_WINDOW_S = 4.0
_TOLERANCE = 1.5
_SLACK = 5
# Stands in messages for the limit of a target that states none any more.
NO_LIMIT = -1.0
# A limit that no entry states, and nobody asks for, is forgotten after this
# time: the target is gone.
_RETENTION_S = 60.0


@dataclass
class _StatedLimit:
    # Requests a second over all entries; None if none is stated any more.
    per_s: float | None
    # Monotonic time at which an entry last stated or needed it.
    used_at: float
    # Replies of the target that entries observed.
    replies: SlidingWindowCounter = field(
        default_factory=lambda: SlidingWindowCounter(_WINDOW_S)
    )
    # Monotonic time until which an excess is not logged again.
    quiet_until: float = float('-inf')


class LimitBoard:
    """Limits of targets, as stated in the replies that entries observed.

    The newest report counts. A limit that has ended is kept for a while, so
    that all entries learn of it.

    Thread-safe; ``now`` is always in monotonic seconds.

    >>> from shallotgate.generated.messages import ObservedReplies
    >>> board = LimitBoard()
    >>> board.record_replies(
    ...     ObservedReplies(targets=[], replies=[], slowness=[], failures=[],
    ...                     limited=['t'], limits=[12.5]),
    ...     now=0,
    ... )
    >>> board.list_limits(now=1)
    {'t': 12.5}
    """

    def __init__(self, first_revision: int = 0) -> None:
        """Start at a revision that differs from those of other leaders."""
        self._lock = threading.Lock()
        self._stated: dict[str, _StatedLimit] = {}
        self._revision = first_revision

    def reset(self) -> None:
        """Forget everything, for a new leadership.

        Another leader may have told the entries of newer limits. Entries state
        the limits that they keep to when they ask for permits.
        """
        with self._lock:
            self._stated.clear()
            self._revision += 1

    def record_replies(self, observed: ObservedReplies, now: float) -> None:
        """Record changed limits and count the replies of limited targets."""
        with self._lock:
            for target, limit in zip(
                observed.limited, observed.limits, strict=True
            ):
                self._set(target, None if limit == NO_LIMIT else limit, now)
            for target, replies in zip(
                observed.targets, observed.replies, strict=True
            ):
                stated = self._stated.get(target)
                if stated is not None:
                    self._count(target, stated, replies, now)

    def record_needed(
        self, targets: Sequence[str], limits: Sequence[float], now: float
    ) -> None:
        """Record limits that an entry keeps to; they may be new to a leader."""
        with self._lock:
            for target, limit in zip(targets, limits, strict=True):
                stated = self._stated.get(target)
                if stated is None:
                    self._set(target, limit, now)
                else:
                    stated.used_at = now

    def make_update(self, known_revision: int) -> TargetLimits | None:
        """Return all limits, or None if the follower is up to date."""
        with self._lock:
            if known_revision == self._revision or not self._stated:
                return None
            return TargetLimits(
                revision=self._revision,
                targets=list(self._stated),
                limits=[
                    NO_LIMIT if stated.per_s is None else stated.per_s
                    for stated in self._stated.values()
                ],
            )

    def list_limits(self, now: float) -> dict[str, float]:
        """Return the limits in requests a second, by target."""
        with self._lock:
            self._evict(now)
            return {
                target: stated.per_s
                for target, stated in self._stated.items()
                if stated.per_s is not None
            }

    def _set(self, target: str, per_s: float | None, now: float) -> None:
        stated = self._stated.get(target)
        if stated is None:
            self._stated[target] = _StatedLimit(per_s, now)
        else:
            stated.used_at = now
            if stated.per_s == per_s:
                return
            stated.per_s = per_s
        self._revision += 1
        _LOGGER.info(
            'Target states another limit.',
            extra={'target': target, 'limit_per_s': per_s},
        )

    def _count(
        self, target: str, stated: _StatedLimit, replies: int, now: float
    ) -> None:
        stated.used_at = now
        stated.replies.add(now, requests=replies)
        if stated.per_s is None or now < stated.quiet_until:
            return
        allowed = stated.per_s * _WINDOW_S * _TOLERANCE + _SLACK
        if stated.replies.requests > allowed:
            stated.quiet_until = now + _WINDOW_S
            _LOGGER.warning(
                'Target gets more requests than its limit.',
                extra={
                    'target': target,
                    'limit_per_s': stated.per_s,
                    'replies': stated.replies.requests,
                    'window_s': _WINDOW_S,
                    'allowed': round(allowed, 1),
                },
            )

    def _evict(self, now: float) -> None:
        for target, stated in list(self._stated.items()):
            if now - stated.used_at > _RETENTION_S:
                self._stated.pop(target)
