"""Admission control: caller limits, priority queue and concurrency limit."""

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
# Weight of a new sample in the smoothed service time.
_SMOOTHING_FACTOR = 0.1
# A query is admitted only if the mean service time plus two deviations fits
# its deadline.
_DEVIATION_FACTOR = 2
_BURST_S = 1.0
# Default bound on queued plus running queries.
_MAX_QUERIES = 512


class RefusedError(ShallotgateError):
    """The query was rejected by admission control and has not run."""

    def __init__(self, reason: str) -> None:
        super().__init__(f'refused: {reason}')
        self.reason = reason


@dataclass(slots=True)
class _Bucket:
    """Token bucket and number of queries in flight of one caller."""

    tokens: float
    filled_at: float
    in_flight: int = 0


@dataclass(slots=True)
class _ServiceTime:
    """Smoothed service time of one query class."""

    mean_s: float = 0
    deviation_s: float = 0

    def record(self, elapsed_s: float) -> None:
        """Add the service time of one query."""
        if not self.mean_s:
            self.mean_s = elapsed_s
            return
        change = elapsed_s - self.mean_s
        self.mean_s += _SMOOTHING_FACTOR * change
        self.deviation_s += _SMOOTHING_FACTOR * (abs(change) - self.deviation_s)

    def estimate_s(self) -> float:
        """Return an upper estimate: the mean plus two deviations."""
        return self.mean_s + _DEVIATION_FACTOR * self.deviation_s


@dataclass(order=True, slots=True)
class _Waiter:
    """A queued query, ordered by priority, then deadline."""

    rank: tuple[int, float, int]
    class_name: str = field(compare=False)
    deadline: float = field(compare=False)
    # Held until the query is admitted or rejected.
    admission_lock: threading.Lock = field(compare=False)
    # Empty while queued, then 'admitted' or the reason for rejection.
    decision: str = field(compare=False, default='')


class Admission:
    """Admits queries up to an adaptive concurrency limit.

    Queued queries are ordered by class priority, then by deadline. A query
    whose estimated queueing and service time exceeds its deadline is
    rejected immediately, since it would use capacity that a query that can
    still finish in time needs.
    """

    def __init__(
        self,
        limiter: LatencyLimiter | None = None,
        clock: Callable[[], float] = time.monotonic,
        max_queries: int = _MAX_QUERIES,
    ) -> None:
        """Initialize admission control.

        ``max_queries`` bounds the number of queued plus running queries.
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
        """Block until the query is admitted or raise ``RefusedError``.

        Each call that returns must be paired with a call of ``release``.
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
        """Release the slot of an admitted query.

        ``service_ms`` is the time that targets spent on it without queueing,
        0 if unknown. ``is_counted`` is false if its duration does not reflect
        the load, as for a refusal.
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
        """Return the current limit on queries in flight."""
        return self._limiter.limit

    def count_queued(self) -> int:
        """Return the number of queued queries."""
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
        """Reject the lowest-ranked waiter in favour of a higher-ranked one."""
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
        """Return the estimated queueing plus service time in seconds."""
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
