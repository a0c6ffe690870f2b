"""Admission of queries: callers' limits, queues and concurrency."""

import heapq
import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotgate.errors import ShallotgateError
from shallotgate.generated.catalogue import Caller, ClassPolicy
from shallotgate.query._limiter import LatencyLimiter

_MS_PER_S = 1000
# Weight of a new measurement in the smoothed time of a query.
_SMOOTHING_FACTOR = 0.1
# A query is worth starting with the mean time and two deviations left.
_DEVIATION_FACTOR = 2
_BURST_S = 1.0
# Queries that may wait and run at once where no number is given.
_MAX_QUERIES = 512


class RefusedError(ShallotgateError):
    """A query was not admitted; it has not run."""

    def __init__(self, reason: str) -> None:
        super().__init__(f'refused: {reason}')
        self.reason = reason


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one caller."""

    tokens: float
    filled_at: float
    in_flight: int = 0


@dataclass(slots=True)
class _ServiceTime:
    """Smoothed time of a class's queries in seconds."""

    mean_s: float = 0
    deviation_s: float = 0

    def record(self, elapsed_s: float) -> None:
        """Add the time of one query."""
        if not self.mean_s:
            self.mean_s = elapsed_s
            return
        change = elapsed_s - self.mean_s
        self.mean_s += _SMOOTHING_FACTOR * change
        self.deviation_s += _SMOOTHING_FACTOR * (abs(change) - self.deviation_s)

    def estimate_s(self) -> float:
        """Return a time that most queries keep to."""
        return self.mean_s + _DEVIATION_FACTOR * self.deviation_s


@dataclass(order=True, slots=True)
class _Waiter:
    """A query in the queue, ordered by priority, then deadline."""

    rank: tuple[int, float, int]
    class_name: str = field(compare=False)
    deadline: float = field(compare=False)
    # Held until the query is admitted or refused.
    admission_lock: threading.Lock = field(compare=False)
    # Empty while waiting, then admitted or the reason of a refusal.
    decision: str = field(compare=False, default='')


