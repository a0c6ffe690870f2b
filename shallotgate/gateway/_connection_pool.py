"""Connection pool of one target."""

import asyncio
import time

from shallotgate.aio import TargetConnection

_MS_PER_S = 1000
# Initial estimate of the connect time, in milliseconds.
_INITIAL_CONNECT_MS = 5.0
# Weight of the newest connect time in the moving average.
_NEWEST_WEIGHT = 0.3


class ConnectionPool:
    """Pooled connections to one target, reused in LIFO order."""

    def __init__(self, address: str) -> None:
        self.address = address
        # Connections that are open or being opened.
        self.size = 0
        self._connect_ms = _INITIAL_CONNECT_MS
        self._idle: list[TargetConnection] = []
        # Releases of each connection that has an idle timeout, used to
        # recognise a reuse.
        self._uses: dict[TargetConnection, int] = {}
        self._is_closed = False

    @property
    def acquire_ms(self) -> float:
        """Expected time until a request can be sent, in milliseconds."""
        return 0 if self._idle else self._connect_ms

    def acquire_idle(self) -> TargetConnection | None:
        """Return the most recently used idle connection, if any."""
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable and now < connection.keep_alive_until:
                return connection
            connection.close()
        return None

    async def open(self, timeout_s: float) -> TargetConnection:
        """Open a new connection; raises ``TargetConnectError``."""
        self.size += 1
        started_at = time.monotonic()
        try:
            connection = await TargetConnection.open(
                self.address,
                timeout_s,
                self._discard,
            )
        except BaseException:
            self.size -= 1
            raise
        connect_ms = (time.monotonic() - started_at) * _MS_PER_S
        self._connect_ms += (connect_ms - self._connect_ms) * _NEWEST_WEIGHT
        return connection

    def release(
        self, connection: TargetConnection, idle_timeout_s: float | None
    ) -> None:
        """Return a connection to the pool if it can be reused.

        It is closed after being idle for ``idle_timeout_s``; None means no
        limit.
        """
        if self._is_closed or not connection.is_usable:
            connection.close()
            return
        self._idle.append(connection)
        if idle_timeout_s is not None:
            uses = self._uses.get(connection, 0) + 1
            self._uses[connection] = uses
            loop = asyncio.get_running_loop()
            loop.call_later(
                idle_timeout_s, self._close_unused, connection, uses
            )

    def close(self) -> None:
        """Close idle connections now and active ones when released."""
        self._is_closed = True
        idle = self._idle
        self._idle = []
        for connection in idle:
            connection.close()

    def _close_unused(self, connection: TargetConnection, uses: int) -> None:
        if self._uses.get(connection) == uses and connection in self._idle:
            connection.close()

    def _discard(self, connection: TargetConnection) -> None:
        self.size -= 1
        self._uses.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
