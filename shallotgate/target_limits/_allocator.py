"""Allocation of requests to targets with a limit; runs on the leader."""

import math
import threading
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from shallotgate.generated.messages import PermitRequest
from shallotgate.target_limits._bucket import TokenBucket
from shallotgate.target_limits._rates import get_burst, get_rate

# Part of a bucket's capacity that is kept for requests that can't be answered
# without the target.
_RESERVED_SHARE = 0.5
# Time constant of the decay of the counts by priority, in seconds.
_DECAY_S = 2.0
# Least decayed number of requests of a more urgent priority that hold others
# back.
_MIN_URGENT = 1.0
# Counts and buckets that were not used for this time are evicted, in seconds;
# they have no effect any more.
_IDLE_S = 30.0
# Position of a choice that is not granted.
DENIED = -1


@dataclass
class _Share:
    """Decayed counts of the requests of one priority."""

    asked: float = 0
    granted: float = 0
    updated_at: float = 0

    @property
    def ratio(self) -> float:
        """Part of the requests that was granted."""
        return self.granted / self.asked if self.asked else 1

    def decay(self, now: float) -> None:
        weight = math.exp((self.updated_at - now) / _DECAY_S)
        self.asked *= weight
        self.granted *= weight
        self.updated_at = now


@dataclass
class _Scope:
    """Requests that compete for the same targets, by priority."""

    used_at: float = 0
    shares: dict[int, _Share] = field(default_factory=dict)


class PermitAllocator:
    """Grants requests to targets at the rates that these state.

    A request names, for each shard that it wants from a target with a limit,
    the targets to choose from, and how many of the shards it needs. Fewer would
    only use up what others need, so then it gets none. The others, and attempts
    that repeat one, are granted while the targets have more than a reserve. No
    priority gets a larger part of its requests than a more urgent one.
    Thread-safe; ``now`` is in monotonic seconds.

    >>> allocator = PermitAllocator()
    >>> allocator.activate(now=0)
    >>> request = PermitRequest(
    ...     scope='s', priority=1, needed=1, choices=[['t-1', 't-2']])
    >>> allocator.grant(request, {'t-1': 4, 't-2': 4}, now=0)
    [-1]
    >>> allocator.grant(request, {'t-1': 4, 't-2': 4}, now=0.5)
    [0]
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Monotonic time since which this member leads; None if it does not.
        self._active_since: float | None = None
        self._buckets: dict[str, TokenBucket] = {}
        self._used_at: dict[str, float] = {}
        self._scopes: dict[str, _Scope] = {}
        self._evicted_at = float('-inf')

    def activate(self, now: float) -> None:
        """Start granting as leader, with empty buckets.

        What the former leader granted is unknown.
        """
        with self._lock:
            self._active_since = now
            self._buckets.clear()
            self._used_at.clear()
            self._scopes.clear()

    def deactivate(self) -> None:
        """Stop granting."""
        with self._lock:
            self._active_since = None

    def grant(
        self,
        request: PermitRequest,
        limits: Mapping[str, float],
        now: float,
    ) -> list[int]:
        """Return the position of the granted target of each choice.

        ``DENIED`` stands for a choice without one. A target that is not in
        ``limits``, in requests a second, has none.
        """
        with self._lock:
            self._evict_idle(now)
            if self._active_since is None:
                return [DENIED for _ in request.choices]
            positions = [
                self._find_open(choice, limits, now)
                for choice in request.choices
            ]
            granted = self._select(request, positions)
            if request.needed and not self._admit(request, granted, now):
                granted = ()
            for taken in granted:
                self._take(request.choices[taken][positions[taken]])
            return [
                position if index in granted else DENIED
                for index, position in enumerate(positions)
            ]

    def _find_open(
        self, choice: Sequence[str], limits: Mapping[str, float], now: float
    ) -> int:
        """Return the position of the first target with a token left."""
        for position, target in enumerate(choice):
            limit = limits.get(target)
            if limit is None:
                return position
            if self._refill(target, limit, now).level >= 1:
                return position
        return DENIED

    def _refill(self, target: str, limit: float, now: float) -> TokenBucket:
        self._used_at[target] = now
        rate, capacity = get_rate(limit), get_burst(limit)
        bucket = self._buckets.get(target)
        if bucket is None:
            since = now if self._active_since is None else self._active_since
            bucket = TokenBucket(rate, capacity, since)
            self._buckets[target] = bucket
        bucket.advance_to(now)
        bucket.set_rate(rate, capacity)
        return bucket

    def _select(
        self, request: PermitRequest, positions: Sequence[int]
    ) -> Collection[int]:
        """Return the indexes of the choices to grant; none if too few can be.

        Needed ones come from the fullest buckets, others only from buckets that
        hold more than the reserve.
        """
        levels = {
            index: self._get_level(request.choices[index][position])
            for index, position in enumerate(positions)
            if position != DENIED
        }
        if len(levels) < request.needed:
            return ()
        fullest = sorted(levels, key=levels.__getitem__, reverse=True)
        return [
            index
            for rank, index in enumerate(fullest)
            if rank < request.needed or levels[index] > 1
        ]

    def _get_level(self, target: str) -> float:
        """Return the level of a bucket as a multiple of its reserve."""
        bucket = self._buckets.get(target)
        if bucket is None:
            return math.inf
        return bucket.level / (bucket.capacity * _RESERVED_SHARE)

    def _take(self, target: str) -> None:
        bucket = self._buckets.get(target)
        if bucket is not None:
            bucket.level -= 1

    def _admit(
        self, request: PermitRequest, granted: Collection[int], now: float
    ) -> bool:
        """Return whether to grant a request that may be granted.

        It is held back while a more urgent priority was granted less often.
        """
        scope = self._scopes.setdefault(request.scope, _Scope())
        scope.used_at = now
        share = scope.shares.setdefault(request.priority, _Share())
        for each in scope.shares.values():
            each.decay(now)
        share.asked += 1
        is_held_back = any(
            urgent.asked >= _MIN_URGENT and urgent.ratio < share.ratio
            for priority, urgent in scope.shares.items()
            if priority < request.priority
        )
        if not granted or is_held_back:
            return False
        share.granted += 1
        return True

    def _evict_idle(self, now: float) -> None:
        if now - self._evicted_at < _IDLE_S:
            return
        self._evicted_at = now
        for target, used_at in list(self._used_at.items()):
            if now - used_at > _IDLE_S:
                self._used_at.pop(target)
                self._buckets.pop(target, None)
        for name, scope in list(self._scopes.items()):
            if now - scope.used_at > _IDLE_S:
                self._scopes.pop(name)