class Admission:
    """Admits queries up to a limit that follows the latency.

    Queries wait in one order, classes with higher priority first, then by
    deadline. A query whose expected wait and time do not fit its deadline is
    refused at once: it would take the place of one that is still in time.
    """

    def __init__(
        self,
        limiter: LatencyLimiter | None = None,
        clock: Callable[[], float] = time.monotonic,
        max_queries: int = _MAX_QUERIES,
    ) -> None:
        """Wire the deps.

        ``max_queries`` is the number of queries that may wait and run at once.
        """
        self._clock = clock
        self._limiter = limiter or LatencyLimiter()
        self._max_queries = max_queries
        self._lock = threading.Lock()
        self._sequence = itertools.count()
        self._buckets: dict[str, _Bucket] = {}
        self._times: dict[str, _ServiceTime] = {}
        self._queue: list[_Waiter] = []
        self._queued: Counter[str] = Counter()
        self.in_flight = 0

    def admit(
        self,
        caller_name: str,
        caller: Caller,
        class_name: str,
        policy: ClassPolicy,
        deadline: float,
    ) -> None:
        """Wait for admission; raises ``RefusedError``.

        Each call that returns needs one call of ``release``.
        """
        with self._lock:
            bucket = self._take_token(caller_name, caller)
            waiter = self._enqueue(class_name, policy, deadline)
            bucket.in_flight += 1
        if waiter is None:
            return
        try:
            self._wait(waiter)
        except RefusedError:
            with self._lock:
                bucket.in_flight -= 1
            raise

    def release(
        self,
        caller_name: str,
        class_name: str,
        elapsed_s: float,
        service_ms: float = 0,
        *,
        is_counted: bool = True,
    ) -> None:
        """End an admitted query.

        ``service_ms`` is its time on targets without any wait, 0 if unknown.
        ``is_counted`` is false for one whose time says nothing of the load,
        say a refusal.
        """
        with self._lock:
            self._buckets[caller_name].in_flight -= 1
            if is_counted:
                times = self._times.setdefault(class_name, _ServiceTime())
                times.record(elapsed_s)
                self._limiter.record(
                    class_name,
                    elapsed_s * _MS_PER_S,
                    self.in_flight,
                    service_ms,
                )
            self.in_flight -= 1
            self._admit_waiters()

    def current_limit(self) -> float:
        """Return the present limit of queries in flight."""
        return self._limiter.limit

    def count_queued(self) -> int:
        """Return the number of waiting queries."""
        return self._queued.total()

    def _take_token(self, caller_name: str, caller: Caller) -> _Bucket:
        now = self._clock()
        burst = max(caller.rate_per_s * _BURST_S, 1)
        bucket = self._buckets.get(caller_name)
        if bucket is None:
            bucket = _Bucket(burst, now)
            self._buckets[caller_name] = bucket
        filled = bucket.tokens + (now - bucket.filled_at) * caller.rate_per_s
        bucket.tokens = min(filled, burst)
        bucket.filled_at = now
        if bucket.in_flight >= caller.concurrent:
            raise RefusedError('caller_concurrency')
        if bucket.tokens < 1:
            raise RefusedError('caller_rate')
        bucket.tokens -= 1
        return bucket

    def _enqueue(
        self,
        class_name: str,
        policy: ClassPolicy,
        deadline: float,
    ) -> _Waiter | None:
        if self._has_limit_left() and not self._queue:
            self.in_flight += 1
            return None
        if self._queued[class_name] >= policy.queue_limit:
            raise RefusedError('queue_full')
        rank = (-policy.priority, deadline, next(self._sequence))
        if self._clock() + self._estimate_delay_s(class_name, rank) > deadline:
            raise RefusedError('overload')
        if self.in_flight + self._queued.total() >= self._max_queries:
            self._evict_last(rank)
        waiter = _Waiter(rank, class_name, deadline, threading.Lock())
        waiter.admission_lock.acquire()
        heapq.heappush(self._queue, waiter)
        self._queued[class_name] += 1
        return waiter

    def _has_limit_left(self) -> bool:
        limit = min(int(self._limiter.limit), self._max_queries)
        return self.in_flight < limit

    def _evict_last(self, rank: tuple[int, float, int]) -> None:
        """Refuse the last waiter in favour of one that goes before it."""
        last = max(
            (waiter for waiter in self._queue if not waiter.decision),
            default=None,
        )
        if last is None or last.rank < rank:
            raise RefusedError('queue_full')
        self._resolve(last, 'queue_full')
        last.admission_lock.release()

    def _estimate_delay_s(
        self, class_name: str, rank: tuple[int, float, int]
    ) -> float:
        """Return the expected seconds to wait and to run."""
        ahead = 1 + sum(1 for waiter in self._queue if waiter.rank < rank)
        times = self._times.get(class_name)
        if times is None:
            return 0
        wait_s = ahead * times.mean_s / self._limiter.limit
        return wait_s + times.estimate_s()

    def _wait(self, waiter: _Waiter) -> None:
        timeout_s = max(waiter.deadline - self._clock(), 0)
        if not waiter.admission_lock.acquire(timeout=timeout_s):
            with self._lock:
                if not waiter.decision:
                    self._resolve(waiter, 'queue_late')
        if waiter.decision != 'admitted':
            raise RefusedError(waiter.decision)

    def _admit_waiters(self) -> None:
        now = self._clock()
        while self._queue and self._has_limit_left():
            waiter = heapq.heappop(self._queue)
            if waiter.decision:
                continue
            times = self._times.get(waiter.class_name)
            needed_s = times.estimate_s() if times else 0
            if now + needed_s > waiter.deadline:
                self._resolve(waiter, 'queue_late')
            else:
                self.in_flight += 1
                self._resolve(waiter, 'admitted')
            waiter.admission_lock.release()

    def _resolve(self, waiter: _Waiter, decision: str) -> None:
        waiter.decision = decision
        self._queued[waiter.class_name] -= 1
