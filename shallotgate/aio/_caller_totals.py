"""Which callers are shed when all together exceed a limit of a server."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, Literal, TypeVar

_BYTES_PER_MIB = 1024 * 1024
# Age in seconds from which a connection counts as stalled. An ordinary caller
# sends its request within a round trip of connecting, and reads its answer
# within one.
_GRACE_S = 0.25
# A complete request of at most this size is small. Large ones leave a part of
# the bytes to small ones, so that these are served next to a crowd of them.
SMALL_REQUEST_BYTES = 32 * 1024
_LARGE_SHARE = 0.75
_NEVER = float('inf')

Reason = Literal['connections', 'incomplete', 'bytes']
_Key = TypeVar('_Key')
# Bytes, and the negative time since which they have been held.
_Size = tuple[int, float]


@dataclass(frozen=True)
class TotalLimits:
    """Limits over all connections of a server."""

    max_connections: int = 256
    # Requests that have begun but are not complete.
    max_incomplete: int = 128
    # Received but unanswered bytes and answers that were not sent, with the
    # overhead of storing them.
    max_bytes: int = 8 * _BYTES_PER_MIB
    # Receive buffer of a connection in the kernel, which doubles it for its own
    # overhead. 16 KiB in a round trip of 6 ms are more than the 7 Mbit/s that
    # all callers of an entry share.
    receive_buffer_bytes: int = 16 * 1024
    # Time in which a body or the sending of an answer has to make progress.
    progress_timeout_ms: int = 10_000


@dataclass
class _Usage:
    """What a connection holds, and since when it has been stalled."""

    idle_since: float
    # Bytes of the request that is being received.
    incomplete_bytes: int = 0
    begun_at: float = _NEVER
    # Bytes of complete requests, waiting or handled.
    request_bytes: int = 0
    # Bytes of answers that the caller has not read.
    unsent_bytes: int = 0
    # Time of the last progress of sending.
    sent_at: float = _NEVER
    # Whether a request on it has been complete.
    has_sent_request: bool = False

    @property
    def stalled_since(self) -> float:
        """Time since which the caller owes bytes or a read."""
        since = min(self.begun_at, self.sent_at)
        if self.has_sent_request:
            return since
        return min(since, self.idle_since)

    @property
    def is_idle(self) -> bool:
        """Whether no request and no answer is under way."""
        return not self.request_bytes and self.stalled_since == _NEVER


class CallerTotals(Generic[_Key]):
    """Accounts for what connections hold and chooses those to shed."""

    def __init__(
        self,
        limits: TotalLimits,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits
        self._read_time = read_time
        self._usages: dict[_Key, _Usage] = {}
        self.incomplete_count = 0
        # Bytes of requests that are complete, and of all kinds.
        self.request_bytes = 0
        self.held_bytes = 0

    @property
    def connection_count(self) -> int:
        """Number of connections."""
        return len(self._usages)

    def add(self, key: _Key) -> None:
        """Account for a new connection."""
        self._usages[key] = _Usage(idle_since=self._read_time())

    def remove(self, key: _Key) -> None:
        """Release all that a connection holds."""
        usage = self._usages.pop(key, None)
        if usage is None:
            return
        self.incomplete_count -= usage.begun_at != _NEVER
        self.request_bytes -= usage.request_bytes
        self.held_bytes -= (
            usage.incomplete_bytes + usage.request_bytes + usage.unsent_bytes
        )

    def set_incomplete(
        self, key: _Key, amount: int, begun_at: float = _NEVER
    ) -> None:
        """Set the bytes of the request that is being received.

        ``begun_at`` is infinite if there is none.
        """
        usage = self._usages.get(key)
        if usage is None:
            return
        self.incomplete_count += begun_at != _NEVER
        self.incomplete_count -= usage.begun_at != _NEVER
        self.held_bytes += amount - usage.incomplete_bytes
        usage.incomplete_bytes = amount
        usage.begun_at = begun_at

    def set_unsent(self, key: _Key, amount: int) -> bool:
        """Set the bytes of answers that the caller has not read.

        Returns whether they have changed.
        """
        usage = self._usages.get(key)
        if usage is None or usage.unsent_bytes == amount:
            return False
        if not amount:
            usage.sent_at = _NEVER
        elif not usage.unsent_bytes or amount < usage.unsent_bytes:
            usage.sent_at = self._read_time()
        self.held_bytes += amount - usage.unsent_bytes
        usage.unsent_bytes = amount
        return True

    def admit_request(self, key: _Key, amount: int) -> bool:
        """Account for a complete request, unless it has to be refused."""
        usage = self._usages.get(key)
        if usage is None:
            return False
        usage.has_sent_request = True
        limit = float(self.limits.max_bytes)
        if amount > SMALL_REQUEST_BYTES:
            limit *= _LARGE_SHARE
        # A single request within the limits of one request is always served.
        if self.request_bytes and self.request_bytes + amount > limit:
            return False
        usage.request_bytes += amount
        self.request_bytes += amount
        self.held_bytes += amount
        return True

    def finish_request(self, key: _Key, amount: int) -> None:
        """Release a request that was answered."""
        usage = self._usages.get(key)
        if usage is None:
            return
        usage.idle_since = self._read_time()
        usage.request_bytes -= amount
        self.request_bytes -= amount
        self.held_bytes -= amount

    def find_excess(self) -> tuple[_Key, Reason] | None:
        """Return the connection to shed next, None if none has to be."""
        limits = self.limits
        if len(self._usages) > limits.max_connections:
            return self._find_dispensable(), 'connections'
        if self.incomplete_count > limits.max_incomplete:
            return self._find_oldest(), 'incomplete'
        if self.held_bytes > limits.max_bytes:
            largest = self._find_largest()
            return None if largest is None else (largest, 'bytes')
        return None

    def list_unread(self, timeout_s: float) -> list[_Key]:
        """Return the connections whose answers are not read any more."""
        since = self._read_time() - timeout_s
        return [
            key for key, usage in self._usages.items() if usage.sent_at < since
        ]

    def _find_dispensable(self) -> _Key:
        """Return the longest stalled connection, else the longest idle one.

        If all others are being served, that is the newest one.
        """
        *others, newest = self._usages
        stalled_before = self._read_time() - _GRACE_S
        stalled = min(others, key=self._get_stalled_since, default=newest)
        stalled_since = self._get_stalled_since(stalled)
        if stalled_since < stalled_before:
            return stalled
        idle = [key for key in others if self._usages[key].is_idle]
        if idle:
            return min(idle, key=lambda key: self._usages[key].idle_since)
        return newest if stalled_since == _NEVER else stalled

    def _get_stalled_since(self, key: _Key) -> float:
        return self._usages[key].stalled_since

    def _find_oldest(self) -> _Key:
        return min(self._usages, key=lambda key: self._usages[key].begun_at)

    def _find_largest(self) -> _Key | None:
        """Return who holds most; None if only requests under way remain.

        A caller that holds something alone is kept: it is bounded by the
        limits of one request.
        """
        sizes = dict(self._list_sizes())
        is_alone = len(sizes) == 1 and not self.request_bytes
        if not sizes or is_alone:
            return None
        return max(sizes, key=lambda key: sizes[key])

    def _list_sizes(self) -> Iterator[tuple[_Key, _Size]]:
        """Yield the bytes of each stalled caller, and its age.

        An answer that was just written counts only by its age.
        """
        now = self._read_time()
        for key, usage in self._usages.items():
            size = usage.incomplete_bytes
            if usage.sent_at < now - _GRACE_S:
                size += usage.unsent_bytes
            if size or usage.unsent_bytes:
                yield key, (size, -usage.stalled_since)
